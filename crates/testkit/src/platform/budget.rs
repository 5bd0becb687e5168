//! How many calls a second the platform takes.

use std::time::Instant;

use serde::{Deserialize, Serialize};

/// Calls a second, in bursts of at most one second's; absent means no limit.
#[derive(Clone, Copy, PartialEq, Default, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Budget {
    /// Creates, updates and deletes a second.
    pub writes: Option<f64>,
    /// All other calls a second, a watch as one.
    pub reads: Option<f64>,
}

/// A token bucket that holds one second's calls.
#[derive(Debug)]
pub(super) struct Bucket {
    rate: Option<f64>,
    level: f64,
    filled: Instant,
}

impl Bucket {
    pub(super) fn new(rate: Option<f64>) -> Self {
        Self {
            rate,
            level: rate.unwrap_or_default(),
            filled: Instant::now(),
        }
    }

    /// Takes one call if the budget allows it.
    pub(super) fn take(&mut self) -> bool {
        let Some(rate) = self.rate else {
            return true;
        };
        let now = Instant::now();
        let gained = rate * now.duration_since(self.filled).as_secs_f64();
        self.filled = now;
        self.level = (self.level + gained).min(rate);
        if self.level < 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }
}
