//! Relays copies between daemons over TCP.
//!
//! A follower sends the revisions that it has reached; its source sends the
//! newer changes, then each change as it takes effect there, and at least twice a
//! second the age of its copies. A follower has two such connections, so that
//! a source that freezes or is cut off delays nothing.

mod learn;
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
use tokio::sync::broadcast::error::RecvError;
use tokio::task::JoinHandle;

pub use self::learn::learn_at_start;
pub use self::message::EncodedUpdate;
use self::message::{Notification, Subscription};
use super::StoreContext;
use super::copies::KINDS;
use super::direct::FIRST_START_WAIT;
use crate::socket::{self, Link, framed};

/// Timeout for connecting to a daemon.
const CONNECT_TIMEOUT: Millis = Millis(400);
/// Interval at which the age of the copies is sent.
const HEARTBEAT: Millis = Millis(500);
/// Silence after which a connection is closed.
const SILENCE_LIMIT: Millis = Millis(1200);
/// Interval between checks which sources to follow, and pause before a lost source is followed
/// again.
const CHECK_INTERVAL: Millis = Millis(100);
/// The interval while this daemon lacks a required copy, and therefore refuses its callers.
const EARLY_CHECK_INTERVAL: Millis = Millis(20);

/// Result of following or serving a copy.
type Result<T> = std::result::Result<T, RelayError>;

/// Why a connection ended.
#[derive(Debug, Display, Error, From)]
enum RelayError {
    #[display("{_0}")]
    Io(std::io::Error),
    #[display("{_0}")]
    Decode(prost::DecodeError),
    #[display("nothing received in time")]
    Silent,
    #[display("closed by the peer")]
    Closed,
    #[display("too far behind")]
    Behind,
    #[display("the source has changes of a later era")]
    LaterEra,
}

/// Serves this daemon's copies to a follower until the connection ends; `first` is its first
/// message.
pub async fn serve(store: &StoreContext, connection: Link, first: &[u8]) {
    if let Err(error) = serve_follower(store, connection, first).await {
        log::debug!(target: "relay", "relay: a follower disconnected: {error}");
    }
}

async fn serve_follower(store: &StoreContext, connection: Link, first: &[u8]) -> Result<()> {
    let subscription = Subscription::read(first)?;
    let mut events = store.copies.subscribe();
    let mut follower = Follower::new(store, connection, subscription);
    let mut heartbeat = tokio::time::interval(HEARTBEAT.as_duration());
    loop {
        tokio::select! {
            event = events.recv() => match event {
                Ok((kind, update)) => follower.notify(kind, update).await?,
                Err(RecvError::Lagged(_)) => return Err(RelayError::Behind),
                Err(RecvError::Closed) => return Ok(()),
            },
            _ = heartbeat.tick() => {
                for kind in KINDS {
                    follower.notify(kind, None).await?;
                }
            }
        }
    }
}

/// A daemon that follows this daemon's copies.
struct Follower<'a> {
    store: &'a StoreContext,
    connection: Link,
    /// Revisions that it had reached when it subscribed.
    subscription: Subscription,
    /// Kinds of which the changes that it lacked then were sent to it.
    sent_kinds: Vec<Kind>,
}

impl<'a> Follower<'a> {
    const fn new(store: &'a StoreContext, connection: Link, subscription: Subscription) -> Self {
        Self {
            store,
            connection,
            subscription,
            sent_kinds: Vec::new(),
        }
    }

    /// Sends changes of a kind, or only the age of the copy; nothing before its first list.
    async fn notify(&mut self, kind: Kind, update: Option<EncodedUpdate>) -> Result<()> {
        let Some(age) = self.store.copies.age(kind, now()) else {
            return Ok(());
        };
        let update = match self.sent_kinds.contains(&kind) {
            true => update,
            // If this copy was empty at the subscription, `update` adds all objects, but doesn't
            // list the objects that the follower must remove.
            false => {
                let missing = self
                    .store
                    .copies
                    .update_since(kind, self.subscription.revision(kind));
                self.sent_kinds.push(kind);
                missing
            }
        };
        let outage = self.store.copies.outage(kind, now());
        let era = self.store.copies.era(kind).unwrap_or_default();
        let message = Notification::new(kind, update, age, outage).with_era(era);
        let sending = self.connection.send(message.encode());
        let sent = tokio::time::timeout(SILENCE_LIMIT.as_duration(), sending).await;
        Ok(sent.map_err(|_| RelayError::Silent)??)
    }
}

/// Follows other daemons' copies while this daemon is no watcher or has lost the platform.
pub async fn follow(store: StoreContext) {
    let mut tasks: HashMap<SocketAddr, JoinHandle<()>> = HashMap::new();
    loop {
        let targets = targets(&store);
        tasks.retain(|address, task| {
            let is_target = targets.contains(address);
            if !is_target {
                task.abort();
            }
            is_target && !task.is_finished()
        });
        for target in targets {
            let store = store.clone();
            tasks
                .entry(target)
                .or_insert_with(|| tokio::spawn(follow_one(store, target)));
        }
        let pause = match store.copies.is_complete() {
            true => CHECK_INTERVAL,
            false => EARLY_CHECK_INTERVAL,
        };
        tokio::time::sleep(pause.as_duration()).await;
    }
}

/// Receives the next message of a source.
async fn next(connection: &mut Link) -> Result<Notification> {
    let frame = tokio::time::timeout(SILENCE_LIMIT.as_duration(), connection.next()).await;
    let frame = frame.map_err(|_| RelayError::Silent)?;
    Ok(Notification::read(&frame.ok_or(RelayError::Closed)??)?)
}

/// The daemons to follow now.
fn targets(store: &StoreContext) -> Vec<SocketAddr> {
    let roster = store.roster.snapshot();
    if !is_on(Mechanism::Relays) {
        return Vec::new();
    }
    if store.first_start && now() < FIRST_START_WAIT && !store.copies.is_complete() {
        // The regular sources wait, too.
        return sources(roster.me, &roster.seeds, 1);
    }
    if roster.is_watcher() && !store.copies.is_cut_off() {
        return Vec::new();
    }
    roster.following.sources
}

async fn follow_one(store: StoreContext, source: SocketAddr) {
    let result = match socket::connect(source, CONNECT_TIMEOUT).await {
        Ok(stream) => receive_updates(&store, source, framed(stream)).await,
        Err(error) => {
            // Not logged as lost: when a complete fleet starts, most sources aren't up yet.
            log::debug!(target: "relay", "relay: source {source} isn't reached: {error}");
            Ok(())
        }
    };
    if let Err(error) = result {
        log::info!(target: "relay", source:%, cause:% = error; "relay: source lost");
    }
    tokio::time::sleep(CHECK_INTERVAL.as_duration()).await;
}

async fn receive_updates(
    store: &StoreContext,
    source: SocketAddr,
    mut connection: Link,
) -> Result<()> {
    let reached = KINDS.map(|kind| (kind, store.copies.revision(kind)));
    connection
        .send(Subscription::new(&reached).encode())
        .await?;
    log::info!(target: "relay", source:%; "relay: follows");
    loop {
        let notification = next(&mut connection).await?;
        receive(store, notification)?;
    }
}

/// Applies one message of a source.
fn receive(store: &StoreContext, notification: Notification) -> Result<()> {
    let at = now();
    let is_old = notification
        .era()
        .is_some_and(|(kind, era)| store.copies.era(kind).is_some_and(|own| era < own));
    if notification.is_fresh() && !is_old {
        store.roster.record_relay(at);
    }
    if let Some(era) = notification.confirmed_era() {
        store.copies.eras().confirm(era);
    }
    if let Some((kind, span)) = notification.outage().filter(|_| !is_old) {
        store.copies.record_failure(kind, at - span, at);
    }
    if let Some((kind, update, age)) = notification.into_update()? {
        let era = store.copies.era(kind);
        if era.is_some_and(|own| own < update.revision.era) && !update.complete {
            return Err(RelayError::LaterEra);
        }
        store.copies.apply(kind, update, Some(at - age), at);
    }
    Ok(())
}
