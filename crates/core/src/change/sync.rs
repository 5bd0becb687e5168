//! How a daemon comes to the newest configuration.
//!
//! Peers say in their heartbeats which generation they have. A daemon that
//! hears of a newer one asks for its head and for the parts that it lacks: a
//! peer in the same data centre first, then, if it watches, the platform, then
//! any peer. A generation is put in force only when it is whole and higher than
//! every one before, so that a late or old head can't take anything back.
//!
//! A daemon that has just started waits for a short time and takes the highest
//! generation among the peers that it reaches, unless it has the head from the
//! platform itself.

mod event;
mod fetch;
mod goal;

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use self::goal::Goal;
use super::digest::Digest;
use super::head::Head;
use crate::clock::Millis;
use crate::ids::{Generation, Incarnation};
use crate::wire::PartAnswer;

pub use event::{Action, Event, Rejected};

/// How long a starting daemon listens to its peers.
pub const JOIN_WINDOW: Millis = Millis(2000);
/// How long an answer may take.
pub const REQUEST_TIMEOUT: Millis = Millis(1000);
/// How long a peer or the platform isn't asked again after a failure.
const PAUSE: Millis = Millis(1000);

/// The configuration that a daemon has and the one it is after.
#[derive(Clone, Debug)]
pub struct ConfigSync {
    peers: BTreeMap<Incarnation, Peer>,
    watching: bool,
    /// When the platform's head is to be read again after a failure.
    reread: Option<Millis>,
    /// Until when parts aren't read from the platform.
    paused: Millis,
    /// When a starting daemon has listened for long enough.
    joined: Option<Millis>,
    held: Option<Goal>,
    goal: Option<Goal>,
    /// The highest generation that can't be put together.
    spoiled: Generation,
    asked: Option<Asked>,
    rng: Pcg64Mcg,
}

/// What is known of a peer.
#[derive(Clone, Copy, Debug)]
struct Peer {
    local: bool,
    generation: Generation,
    retry: Millis,
}

/// Who was asked last, for what, and until when to wait.
#[derive(Clone, Debug)]
struct Asked {
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
    /// A daemon without a configuration; the seed is for its choice among peers.
    pub fn new(seed: u64) -> Self {
        Self {
            peers: BTreeMap::new(),
            watching: false,
            reread: None,
            paused: Millis::ZERO,
            joined: None,
            held: None,
            goal: None,
            spoiled: Generation(0),
            asked: None,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// The generation in force; zero for none.
    pub fn generation(&self) -> Generation {
        let held = self.held.as_ref().map(|held| held.head.generation);
        held.unwrap_or_default()
    }

    /// Whether a configuration is in force.
    pub const fn is_ready(&self) -> bool {
        self.held.is_some()
    }

    /// Parts of the configuration in force, as stored.
    pub fn parts(&self) -> impl Iterator<Item = &Bytes> {
        self.held.iter().flat_map(|held| held.parts.values())
    }

    /// Takes an event and says what to do.
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
                self.answered(Source::Peer(peer));
            }
            Event::Answer { peer, answer } => self.answer(peer, answer, now, &mut actions),
            Event::Unanswered(peer) => self.failed(peer, now),
            Event::Watching(watching) => {
                let begins = watching && !self.watching;
                self.watching = watching;
                self.reread = begins.then_some(now);
            }
            Event::HeadChanged => self.reread = Some(now),
            Event::Head { head, parts } => self.platform(head, parts, &mut actions),
            Event::HeadFailed => self.reread = Some(now + PAUSE),
            Event::Part(digest, bytes) => self.part(digest, bytes, now, &mut actions),
            Event::PartFailed(digest) => {
                self.paused = now + PAUSE;
                self.was_read(digest);
            }
        }
        self.apply(now, &mut actions);
        self.proceed(now, &mut actions);
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
            self.joined.get_or_insert(now + JOIN_WINDOW);
        }
    }

    fn expire(&mut self, now: Millis) {
        let late = self.asked.as_ref().filter(|asked| now >= asked.until);
        match late.map(|asked| asked.source) {
            Some(Source::Peer(peer)) => self.failed(peer, now),
            Some(Source::Platform) => self.asked = None,
            None => {}
        }
    }

    fn failed(&mut self, peer: Incarnation, now: Millis) {
        if let Some(peer) = self.peers.get_mut(&peer) {
            peer.retry = now + PAUSE;
        }
        self.answered(Source::Peer(peer));
    }

    fn answered(&mut self, source: Source) {
        self.asked.take_if(|asked| asked.source == source);
    }

    fn was_read(&mut self, digest: Digest) {
        if let Some(asked) = &mut self.asked {
            asked.digests.remove(&digest);
            self.asked
                .take_if(|asked| asked.source == Source::Platform && asked.digests.is_empty());
        }
    }

    fn answer(
        &mut self,
        peer: Incarnation,
        answer: PartAnswer,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        self.answered(Source::Peer(peer));
        let before = self.progress();
        if !answer.head.is_empty() {
            self.consider(answer.head, actions);
        }
        self.take(answer.parts, actions);
        if before == self.progress() {
            self.failed(peer, now);
        }
    }

    /// The generation aimed at, and how many of its parts are here.
    fn progress(&self) -> (Generation, usize) {
        let goal = self.goal.as_ref().or(self.held.as_ref());
        goal.map(|goal| (goal.head.generation, goal.parts.len()))
            .unwrap_or_default()
    }

    fn platform(&mut self, head: Bytes, parts: Vec<Bytes>, actions: &mut Vec<Action>) {
        let Some(generation) = self.consider(head, actions) else {
            return;
        };
        if let Some(goal) = &mut self.goal {
            goal.certain |= goal.head.generation == generation;
            // What comes with a head may be of an older one than the goal.
            goal.parts.extend(goal.wanted(parts));
        }
    }

    /// Aims at a head if it is newer than what is in force and aimed at.
    fn consider(&mut self, bytes: Bytes, actions: &mut Vec<Action>) -> Option<Generation> {
        let head = match Head::read(&bytes) {
            Ok(head) => head,
            Err(error) => {
                actions.push(Action::Reject(Rejected::Head(error.to_string())));
                return None;
            }
        };
        let generation = head.generation;
        if generation > self.target() {
            let mut parts = self.goal.take().map(|goal| goal.parts).unwrap_or_default();
            if let Some(held) = &self.held {
                parts.extend(held.parts.clone());
            }
            self.goal = Some(Goal::new(head, bytes, &parts));
        }
        Some(generation)
    }

    /// The generation in force, aimed at or given up: only a higher one is of use.
    fn target(&self) -> Generation {
        let goal = self.goal.as_ref().map(|goal| goal.head.generation);
        let goal = goal.unwrap_or_default();
        goal.max(self.generation()).max(self.spoiled)
    }

    fn part(
        &mut self,
        digest: Digest,
        bytes: Option<Bytes>,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        self.was_read(digest);
        if let Some(bytes) = bytes {
            return self.take(vec![bytes], actions);
        }
        let wanted = |goal: &mut Goal| goal.missing().contains(&digest);
        if self.goal.take_if(wanted).is_some() {
            // It was swept, so there is a newer head.
            self.asked = None;
            self.reread = Some(now);
        }
    }

    fn take(&mut self, parts: Vec<Bytes>, actions: &mut Vec<Action>) {
        for bytes in parts {
            let digest = Digest::of(&bytes);
            let missing = |goal: &&mut Goal| goal.missing().contains(&digest);
            match self.goal.as_mut().filter(missing) {
                Some(goal) => {
                    goal.parts.insert(digest, bytes);
                }
                None => actions.push(Action::Reject(Rejected::Digest(digest))),
            }
        }
    }

    /// Puts the goal in force if it is whole and may be.
    fn apply(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let whole = |goal: &&Goal| goal.missing().is_empty();
        let Some(goal) = self.goal.as_ref().filter(whole) else {
            return;
        };
        if !goal.certain && !self.has_listened(goal.head.generation, now) {
            return;
        }
        match goal.config() {
            Ok(config) => {
                self.held = self.goal.take();
                actions.push(Action::Apply(Box::new(config)));
            }
            Err(error) => {
                let generation = goal.head.generation;
                let rejected = Rejected::Whole(generation, error.to_string());
                actions.push(Action::Reject(rejected));
                self.spoiled = generation;
                self.goal = None;
            }
        }
    }

    /// Whether a starting daemon may take a generation: no peer that it reaches has a higher one.
    fn has_listened(&self, generation: Generation, now: Millis) -> bool {
        let higher = |peer: &Peer| peer.generation > generation && now >= peer.retry;
        let over = self.joined.is_some_and(|joined| now >= joined);
        self.held.is_some() || over && !self.peers.values().any(higher)
    }
}
