//! Exponential backoff with full jitter.

use medlarrill_core::clock::Millis;
use rand::{Rng, RngExt};

/// Doublings after which the bound no longer grows.
const MAX_DOUBLINGS: u32 = 20;

/// Bounds of the delays between attempts.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Backoff {
    /// Upper bound of the first delay.
    pub base: Millis,
    /// Upper bound of any delay.
    pub cap: Millis,
}

impl Default for Backoff {
    fn default() -> Self {
        Self {
            base: Millis(100),
            cap: Millis::from_secs(5),
        }
    }
}

impl Backoff {
    /// Delay after a number of failures: uniformly random up to a bound that
    /// doubles with each failure, so that the retries of many callers spread out.
    pub fn wait(&self, failures: u32, rng: &mut impl Rng) -> Millis {
        let doublings = failures.saturating_sub(1).min(MAX_DOUBLINGS);
        let bound = self.base.0.saturating_mul(1 << doublings);
        let bound = bound.min(self.cap.0).max(1);
        Millis(rng.random_range(1..=bound))
    }
}
