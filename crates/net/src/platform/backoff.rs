//! Growing waits between tries, with full jitter.

use medlarrill_core::clock::Millis;
use rand::{Rng, RngExt};

/// Doublings after which the longest wait stays.
const MAX_DOUBLINGS: u32 = 20;

/// Bounds of the waits between tries.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Backoff {
    /// Longest first wait.
    pub base: Millis,
    /// Longest wait.
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
    /// A wait after `tries` failures: evenly drawn up to a bound that doubles
    /// with each, so that many callers spread out.
    pub fn wait(&self, tries: u32, rng: &mut impl Rng) -> Millis {
        let doublings = tries.saturating_sub(1).min(MAX_DOUBLINGS);
        let bound = self.base.0.saturating_mul(1 << doublings);
        let bound = bound.min(self.cap.0).max(1);
        Millis(rng.random_range(1..=bound))
    }
}
