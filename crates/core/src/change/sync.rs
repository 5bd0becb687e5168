//! Synchronises a daemon's configuration with its peers and the platform.
//!
//! Peers announce their generation in their heartbeats. A daemon that receives a
//! newer one requests its head and the missing parts: from a peer in the same
//! data centre first, then, if it is a watcher, from the platform, then from any
//! peer. A generation is put in force only when it is complete and higher than
//! every previous one, so that a late or old head can't revert a change.
//!
//! A daemon that has just started waits for a short time and applies the highest
//! generation among the peers that it can reach, unless it received the head from
//! the platform itself.

mod candidate;
mod event;
mod fetch;

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use self::candidate::Candidate;
use super::digest::Digest;
use super::head::Head;
use crate::clock::Millis;
use crate::ids::{Generation, Incarnation};
use crate::wire::PartAnswer;

pub use event::{Action, Event, Rejected};

/// How long a starting daemon collects its peers' generations before it applies one.
pub const JOIN_WINDOW: Millis = Millis(2000);
/// Timeout of a request to a peer or the platform.
pub const REQUEST_TIMEOUT: Millis = Millis(1000);
/// Pause after a failure before the same peer or the platform is requested again.
const RETRY_PAUSE: Millis = Millis(1000);

/// State machine that keeps the configuration in force and fetches newer ones.
#[derive(Clone, Debug)]
pub struct ConfigSync {
    peers: BTreeMap<Incarnation, Peer>,
    watching: bool,
    /// When the platform's head is due to be read.
    head_due: Option<Millis>,
    /// Earliest time to read parts from the platform again.
    platform_retry: Millis,
    /// End of the join window; set by the first peer that has a configuration.
    join_end: Option<Millis>,
    current: Option<Candidate>,
    candidate: Option<Candidate>,
    /// The highest generation that couldn't be assembled.
    invalid: Generation,
    pending: Option<PendingRequest>,
    rng: Pcg64Mcg,
}

/// What is known of a peer.
#[derive(Clone, Copy, Debug)]
struct Peer {
    local: bool,
    generation: Generation,
    retry: Millis,
}

/// The request in progress, and when it times out.
#[derive(Clone, Debug)]
struct PendingRequest {
    source: Source,
    digests: BTreeSet<Digest>,
    until: Millis,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Source {
    Peer(Incarnation),
    Platform,
}

impl ConfigSync {
    /// A daemon without a configuration; the seed is for the random choice among peers.
    pub fn new(seed: u64) -> Self {
        Self {
            peers: BTreeMap::new(),
            watching: false,
            head_due: None,
            platform_retry: Millis::ZERO,
            join_end: None,
            current: None,
            candidate: None,
            invalid: Generation(0),
            pending: None,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// The generation in force; zero for none.
    pub fn generation(&self) -> Generation {
        let current = self.current.as_ref().map(|current| current.head.generation);
        current.unwrap_or_default()
    }

    /// Whether a configuration is in force.
    pub const fn is_ready(&self) -> bool {
        self.current.is_some()
    }

    /// Parts of the configuration in force, as stored.
    pub fn parts(&self) -> impl Iterator<Item = &Bytes> {
        self.current
            .iter()
            .flat_map(|current| current.parts.values())
    }

    /// Handles an event and returns what to do.
    pub fn handle(&mut self, event: Event, now: Millis) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Timer => self.expire(now),
            Event::Announced {
                peer,
                local,
                generation,
            } => self.announced(peer, local, generation, now),
            Event::PeerLost(peer) => {
                self.peers.remove(&peer);
                self.clear_pending(Source::Peer(peer));
            }
            Event::Answer { peer, answer } => self.peer_answer(peer, answer, now, &mut actions),
            Event::Unanswered(peer) => self.peer_failed(peer, now),
            Event::Watching(watching) => {
                let started = watching && !self.watching;
                self.watching = watching;
                self.head_due = started.then_some(now);
            }
            Event::HeadChanged => self.head_due = Some(now),
            Event::Head { head, parts } => self.platform_head(head, parts, &mut actions),
            Event::HeadFailed => self.head_due = Some(now + RETRY_PAUSE),
            Event::Part(digest, bytes) => self.part_read(digest, bytes, now, &mut actions),
            Event::PartFailed(digest) => {
                self.platform_retry = now + RETRY_PAUSE;
                self.part_done(digest);
            }
        }
        self.try_apply(now, &mut actions);
        self.request_next(now, &mut actions);
        actions
    }

    fn announced(&mut self, peer: Incarnation, local: bool, generation: Generation, now: Millis) {
        let entry = self.peers.entry(peer).or_insert(Peer {
            local,
            generation,
            retry: Millis::ZERO,
        });
        if entry.generation != generation {
            entry.retry = Millis::ZERO;
        }
        entry.local = local;
        entry.generation = generation;
        if generation > Generation(0) {
            self.join_end.get_or_insert(now + JOIN_WINDOW);
        }
    }

    fn expire(&mut self, now: Millis) {
        let overdue = self.pending.as_ref().filter(|pending| now >= pending.until);
        match overdue.map(|pending| pending.source) {
            Some(Source::Peer(peer)) => self.peer_failed(peer, now),
            Some(Source::Platform) => self.pending = None,
            None => {}
        }
    }

    fn peer_failed(&mut self, peer: Incarnation, now: Millis) {
        if let Some(peer) = self.peers.get_mut(&peer) {
            peer.retry = now + RETRY_PAUSE;
        }
        self.clear_pending(Source::Peer(peer));
    }

    fn clear_pending(&mut self, source: Source) {
        self.pending.take_if(|pending| pending.source == source);
    }

    fn part_done(&mut self, digest: Digest) {
        if let Some(pending) = &mut self.pending {
            pending.digests.remove(&digest);
            self.pending.take_if(|pending| {
                pending.source == Source::Platform && pending.digests.is_empty()
            });
        }
    }

    fn peer_answer(
        &mut self,
        peer: Incarnation,
        answer: PartAnswer,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        self.clear_pending(Source::Peer(peer));
        let before = self.progress();
        if !answer.head.is_empty() {
            self.consider_head(answer.head, actions);
        }
        self.add_parts(answer.parts, actions);
        if before == self.progress() {
            self.peer_failed(peer, now);
        }
    }

    /// The candidate's generation, else the one in force, and how many of its parts are present.
    fn progress(&self) -> (Generation, usize) {
        let candidate = self.candidate.as_ref().or(self.current.as_ref());
        candidate
            .map(|candidate| (candidate.head.generation, candidate.parts.len()))
            .unwrap_or_default()
    }

    fn platform_head(&mut self, head: Bytes, parts: Vec<Bytes>, actions: &mut Vec<Action>) {
        let Some(generation) = self.consider_head(head, actions) else {
            return;
        };
        if let Some(candidate) = &mut self.candidate {
            candidate.authoritative |= candidate.head.generation == generation;
            // The parts may belong to an older head than the candidate's.
            candidate.parts.extend(candidate.select_missing(parts));
        }
    }

    /// Makes a head the candidate if it is newer than the one in force and the current candidate.
    fn consider_head(&mut self, bytes: Bytes, actions: &mut Vec<Action>) -> Option<Generation> {
        let head = match Head::read(&bytes) {
            Ok(head) => head,
            Err(error) => {
                actions.push(Action::Reject(Rejected::Head(error.to_string())));
                return None;
            }
        };
        let generation = head.generation;
        if generation > self.highest_known() {
            let mut parts = self
                .candidate
                .take()
                .map(|candidate| candidate.parts)
                .unwrap_or_default();
            if let Some(current) = &self.current {
                parts.extend(current.parts.clone());
            }
            self.candidate = Some(Candidate::new(head, bytes, &parts));
        }
        Some(generation)
    }

    /// Highest of the generations in force, being fetched or invalid; only a higher one is useful.
    fn highest_known(&self) -> Generation {
        let candidate = self
            .candidate
            .as_ref()
            .map(|candidate| candidate.head.generation);
        let candidate = candidate.unwrap_or_default();
        candidate.max(self.generation()).max(self.invalid)
    }

    fn part_read(
        &mut self,
        digest: Digest,
        bytes: Option<Bytes>,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        self.part_done(digest);
        if let Some(bytes) = bytes {
            return self.add_parts(vec![bytes], actions);
        }
        let wanted = |candidate: &mut Candidate| candidate.missing().contains(&digest);
        if self.candidate.take_if(wanted).is_some() {
            // The part was swept, so there is a newer head.
            self.pending = None;
            self.head_due = Some(now);
        }
    }

    fn add_parts(&mut self, parts: Vec<Bytes>, actions: &mut Vec<Action>) {
        for bytes in parts {
            let digest = Digest::of(&bytes);
            let missing = |candidate: &&mut Candidate| candidate.missing().contains(&digest);
            match self.candidate.as_mut().filter(missing) {
                Some(candidate) => {
                    candidate.parts.insert(digest, bytes);
                }
                None => actions.push(Action::Reject(Rejected::Digest(digest))),
            }
        }
    }

    /// Puts the candidate in force if it is complete and permitted.
    fn try_apply(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let complete = |candidate: &&Candidate| candidate.missing().is_empty();
        let Some(candidate) = self.candidate.as_ref().filter(complete) else {
            return;
        };
        if !candidate.authoritative && !self.may_apply(candidate.head.generation, now) {
            return;
        }
        match candidate.assemble() {
            Ok(config) => {
                self.current = self.candidate.take();
                actions.push(Action::Apply(Box::new(config)));
            }
            Err(error) => {
                let generation = candidate.head.generation;
                let rejected = Rejected::Whole(generation, error.to_string());
                actions.push(Action::Reject(rejected));
                self.invalid = generation;
                self.candidate = None;
            }
        }
    }

    /// Whether a generation may be put in force: a starting daemon waits for the join window,
    /// and for reachable peers that have a higher one.
    fn may_apply(&self, generation: Generation, now: Millis) -> bool {
        let higher = |peer: &Peer| peer.generation > generation && now >= peer.retry;
        let waited = self.join_end.is_some_and(|join_end| now >= join_end);
        self.current.is_some() || waited && !self.peers.values().any(higher)
    }
}
