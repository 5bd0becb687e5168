//! Notices a queue that stands, and shortens the waits that are accepted then.
//!
//! When arrivals exceed the capacity for long, a queue that is as long as the
//! callers' patience serves no more requests than a short one; it only makes
//! every one of them wait. So a queue that hasn't been empty for a while is
//! kept short.

use derive_more::Debug;

use crate::clock::Millis;

/// Time for which a queue may stand before it is kept short.
const STANDING: Millis = Millis::from_secs(2);
/// Time for which a queue must be empty to be held as short no more; a short queue is empty now and then.
const CALM: Millis = Millis::from_secs(1);
/// Part of the patience that is accepted as wait at a standing queue, as a divisor.
const DIVISOR: u64 = 16;

/// Whether the queue stands.
#[derive(Clone, Default)]
#[derive(Debug)]
pub(super) struct Overload {
    /// Since when the queue hasn't been empty, or since when it has.
    since: Millis,
    /// Whether requests wait.
    waiting: bool,
    /// Whether the queue has stood, and hasn't been empty for long since.
    stands: bool,
}

impl Overload {
    /// Notes whether requests wait.
    pub(super) fn note(&mut self, waiting: bool, now: Millis) {
        self.stands = self.stands(now);
        if self.waiting != waiting {
            self.waiting = waiting;
            self.since = now;
        }
    }

    /// The longest predicted wait that is accepted.
    pub(super) fn patience(&self, patience: Millis, now: Millis) -> Millis {
        if !self.stands(now) {
            return patience;
        }
        Millis(patience.0 / DIVISOR)
    }

    fn stands(&self, now: Millis) -> bool {
        let passed = now.since(self.since);
        if self.waiting {
            return self.stands || passed > STANDING;
        }
        self.stands && passed <= CALM
    }
}
