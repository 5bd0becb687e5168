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
/// Part of the patience that is accepted as wait at a standing queue, as a divisor.
const DIVISOR: u64 = 4;

/// Since when the queue hasn't been empty.
#[derive(Clone, Default, Debug)]
pub(super) struct Overload {
    since: Option<Millis>,
}

impl Overload {
    /// Notes whether requests wait.
    pub(super) fn note(&mut self, waiting: bool, now: Millis) {
        if !waiting {
            self.since = None;
        } else if self.since.is_none() {
            self.since = Some(now);
        }
    }

    /// The longest predicted wait that is accepted.
    pub(super) fn patience(&self, patience: Millis, now: Millis) -> Millis {
        let standing = self.since.is_some_and(|since| now.since(since) > STANDING);
        if !standing {
            return patience;
        }
        Millis(patience.0 / DIVISOR)
    }
}
