//! Delays between tries: doubled each time, with seeded jitter.

use rand::{Rng, RngExt};

use crate::clock::Millis;

/// Largest number of doublings.
const MAX_SHIFT: u32 = 16;

/// Grows the delay with each failure in a row.
#[derive(Clone, Debug)]
pub struct Backoff {
    /// Delay after the first failure.
    min: Millis,
    /// Longest delay.
    max: Millis,
    /// Failures in a row.
    failures: u32,
}

impl Backoff {
    /// Starts at `min` and never waits longer than `max`.
    pub const fn new(min: Millis, max: Millis) -> Self {
        Self {
            min,
            max,
            failures: 0,
        }
    }

    /// Counts a failure and draws the delay: between half of it and the delay.
    pub fn next_delay(&mut self, rng: &mut impl Rng) -> Millis {
        let shift = self.failures.min(MAX_SHIFT);
        self.failures = self.failures.saturating_add(1);
        let delay = (self.min.0 << shift).min(self.max.0);
        Millis(rng.random_range(delay / 2..=delay))
    }

    /// Forgets the failures.
    pub const fn reset(&mut self) {
        self.failures = 0;
    }

    /// Failures in a row.
    pub const fn failures(&self) -> u32 {
        self.failures
    }
}
