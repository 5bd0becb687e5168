//! Copies that follow other daemons' copies, over connections between daemons.
//!
//! A follower says which revisions it has reached; the other side sends what
//! is newer, then each change as it takes effect there, and at least twice a
//! second how old its copies are. A follower has two such connections, so that
//! one daemon that freezes or is cut off delays nothing.

pub mod message;

use std::collections::HashMap;
use std::net::SocketAddr;

use derive_more::{Display, Error, From};
use futures_util::{SinkExt, StreamExt};
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::ablation::{Mechanism, is_on};
use medlarrill_core::routing::exchange::sources;
use medlarrill_net::now::now;
use medlarrill_platform::store::Kind;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::broadcast::error::RecvError;
use tokio::task::JoinHandle;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

pub use self::message::EncodedUpdate;
use self::message::{Subscription, Notification};
use super::Store;
use super::copies::KINDS;
use super::direct::FIRST_START;
use crate::socket;

/// Longest time to connect to a daemon.
const CONNECT: Millis = Millis(400);
/// Between two words on how old the copies are.
const BEAT: Millis = Millis(500);
/// Silence after which a connection is given up.
const SILENT: Millis = Millis(1200);
/// Between two looks at whom to follow, and before a source that was lost is followed again.
const LOOK: Millis = Millis(100);
/// The same at a daemon that knows nothing, and refuses its callers until it has found one that
/// does.
const EARLY_LOOK: Millis = Millis(20);
/// Largest message: the platform's values end at 1 MiB, a list holds some hundred small ones.
const FRAME: usize = 8 << 20;
/// Longest time for a follower's first message.
const ASK: Millis = Millis(2000);

/// Result of following or serving a copy.
type Result<T> = std::result::Result<T, RelayError>;

/// Why a connection ended.
#[derive(Debug, Display, Error, From)]
enum RelayError {
    #[display("{_0}")]
    Io(std::io::Error),
    #[display("{_0}")]
    Decode(prost::DecodeError),
    #[display("nothing came in time")]
    Silent,
    #[display("the other side closed it")]
    Closed,
    #[display("too far behind")]
    Behind,
}

type Link = Framed<TcpStream, LengthDelimitedCodec>;

fn link(stream: TcpStream) -> Link {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(FRAME)
        .new_codec();
    Framed::new(stream, codec)
}

/// Serves the copies to other daemons until the process ends.
pub async fn serve(store: Store, listener: TcpListener) {
    loop {
        let stream = socket::accept(&listener).await;
        let store = store.clone();
        tokio::spawn(async move {
            if let Err(error) = serve_one(&store, link(stream)).await {
                log::debug!(target: "relay", "relay: a follower left: {error}");
            }
        });
    }
}

async fn serve_one(store: &Store, mut link: Link) -> Result<()> {
    let ask = tokio::time::timeout(ASK.as_duration(), link.next()).await;
    let ask = ask.map_err(|_| RelayError::Silent)?;
    let ask = Subscription::read(&ask.ok_or(RelayError::Closed)??)?;
    let mut effects = store.copies.subscribe();
    let mut follower = Follower::new(store, link, ask);
    let mut beat = tokio::time::interval(BEAT.as_duration());
    loop {
        tokio::select! {
            effect = effects.recv() => match effect {
                Ok((kind, update)) => follower.tell(kind, update).await?,
                Err(RecvError::Lagged(_)) => return Err(RelayError::Behind),
                Err(RecvError::Closed) => return Ok(()),
            },
            _ = beat.tick() => {
                for kind in KINDS {
                    follower.tell(kind, None).await?;
                }
            }
        }
    }
}

/// A daemon that follows this one's copies.
struct Follower<'a> {
    store: &'a Store,
    link: Link,
    /// What it had reached when it asked.
    ask: Subscription,
    /// The kinds of which it was told what it lacked then.
    started: Vec<Kind>,
}

impl<'a> Follower<'a> {
    const fn new(store: &'a Store, link: Link, ask: Subscription) -> Self {
        Self {
            store,
            link,
            ask,
            started: Vec::new(),
        }
    }

    /// Tells changes of a kind, or only how old the copy is; nothing before that is known.
    async fn tell(&mut self, kind: Kind, update: Option<EncodedUpdate>) -> Result<()> {
        let Some(age) = self.store.copies.age(kind, now()) else {
            return Ok(());
        };
        let update = match self.started.contains(&kind) {
            true => update,
            // A copy that knew nothing when it was asked changes from nothing to all it knows,
            // which doesn't say what the follower has and is gone.
            false => {
                let lacks = self.store.copies.since(kind, self.ask.revision(kind));
                self.started.push(kind);
                lacks
            }
        };
        let failing = self.store.copies.failing(kind, now());
        let message = Notification::new(kind, update, age, failing).encode();
        let sending = self.link.send(message);
        let sent = tokio::time::timeout(SILENT.as_duration(), sending).await;
        Ok(sent.map_err(|_| RelayError::Silent)??)
    }
}

/// Follows the daemons that follow the platform, while this one isn't among them or has lost it.
pub async fn follow(store: Store) {
    let mut links: HashMap<SocketAddr, JoinHandle<()>> = HashMap::new();
    loop {
        let targets = targets(&store);
        links.retain(|address, task| {
            let wanted = targets.contains(address);
            if !wanted {
                task.abort();
            }
            wanted && !task.is_finished()
        });
        for target in targets {
            let store = store.clone();
            links
                .entry(target)
                .or_insert_with(|| tokio::spawn(follow_one(store, target)));
        }
        let pause = match store.copies.knows_all() {
            true => LOOK,
            false => EARLY_LOOK,
        };
        tokio::time::sleep(pause.as_duration()).await;
    }
}

fn targets(store: &Store) -> Vec<SocketAddr> {
    let roster = store.roster.borrow();
    if !is_on(Mechanism::Relays) {
        return Vec::new();
    }
    if store.first_start && now() < FIRST_START && !store.copies.knows_all() {
        // Those that others would follow wait, too.
        return sources(roster.me, &roster.seeds, 1);
    }
    if roster.is_watcher() && !store.copies.is_cut_off() {
        return Vec::new();
    }
    roster.following.sources
}

async fn follow_one(store: Store, source: SocketAddr) {
    let lost = match socket::connect(source, CONNECT).await {
        Ok(stream) => take(&store, source, link(stream)).await,
        Err(error) => {
            // Logged as lost only if it was followed: where a whole fleet starts, most aren't up.
            log::debug!(target: "relay", "relay: source {source} isn't reached: {error}");
            Ok(())
        }
    };
    if let Err(error) = lost {
        log::info!(target: "relay", source:%, cause:% = error; "relay: source lost");
    }
    tokio::time::sleep(LOOK.as_duration()).await;
}

async fn take(store: &Store, source: SocketAddr, mut link: Link) -> Result<()> {
    let reached = KINDS.map(|kind| (kind, store.copies.revision(kind)));
    link.send(Subscription::new(&reached).encode()).await?;
    log::info!(target: "relay", source:%; "relay: follows");
    loop {
        let frame = tokio::time::timeout(SILENT.as_duration(), link.next()).await;
        let frame = frame.map_err(|_| RelayError::Silent)?;
        let tell = Notification::read(&frame.ok_or(RelayError::Closed)??)?;
        let at = now();
        if tell.is_fresh() {
            store.roster.heard_relay(at);
        }
        if let Some((kind, span)) = tell.failed_for() {
            store.copies.fail(kind, at - span, at);
        }
        if let Some((kind, update, age)) = tell.into_update()? {
            store.copies.apply(kind, update, Some(at - age), at);
        }
    }
}
