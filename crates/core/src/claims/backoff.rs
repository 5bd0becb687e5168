//! Exponential backoff with jitter.

use rand::{Rng, RngExt};

use crate::clock::Millis;

/// Largest number of doublings.
const MAX_SHIFT: u32 = 16;

/// Delay between attempts that doubles with each consecutive failure.
#[derive(Clone, Debug)]
pub struct Backoff {
    /// Delay after the first failure, before jitter.
    min: Millis,
    /// Longest delay.
    max: Millis,
    /// Consecutive failures.
    failures: u32,
}

impl Backoff {
    /// Starts at `min` and never exceeds `max`.
    pub const fn new(min: Millis, max: Millis) -> Self {
        Self {
            min,
            max,
            failures: 0,
        }
    }

    /// Counts a failure and returns a random delay between half the current delay and all of it.
    pub fn next_delay(&mut self, rng: &mut impl Rng) -> Millis {
        let shift = self.failures.min(MAX_SHIFT);
        self.failures = self.failures.saturating_add(1);
        let delay = (self.min.0 << shift).min(self.max.0);
        Millis(rng.random_range(delay / 2..=delay))
    }

    /// Resets the delay after a success.
    pub const fn reset(&mut self) {
        self.failures = 0;
    }

    /// Number of consecutive failures.
    pub const fn failures(&self) -> u32 {
        self.failures
    }
}
