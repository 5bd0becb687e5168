//! Delays between tries: doubled each time, with seeded jitter.

use rand::{Rng, RngExt};

use crate::clock::Millis;

/// Largest number of doublings.
const MAX_SHIFT: u32 = 16;

/// Grows the delay with each failure in a row.
#[derive(Clone, Debug)]
pub struct Backoff {
    /// Delay after the first failure.
    first: Millis,
    /// Longest delay.
    most: Millis,
    /// Failures in a row.
    failures: u32,
}

impl Backoff {
    /// Starts at `first` and never waits longer than `most`.
    pub const fn new(first: Millis, most: Millis) -> Self {
        Self {
            first,
            most,
            failures: 0,
        }
    }

    /// Counts a failure and draws the delay: between half of it and the whole.
    pub fn fail(&mut self, rng: &mut impl Rng) -> Millis {
        let shift = self.failures.min(MAX_SHIFT);
        self.failures = self.failures.saturating_add(1);
        let whole = (self.first.0 << shift).min(self.most.0);
        Millis(rng.random_range(whole / 2..=whole))
    }

    /// Forgets the failures.
    pub const fn succeed(&mut self) {
        self.failures = 0;
    }

    /// Failures in a row.
    pub const fn failures(&self) -> u32 {
        self.failures
    }
}
