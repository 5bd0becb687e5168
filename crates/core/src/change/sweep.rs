//! Garbage collection of parts that the head doesn't reference any more.
//!
//! A part may be deleted only if no change in progress can still reference it. A
//! change writes its parts for one version of the head and references them only
//! by replacing that version. So a part that existed before the head was read at
//! one version, and that the head at a later version doesn't reference, can never
//! be referenced again. This needs no clock, only two reads of the head with a
//! change between them.

use std::collections::BTreeSet;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::committer::Stored;
use super::digest::Digest;
use super::head::Head;
use crate::clock::Millis;

/// Minimum pause between two sweeps or after a failed call; up to twice that with jitter.
pub const SWEEP_INTERVAL: Millis = Millis::from_secs(600);
/// Maximum number of parts deleted in one sweep.
pub const MAX_DELETED: usize = 256;

/// Input of the sweep.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Event {
    /// Start, or the time of the last `Wait` has been reached.
    Timer,
    /// All stored parts.
    Listed(Vec<StoredPart>),
    /// The head that `ReadHead` requested.
    Head(Stored),
    /// The head as read at any other time.
    Seen(Stored),
    /// A call failed.
    Failed,
}

/// A part as the platform lists it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct StoredPart {
    /// Its digest, from its key.
    pub digest: Digest,
    /// Its version.
    pub version: u64,
}

/// Call that the sweep requests.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Action {
    /// List all stored parts.
    List,
    /// Read the head.
    ReadHead,
    /// Delete a part if its version still matches; a failure is harmless.
    Delete(StoredPart),
    /// Send a `Timer` at this time.
    Wait(Millis),
}

/// State machine of the sweep, run by a watcher.
#[derive(Clone, Debug)]
pub struct Sweep {
    step: Step,
    rng: Pcg64Mcg,
}

#[derive(Clone, Debug)]
enum Step {
    Idle(Millis),
    Listing,
    /// Parts were listed; the head is being read.
    Reading(Vec<StoredPart>),
    /// Waits for a head newer than this version, with the parts that this version didn't reference.
    AwaitingChange(u64, Vec<StoredPart>),
}

impl Sweep {
    /// A sweep that starts after its first interval; the seed is for the jitter.
    pub fn new(seed: u64) -> Self {
        Self {
            step: Step::Idle(Millis::MAX),
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Handles an event and returns what to do.
    pub fn handle(&mut self, event: Event, now: Millis) -> Vec<Action> {
        let step = std::mem::replace(&mut self.step, Step::Listing);
        match (step, event) {
            (Step::Idle(Millis::MAX), Event::Timer) => self.schedule_next(now),
            (Step::Idle(until), Event::Timer) if now >= until => vec![Action::List],
            (Step::Listing, Event::Listed(parts)) => {
                self.step = Step::Reading(parts);
                vec![Action::ReadHead]
            }
            // Only this read of the head is known to be later than the list.
            (Step::Reading(parts), Event::Head(stored)) => self.await_change(&stored, parts, now),
            (Step::AwaitingChange(before, parts), Event::Head(stored) | Event::Seen(stored))
                if stored.version > before =>
            {
                let mut actions = delete(&stored, parts);
                actions.extend(self.schedule_next(now));
                actions
            }
            (Step::Listing | Step::Reading(_), Event::Failed) => self.schedule_next(now),
            (step, _) => {
                self.step = step;
                Vec::new()
            }
        }
    }

    fn schedule_next(&mut self, now: Millis) -> Vec<Action> {
        let jitter = self.rng.random_range(0..SWEEP_INTERVAL.0);
        let until = now + SWEEP_INTERVAL + Millis(jitter);
        self.step = Step::Idle(until);
        vec![Action::Wait(until)]
    }

    fn await_change(
        &mut self,
        stored: &Stored,
        parts: Vec<StoredPart>,
        now: Millis,
    ) -> Vec<Action> {
        let parts = unreferenced(stored, parts);
        if parts.is_empty() {
            return self.schedule_next(now);
        }
        self.step = Step::AwaitingChange(stored.version, parts);
        Vec::new()
    }
}

/// Those of the given parts that a head doesn't reference; none if it can't be decoded.
fn unreferenced(stored: &Stored, parts: Vec<StoredPart>) -> Vec<StoredPart> {
    let Ok(head) = Head::read(&stored.bytes) else {
        return Vec::new();
    };
    let referenced: BTreeSet<_> = head.parts.values().map(|part| part.digest).collect();
    let parts = parts.into_iter();
    parts
        .filter(|part| !referenced.contains(&part.digest))
        .collect()
}

fn delete(stored: &Stored, parts: Vec<StoredPart>) -> Vec<Action> {
    let parts = unreferenced(stored, parts).into_iter().take(MAX_DELETED);
    parts.map(Action::Delete).collect()
}
