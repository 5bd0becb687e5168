//! Admits a part of the requests of one account.

use derive_more::Debug;

use crate::clock::Millis;

/// Requests that may be admitted beyond the part, since a slot was free, and are made up for later.
const MAX_DEBT: f64 = 2.0;
/// Shortest time after which a refused caller may retry, and the range over which those that were
/// refused together are spread, as parts of the target. The target counts from the first attempt,
/// so that an early retry may still be in time.
const MIN_WAIT: f64 = 0.1;
const SPREAD: f64 = 0.2;
/// Largest part of the time until the deadline that a caller is told to wait; the rest is for its
/// next attempt.
const MAX_WAIT: f64 = 0.5;

/// Credit of an account towards its next request that is admitted.
#[derive(Clone, Copy)]
#[derive(Debug)]
pub struct Credit(f64);

impl Credit {
    /// A credit between 0 and 1; if all began with none, the first requests of all would be refused.
    pub const fn new(draw: f64) -> Self {
        Self(draw)
    }

    /// Adds a request of which a part is admitted; returns whether it is, which it always is if
    /// `is_free`.
    pub fn admit(&mut self, part: f64, is_free: bool) -> bool {
        let credit = self.0 + part;
        let is_admitted = is_free || credit >= 1.0;
        self.0 = match is_admitted {
            true => (credit - 1.0).max(-MAX_DEBT),
            false => credit,
        };
        is_admitted
    }

    /// Gives back a request that was admitted and isn't sent.
    pub fn restore(&mut self) {
        self.0 = (self.0 + 1.0).min(1.0);
    }

    /// Time after which the account's next request is admitted, if its requests arrive at a rate per
    /// second, spread by a random number from 0 to 1.
    pub fn wait(&self, part: f64, rate: f64, target: Millis, left: Millis, draw: f64) -> Millis {
        let target = target.as_secs_f64();
        let next = (1.0 - self.0).max(0.0) / (part * rate).max(f64::MIN_POSITIVE);
        let wait = next.max(target * MIN_WAIT);
        let wait = wait + draw * wait.max(target * SPREAD);
        let most = left.as_secs_f64() * MAX_WAIT;
        Millis((wait.min(most) * 1000.0) as u64)
    }
}
