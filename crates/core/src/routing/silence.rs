//! Silence of endpoints, and what it is a reason for.
//!
//! An endpoint that gives no sign of life may have paused, or hang for good; only time tells them
//! apart. So a request that waits for a silent endpoint isn't taken from it: it is hedged, and the first
//! attempt is dropped when the second one is answered. What many endpoints do at once isn't a failure
//! of each of them, so that requests aren't hedged at first. An endpoint that
//! requests have left is avoided until it gives a sign, and only counts as failing if it gives none
//! to a request that tries it later.

use std::collections::HashMap;

use derive_more::Debug;
use foldhash::fast::RandomState;

use crate::clock::Millis;
use crate::routing::endpoint::InstanceId;
use crate::routing::runs::Silences;

/// Shortest time without a sign that counts as silence: a few events of a stream.
pub const MIN_SILENCE: Millis = Millis(300);
/// Silence from which on an endpoint is taken to hang, however many others are silent.
const HANG_TIME: Millis = Millis::from_secs(3);
/// Share of the endpoints that must be silent for their silence to have a common cause.
const COMMON_SHARE: f64 = 1.0 / 3.0;
/// Requests that must have left a silent endpoint for it to be avoided: a single one may be slow.
const AVOIDED_AT: u32 = 2;
/// First pause between two trials of a silent endpoint; doubles with each one that fails.
const FIRST_PAUSE: Millis = Millis(500);
/// Longest pause between two trials.
const MAX_PAUSE: Millis = Millis::from_secs(4);
/// Time after which an endpoint that isn't tried is no longer avoided.
const FORGET: Millis = Millis::from_secs(15);

/// The silence of an endpoint among the others of its pool.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub struct SeenSilence {
    /// Time since it gave a sign of life.
    pub lasted: Millis,
    /// The others with requests of this daemon, by whether they have been silent for half as long.
    pub others: Silences,
}

impl SeenSilence {
    /// Whether the endpoint is silent at all, and not only towards one request.
    pub fn is_silent(&self) -> bool {
        self.lasted >= MIN_SILENCE
    }

    /// Whether it is taken to hang.
    pub fn hangs(&self) -> bool {
        self.lasted >= HANG_TIME
    }

    /// Whether the silence has a cause that several endpoints share, and may pass.
    pub fn is_common(&self) -> bool {
        let Silences { silent, heard } = self.others;
        self.is_silent() && !self.hangs() && is_common(silent + 1, silent + heard + 1)
    }
}

/// Whether so many of some endpoints are silent that this has a common cause.
pub fn is_common(silent: usize, endpoints: usize) -> bool {
    silent > 1 && silent as f64 >= COMMON_SHARE * endpoints as f64
}

/// What follows from a request that left a silent endpoint.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub enum Left {
    /// Nothing yet.
    Noted,
    /// The endpoint is avoided from now on.
    Avoided,
    /// It gave no sign to a request that was sent while it was avoided: it counts as failing.
    TrialFailed,
}

/// An endpoint that requests left.
#[derive(Clone, Copy)]
#[derive(Debug)]
struct Entry {
    left: u32,
    last_left: Millis,
    /// When it was last sent a trial.
    last_trial: Millis,
    pause: Millis,
}

impl Entry {
    const fn is_avoided(&self) -> bool {
        self.left >= AVOIDED_AT
    }
}

/// Endpoints that requests of this daemon left because they were silent, until they give a sign.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct SilentEndpoints {
    entries: HashMap<InstanceId, Entry, RandomState>,
}

impl SilentEndpoints {
    /// Records that a request that was sent at `sent` left a silent endpoint.
    pub fn record_left(&mut self, id: &InstanceId, sent: Millis, now: Millis) -> Left {
        let entry = self.entries.entry(id.clone()).or_insert(Entry {
            left: 0,
            last_left: now,
            last_trial: now,
            pause: FIRST_PAUSE,
        });
        let was_avoided = entry.is_avoided();
        if was_avoided && sent < entry.last_left {
            return Left::Noted;
        }
        entry.left += 1;
        entry.last_left = now;
        if was_avoided {
            entry.pause = Millis(entry.pause.0 * 2).min(MAX_PAUSE);
            return Left::TrialFailed;
        }
        entry.last_trial = now;
        match entry.is_avoided() {
            true => Left::Avoided,
            false => Left::Noted,
        }
    }

    /// Records a sign of life; returns whether the endpoint was avoided until now.
    pub fn record_sign(&mut self, id: &InstanceId) -> bool {
        let entry = self.entries.remove(id);
        entry.is_some_and(|entry| entry.is_avoided())
    }

    /// Records that an avoided endpoint is sent a trial.
    pub fn record_trial(&mut self, id: &InstanceId, now: Millis) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.last_trial = now;
        }
    }

    /// Whether an endpoint is avoided, and whether it is due for a trial.
    pub fn avoided(&self, id: &InstanceId, now: Millis) -> Option<bool> {
        let entry = self.entries.get(id).filter(|entry| entry.is_avoided())?;
        Some(now.since(entry.last_trial) >= entry.pause)
    }

    /// Endpoints that are avoided.
    pub fn all_avoided(&self) -> impl Iterator<Item = &InstanceId> {
        let avoided = self.entries.iter().filter(|(_, entry)| entry.is_avoided());
        avoided.map(|(id, _)| id)
    }

    /// Forgets an endpoint.
    pub fn forget(&mut self, id: &InstanceId) {
        self.entries.remove(id);
    }

    /// Forgets endpoints that no request left for a while.
    pub fn prune(&mut self, now: Millis) {
        self.entries
            .retain(|_, entry| now.since(entry.last_left) < FORGET);
    }
}
