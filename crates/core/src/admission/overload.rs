//! Detects a standing queue, and accepts only shorter waits while there is one.
//!
//! When arrivals exceed the capacity for long, a queue as long as the callers'
//! patience serves no more requests than a short one; it only makes every
//! request wait. So a queue that hasn't been empty for some time is kept short.

use derive_more::Debug;

use crate::clock::Millis;

/// Time without an empty queue after which it counts as standing and is kept short.
const STANDING_AFTER: Millis = Millis::from_secs(2);
/// Time for which a standing queue must be empty to be kept short no longer; a queue kept short is empty at times.
const CLEARED_AFTER: Millis = Millis::from_secs(1);
/// Patience divided by this is the maximum wait at a standing queue.
const PATIENCE_DIVISOR: u64 = 16;

/// Tracks whether the queue is standing.
#[derive(Clone, Default)]
#[derive(Debug)]
pub(super) struct Overload {
    /// When `waiting` last changed.
    since: Millis,
    /// Whether requests wait.
    waiting: bool,
    /// Whether the queue was standing at the last update.
    standing: bool,
}

impl Overload {
    /// Records whether requests wait.
    pub(super) fn update(&mut self, waiting: bool, now: Millis) {
        self.standing = self.is_standing(now);
        if self.waiting != waiting {
            self.waiting = waiting;
            self.since = now;
        }
    }

    /// The maximum predicted wait that is accepted, for a request with this patience.
    pub(super) fn max_wait(&self, patience: Millis, now: Millis) -> Millis {
        if !self.is_standing(now) {
            return patience;
        }
        Millis(patience.0 / PATIENCE_DIVISOR)
    }

    fn is_standing(&self, now: Millis) -> bool {
        let passed = now.since(self.since);
        if self.waiting {
            return self.standing || passed > STANDING_AFTER;
        }
        self.standing && passed <= CLEARED_AFTER
    }
}
