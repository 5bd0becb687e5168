//! Where streams began: what this daemon remembers, tells other daemons, and asks them.

mod archive;
mod confirm;
mod find;
mod writer;

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use derive_more::Debug;
use medlarrill_core::ids::PoolId;
use medlarrill_core::routing::endpoint::Build;
use medlarrill_core::routing::streams::archive::{
    ArchivedBuilds, builds_to_keep, may_have_several,
};
use medlarrill_core::routing::streams::begun::BegunStreams;
use medlarrill_core::routing::streams::history::{BuildEvidence, FRESH_LIST};
use medlarrill_core::routing::streams::holders::Holders;
use medlarrill_core::routing::streams::lookup::{Place, Reply};
use medlarrill_core::routing::streams::memory::StreamMemory;
use medlarrill_core::routing::streams::message::{Answer, Began, Message, Question};
use medlarrill_core::routing::streams::{Origin, PoolHash, StreamKey};
use medlarrill_net::now::now;
use medlarrill_platform::store::Kind;
use tokio::sync::{Notify, mpsc};

use crate::metrics::Metrics;
use crate::placement::Placement;
use crate::settings::Settings;
use crate::store::Copies;
use archive::Reader;
use confirm::Confirmations;

pub use confirm::Confirmation;
pub use find::Found;
pub use writer::keep;

/// Maximum number of messages that wait to be sent; others are dropped and counted.
const MAX_WAITING: usize = 1024;

/// Maximum number of streams in one datagram, of 16 bytes each.
const MAX_JOINED: usize = 64;

/// A message about streams and its destination.
pub type Outgoing = (SocketAddr, Message);

/// Origins of streams, shared by the tasks that relay them and the one that owns the socket.
#[derive(Debug)]
pub struct Streams {
    state: Mutex<State>,
    reader: tokio::sync::Mutex<Reader>,
    /// Notified when a stream is told that this daemon is to write.
    unwritten: Notify,
    outgoing: mpsc::Sender<Outgoing>,
    placement: Arc<Placement>,
    copies: Arc<Copies>,
    metrics: Arc<Metrics>,
    /// Whether this daemon is configured without others.
    is_single: bool,
}

/// The other daemons, for streams.
#[derive(Debug)]
pub struct OtherDaemons {
    /// Those that were heard of lately.
    pub heard: BTreeSet<SocketAddr>,
    /// Those that the platform lists besides.
    pub unheard: Vec<SocketAddr>,
    /// The one that keeps streams on the platform, unless this one does.
    pub keeper: Option<SocketAddr>,
    /// Whether those that live are a large fleet.
    pub is_large: bool,
}

#[derive(Debug, Default)]
struct State {
    memory: StreamMemory,
    /// The streams that this daemon passed on lately.
    begun: BegunStreams,
    holders: Holders,
    /// The daemon that keeps streams on the platform, unless this one does.
    keeper: Option<SocketAddr>,
    /// Whether the daemons that live are a large fleet.
    is_large: bool,
    /// Software versions that the platform kept.
    archived: ArchivedBuilds,
    /// The new version of which it was last logged that streams begin there.
    logged: Option<Origin>,
    /// Questions that wait for answers, by token.
    questions: HashMap<u64, mpsc::UnboundedSender<(SocketAddr, Reply)>>,
    confirmations: Confirmations,
}

impl Streams {
    /// Creates an empty memory; returns it with the receiver of messages to be sent.
    pub fn new(
        placement: &Arc<Placement>,
        copies: &Arc<Copies>,
        metrics: &Arc<Metrics>,
        settings: &Settings,
    ) -> (Self, mpsc::Receiver<Outgoing>) {
        let (outgoing, receiver) = mpsc::channel(MAX_WAITING);
        let streams = Self {
            state: Mutex::default(),
            reader: tokio::sync::Mutex::new(Reader::new(settings.platform, copies.eras(), metrics)),
            unwritten: Notify::new(),
            outgoing,
            placement: Arc::clone(placement),
            copies: Arc::clone(copies),
            metrics: Arc::clone(metrics),
            is_single: settings.seeds.is_empty(),
        };
        (streams, receiver)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the other daemons, and tells them of streams that began before they were known.
    pub fn set_daemons(&self, others: OtherDaemons) {
        let has_new = {
            let mut state = self.lock();
            let has_new_keeper = state.keeper != others.keeper;
            state.keeper = others.keeper;
            state.is_large = others.is_large;
            state.holders.set(others.heard, others.unheard) | has_new_keeper
        };
        if has_new {
            self.tell_untold();
        }
    }

    fn tell_untold(&self) {
        let is_kept = self.are_archived();
        let untold = {
            let state = &mut *self.lock();
            let keeper = state.keeper.filter(|_| is_kept);
            let daemons = |key| with_keeper(state.holders.told(key), keeper);
            state.begun.take_untold(daemons, state.is_large, now())
        };
        let messages = untold.into_iter().map(|(daemon, key, origin)| {
            let began = Began::new(&[(key, origin)]);
            (daemon, Message::Began(began))
        });
        for (daemon, message) in join(messages.collect()) {
            self.send(daemon, message);
        }
    }

    /// Number of streams that are remembered.
    pub fn len(&self) -> usize {
        self.lock().memory.len()
    }

    /// Whether no stream is remembered.
    pub fn is_empty(&self) -> bool {
        self.lock().memory.is_empty()
    }

    /// Records that a stream begins or goes on at a pool and software version, and tells others.
    /// Returns the confirmation for which its next event should wait.
    pub fn record(&self, key: StreamKey, pool: &PoolId, build: &Build) -> Option<Confirmation<'_>> {
        let origin = Origin::new(pool, build);
        let confirmation = self.expect_kept(key, pool);
        self.log_new(pool, build);
        let is_kept = self.are_archived();
        let told = {
            let mut state = self.lock();
            state.memory.record(key, origin, now());
            let keeper = state.keeper.filter(|_| is_kept);
            let told = with_keeper(state.holders.told(key), keeper);
            state.begun.record(key, origin, &told, now());
            if state.confirmations.add_unwritten(None, key) {
                self.unwritten.notify_one();
            }
            told
        };
        for daemon in told {
            let began = Began::new(&[(key, origin)]);
            self.send(daemon, Message::Began(began));
        }
        confirmation
    }

    /// Logs that streams begin at a version that other daemons may not have listed yet.
    fn log_new(&self, pool: &PoolId, build: &Build) {
        let Some(listed) = self.placement.new_for(pool, build, now()) else {
            return;
        };
        let origin = Some(Origin::new(pool, build));
        if std::mem::replace(&mut self.lock().logged, origin) != origin {
            log::info!(
                target: "streams", pool = pool.as_str(), build = build.as_str(), listed_for = listed.0;
                "streams: begin at a new version"
            );
        }
    }

    /// Handles a message of another daemon.
    pub fn receive(&self, from: SocketAddr, message: Message) {
        match message {
            Message::Began(began) => {
                let mut state = self.lock();
                for (key, origin) in began.streams() {
                    state.memory.record(key, origin, now());
                    if state.confirmations.add_unwritten(Some(from), key) {
                        self.unwritten.notify_one();
                    }
                }
            }
            Message::Kept(kept) => self.receive_kept(&kept),
            Message::Question(question) => {
                let answer = self.answer(question);
                self.send(from, Message::Answer(answer));
            }
            Message::Answer(answer) => {
                let state = self.lock();
                if let Some(asker) = state.questions.get(&answer.token) {
                    // The request that asked may have gone on by another answer.
                    asker.send((from, answer.reply())).ok();
                }
            }
        }
    }

    fn answer(&self, question: Question) -> Answer {
        let known = self.lock().memory.get(question.key(), now());
        let reply = match known {
            Some(Some(origin)) => Reply::Known(origin),
            Some(None) => Reply::Ambiguous,
            None => Reply::Unknown(self.evidence()),
        };
        Answer::new(question.token, reply)
    }

    /// What this daemon knows of the software versions at which streams may have begun, for others.
    fn evidence(&self) -> BuildEvidence {
        let own = self.seen_builds();
        match self.archived_builds() {
            Some(archived) if !own.is_complete => own.with_recent(&archived.recent),
            _ => own,
        }
    }

    /// What it saw itself, which isn't complete while its list may lag behind.
    fn seen_builds(&self) -> BuildEvidence {
        let seen = self.placement.build_evidence(now());
        let is_complete = seen.is_complete && self.has_fresh_list();
        BuildEvidence {
            is_complete,
            ..seen
        }
    }

    /// What the platform kept of the time before. What served since then is missing while the list
    /// may lag behind.
    fn archived_builds(&self) -> Option<BuildEvidence> {
        let archived = self.read_builds()?;
        let is_complete = archived.is_complete && self.has_fresh_list();
        Some(BuildEvidence {
            is_complete,
            ..archived
        })
    }

    /// The versions to keep on the platform, and whether no other ones may have served lately. That
    /// holds up to the revision that is kept with them, so that the list needn't be fresh.
    fn builds_to_keep(&self) -> BuildEvidence {
        builds_to_keep(self.seen_builds(), self.read_builds())
    }

    /// Whether streams of a pool, or of any, may have begun at several versions.
    fn may_have_several(&self, pool: Option<&PoolId>) -> bool {
        let seen = self.placement.build_evidence(now());
        may_have_several(seen, self.read_builds(), pool.map(PoolHash::from))
    }

    /// What the platform kept when it was read.
    fn read_builds(&self) -> Option<BuildEvidence> {
        let from = self.placement.archive_from();
        self.lock().archived.evidence(from, now())
    }

    fn has_fresh_list(&self) -> bool {
        let age = self.copies.age(Kind::Endpoints, now());
        age.is_some_and(|age| age <= FRESH_LIST)
    }

    fn send(&self, daemon: SocketAddr, message: Message) {
        if self.outgoing.try_send((daemon, message)).is_err() {
            self.metrics.unsent.inc();
        }
    }

    /// Counts the result of looking up a stream.
    fn count(&self, code: &'static str) {
        Metrics::count(&self.metrics.take_ups, code);
    }
}

/// Adds the daemon that keeps streams on the platform to others.
fn with_keeper(mut daemons: Vec<SocketAddr>, keeper: Option<SocketAddr>) -> Vec<SocketAddr> {
    daemons.extend(keeper.filter(|keeper| !daemons.contains(keeper)));
    daemons
}

/// Joins messages that tell one daemon of streams, as far as they fit into a datagram.
pub fn join(messages: Vec<Outgoing>) -> Vec<Outgoing> {
    let mut joined: Vec<Outgoing> = Vec::with_capacity(messages.len());
    let mut began: HashMap<SocketAddr, Vec<(StreamKey, Origin)>> = HashMap::new();
    for (daemon, message) in messages {
        match message {
            Message::Began(streams) => began.entry(daemon).or_default().extend(streams.streams()),
            other => joined.push((daemon, other)),
        }
    }
    for (daemon, streams) in began {
        let parts = streams.chunks(MAX_JOINED).map(Began::new);
        joined.extend(parts.map(|part| (daemon, Message::Began(part))));
    }
    joined
}

/// The place among some at which a stream with this origin goes on.
fn place_of(places: &[Place], origin: Origin) -> Option<Place> {
    let mut places = places.iter();
    let is_it = |place: &&Place| Origin::new(&place.pool, &place.build) == origin;
    places.find(is_it).cloned()
}
