//! What a process knows of its keys.

use std::collections::{BTreeMap, HashMap};

use derive_more::Debug;

use crate::claims::claimant::event::KeyedRequest;
use crate::claims::hash::KeyHash;
use crate::claims::shutdown::NumberOutcomes;
use crate::claims::table::ClaimId;
use crate::clock::Millis;

#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub(super) enum Phase {
    /// Waits for an owner's answer.
    Asking,
    /// Waits to ask again.
    Waiting,
    /// Asks the process that holds the key.
    Inquiring {
        inquiry: u64,
        holder: ClaimId,
        /// Whether it reads the object that the holder left.
        is_reading: bool,
    },
    /// Dispatched.
    Running,
    /// Has run.
    Ran,
    /// May have run.
    Unknown,
}

#[derive(Clone)]
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) start: KeyedRequest,
    pub(super) phase: Phase,
    /// Number of its claim.
    pub(super) ask: u64,
    /// An earlier claim of the key that never runs.
    pub(super) given_up: Option<ClaimId>,
    /// When its present step is over.
    pub(super) due: Millis,
    /// When it is given up, or forgotten.
    pub(super) until: Millis,
}

/// Keys that are pending, running, or remembered.
#[derive(Default)]
#[derive(Debug)]
pub(super) struct Keys {
    entries: HashMap<KeyHash, Entry>,
    /// Ended keys by the time at which they are forgotten, then by number.
    ended: BTreeMap<(Millis, u64), KeyHash>,
    /// Of numbers up to this one, some that ran are forgotten.
    forgotten: u64,
}

impl Keys {
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn get(&self, key: &KeyHash) -> Option<&Entry> {
        self.entries.get(key)
    }

    pub(super) fn get_mut(&mut self, key: &KeyHash) -> Option<&mut Entry> {
        self.entries.get_mut(key)
    }

    pub(super) fn insert(&mut self, start: KeyedRequest, until: Millis) {
        let entry = Entry {
            phase: Phase::Waiting,
            ask: 0,
            given_up: None,
            due: until,
            until,
            start,
        };
        self.entries.insert(entry.start.key, entry);
    }

    pub(super) fn remove(&mut self, key: &KeyHash) -> Option<Entry> {
        self.entries.remove(key)
    }

    /// Whether a number that ran may be forgotten.
    pub(super) const fn is_forgotten(&self, ask: u64) -> bool {
        ask <= self.forgotten
    }

    /// Remembers that a dispatched key ran or may have run; the earliest to expire make room.
    pub(super) fn end(&mut self, key: &KeyHash, phase: Phase, until: Millis, most: usize) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        entry.phase = phase;
        entry.until = until;
        self.ended.insert((until, entry.ask), *key);
        while self.ended.len() > most {
            self.forget_first();
        }
    }

    pub(super) fn expire(&mut self, now: Millis) {
        while self
            .ended
            .first_key_value()
            .is_some_and(|((until, _), _)| *until <= now)
        {
            self.forget_first();
        }
    }

    fn forget_first(&mut self) {
        if let Some(((_, ask), key)) = self.ended.pop_first() {
            self.entries.remove(&key);
            self.forgotten = self.forgotten.max(ask);
        }
    }

    /// Keys that are not dispatched.
    pub(super) fn pending(&self) -> Vec<KeyHash> {
        let is_pending = |entry: &Entry| {
            matches!(
                entry.phase,
                Phase::Asking | Phase::Waiting | Phase::Inquiring { .. }
            )
        };
        let entries = self.entries.iter();
        let mut keys: Vec<_> = entries
            .filter(|(_, entry)| is_pending(entry))
            .map(|(key, _)| *key)
            .collect();
        keys.sort_unstable();
        keys
    }

    pub(super) fn outcomes(&self, next: u64) -> NumberOutcomes {
        let asks = |wanted: &[Phase]| {
            let entries = self.entries.values();
            let mut asks: Vec<_> = entries
                .filter(|entry| wanted.contains(&entry.phase))
                .map(|entry| entry.ask)
                .collect();
            asks.sort_unstable();
            asks
        };
        NumberOutcomes {
            next,
            forgotten: self.forgotten,
            ran: asks(&[Phase::Ran]),
            unknown: asks(&[Phase::Unknown, Phase::Running]),
        }
    }
}
