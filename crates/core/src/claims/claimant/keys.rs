//! State of the idempotency keys of one process.

use std::collections::{BTreeMap, HashMap};

use derive_more::Debug;

use crate::claims::claimant::event::KeyedRequest;
use crate::claims::hash::KeyHash;
use crate::claims::shutdown::NumberOutcomes;
use crate::claims::table::ClaimId;
use crate::clock::Millis;

/// Phase of a key.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub(super) enum Phase {
    /// Waits for the owner's answer to a requested claim.
    Claiming,
    /// Waits before the claim is requested again.
    Waiting,
    /// Waits for the outcome from the process that holds the key.
    Querying {
        query: u64,
        holder: ClaimId,
        /// Whether the holder's shutdown record is being read.
        is_reading: bool,
    },
    /// The request was dispatched.
    Running,
    /// The request ran.
    Ran,
    /// The request may have run.
    Unknown,
}

/// A key and the progress of its request.
#[derive(Clone)]
#[derive(Debug)]
pub(super) struct KeyEntry {
    pub(super) keyed: KeyedRequest,
    pub(super) phase: Phase,
    /// Number of the latest claim requested for the key.
    pub(super) number: u64,
    /// An earlier claim of the key whose request never runs.
    pub(super) abandoned: Option<ClaimId>,
    /// When the timer of the current phase expires.
    pub(super) due: Millis,
    /// When the claim is given up, or an ended key is forgotten.
    pub(super) until: Millis,
}

/// Keys whose requests are pending, running or ended.
#[derive(Default)]
#[derive(Debug)]
pub(super) struct Keys {
    entries: HashMap<KeyHash, KeyEntry>,
    /// Ended keys, ordered by the time at which they are forgotten, then by number.
    ended: BTreeMap<(Millis, u64), KeyHash>,
    /// Largest number of a forgotten key; outcomes up to it are no longer known.
    forgotten: u64,
}

impl Keys {
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn get(&self, key: &KeyHash) -> Option<&KeyEntry> {
        self.entries.get(key)
    }

    pub(super) fn get_mut(&mut self, key: &KeyHash) -> Option<&mut KeyEntry> {
        self.entries.get_mut(key)
    }

    pub(super) fn insert(&mut self, keyed: KeyedRequest, until: Millis) {
        let entry = KeyEntry {
            phase: Phase::Waiting,
            number: 0,
            abandoned: None,
            due: until,
            until,
            keyed,
        };
        self.entries.insert(entry.keyed.key, entry);
    }

    pub(super) fn remove(&mut self, key: &KeyHash) -> Option<KeyEntry> {
        self.entries.remove(key)
    }

    /// Whether the outcome of a number may have been forgotten.
    pub(super) const fn is_forgotten(&self, number: u64) -> bool {
        number <= self.forgotten
    }

    /// Records the end of a dispatched key; forgets the earliest to expire beyond `max_keys`.
    pub(super) fn record_end(
        &mut self,
        key: &KeyHash,
        phase: Phase,
        until: Millis,
        max_keys: usize,
    ) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        entry.phase = phase;
        entry.until = until;
        self.ended.insert((until, entry.number), *key);
        while self.ended.len() > max_keys {
            self.forget_earliest();
        }
    }

    pub(super) fn expire(&mut self, now: Millis) {
        while self
            .ended
            .first_key_value()
            .is_some_and(|((until, _), _)| *until <= now)
        {
            self.forget_earliest();
        }
    }

    fn forget_earliest(&mut self) {
        if let Some(((_, number), key)) = self.ended.pop_first() {
            self.entries.remove(&key);
            self.forgotten = self.forgotten.max(number);
        }
    }

    /// Keys that are not dispatched, sorted.
    pub(super) fn undispatched(&self) -> Vec<KeyHash> {
        let is_pending = |entry: &KeyEntry| {
            matches!(
                entry.phase,
                Phase::Claiming | Phase::Waiting | Phase::Querying { .. }
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
        let numbers = |wanted: &[Phase]| {
            let entries = self.entries.values();
            let mut numbers: Vec<_> = entries
                .filter(|entry| wanted.contains(&entry.phase))
                .map(|entry| entry.number)
                .collect();
            numbers.sort_unstable();
            numbers
        };
        NumberOutcomes {
            next,
            forgotten: self.forgotten,
            ran: numbers(&[Phase::Ran]),
            unknown: numbers(&[Phase::Unknown, Phase::Running]),
        }
    }
}
