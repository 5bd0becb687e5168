//! When a daemon that has just started takes requests.
//!
//! Its first lists may be those of a store that went back to a copy a moment
//! ago: what the store has lost, a revoked key for example, only other daemons
//! know. So it takes requests once others have told what they know, or have not
//! answered in time. Lists that come from another daemon are what it knows. Where
//! no other daemon can know anything, there is nothing to wait for.

use derive_more::Debug;

use crate::clock::Millis;

/// Time since the start of the process after which others are no longer waited for: some round trips
/// between regions. Requests wait meanwhile.
const WAIT: Millis = Millis(500);
/// Time for others' answers if the first lists took as long themselves.
const WAIT_LISTED: Millis = Millis(200);

/// What a daemon that has just started has learned.
#[derive(Clone, Copy)]
#[derive(Debug)]
pub struct Newcomer {
    /// Whether other daemons may have run before.
    has_others: bool,
    /// When all required lists were there.
    listed_at: Option<Millis>,
    has_heard: bool,
}

impl Newcomer {
    /// A daemon that knows nothing yet.
    pub const fn new(has_others: bool) -> Self {
        Self {
            has_others,
            listed_at: None,
            has_heard: false,
        }
    }

    /// Records that all required lists are there; `from_store` if this daemon has read any of them
    /// from the store itself.
    pub fn record_listed(&mut self, from_store: bool, now: Millis) {
        self.listed_at.get_or_insert(now);
        self.has_heard |= !from_store;
    }

    /// Records that another daemon has told what it knows.
    pub const fn record_heard(&mut self) {
        self.has_heard = true;
    }

    /// When it takes requests even if nobody answers; none before its lists are there.
    pub fn due(&self) -> Option<Millis> {
        let listed_at = self.listed_at?;
        Some(match self.has_others && !self.has_heard {
            true => WAIT.max(listed_at + WAIT_LISTED),
            false => listed_at,
        })
    }

    /// Whether it takes requests.
    pub fn is_ready(&self, now: Millis) -> bool {
        self.due().is_some_and(|due| now >= due)
    }
}
