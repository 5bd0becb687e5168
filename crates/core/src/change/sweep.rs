//! Deletes parts that no head names any more.
//!
//! A part may only go if no change under way can still come to name it. A
//! change writes its parts for one version of the head and names them only by
//! replacing that version. So a part that was there before the head was read at
//! one version, and that isn't named by the head at a later version, can never
//! be named again. No clock is needed for this, only two readings of the head
//! with a change between them.

use std::collections::BTreeSet;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::committer::Stored;
use super::digest::Digest;
use super::head::Head;
use crate::clock::Millis;

/// Between two sweeps, or after a failed call.
pub const SWEEP_INTERVAL: Millis = Millis::from_secs(600);
/// Parts deleted in one sweep at most.
pub const MAX_DELETED: usize = 256;

/// What happened.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Event {
    /// Begin, or the time asked for has come.
    Timer,
    /// All stored parts.
    Listed(Vec<StoredPart>),
    /// The head that `ReadHead` asked for.
    Head(Stored),
    /// The head as it was read at any other time.
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

/// What to do.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Action {
    /// List all stored parts.
    List,
    /// Read the head.
    ReadHead,
    /// Delete a part on condition of its version; a failure does no harm.
    Delete(StoredPart),
    /// Send a `Timer` at this time.
    Wait(Millis),
}

/// A watcher's sweep.
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
    /// Parts that the head of this version didn't name.
    Settling(u64, Vec<StoredPart>),
}

impl Sweep {
    /// A sweep that begins after its first interval.
    pub fn new(seed: u64) -> Self {
        Self {
            step: Step::Idle(Millis::MAX),
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Takes an event and says what to do.
    pub fn handle(&mut self, event: Event, now: Millis) -> Vec<Action> {
        let step = std::mem::replace(&mut self.step, Step::Listing);
        match (step, event) {
            (Step::Idle(Millis::MAX), Event::Timer) => self.rest(now),
            (Step::Idle(until), Event::Timer) if now >= until => vec![Action::List],
            (Step::Listing, Event::Listed(parts)) => {
                self.step = Step::Reading(parts);
                vec![Action::ReadHead]
            }
            // Only this reading is known to be later than the list.
            (Step::Reading(parts), Event::Head(stored)) => self.settle(&stored, parts, now),
            (Step::Settling(before, parts), Event::Head(stored) | Event::Seen(stored))
                if stored.version > before =>
            {
                let mut actions = delete(&stored, parts);
                actions.extend(self.rest(now));
                actions
            }
            (Step::Listing | Step::Reading(_), Event::Failed) => self.rest(now),
            (step, _) => {
                self.step = step;
                Vec::new()
            }
        }
    }

    fn rest(&mut self, now: Millis) -> Vec<Action> {
        let spread = self.rng.random_range(0..SWEEP_INTERVAL.0);
        let until = now + SWEEP_INTERVAL + Millis(spread);
        self.step = Step::Idle(until);
        vec![Action::Wait(until)]
    }

    fn settle(&mut self, stored: &Stored, parts: Vec<StoredPart>, now: Millis) -> Vec<Action> {
        let parts = unnamed(stored, parts);
        if parts.is_empty() {
            return self.rest(now);
        }
        self.step = Step::Settling(stored.version, parts);
        Vec::new()
    }
}

/// Those of some parts that a head doesn't name; none if it can't be read.
fn unnamed(stored: &Stored, parts: Vec<StoredPart>) -> Vec<StoredPart> {
    let Ok(head) = Head::read(&stored.bytes) else {
        return Vec::new();
    };
    let named: BTreeSet<_> = head.parts.values().map(|part| part.digest).collect();
    let parts = parts.into_iter();
    parts.filter(|part| !named.contains(&part.digest)).collect()
}

fn delete(stored: &Stored, parts: Vec<StoredPart>) -> Vec<Action> {
    let parts = unnamed(stored, parts).into_iter().take(MAX_DELETED);
    parts.map(Action::Delete).collect()
}
