//! Limits of a home's admission control.

use derive_more::Debug;

use crate::clock::Millis;
use crate::config::Pool;

/// Assumed throughput of one slot in tokens per second, until it is measured.
const SLOT_RATE: f64 = 50.0;
/// Maximum predicted wait of a request that may be passed on.
const PASS_WAIT: Millis = Millis(250);

/// Limits of admission to one endpoint.
#[derive(Clone, PartialEq)]
#[derive(Debug)]
pub struct Settings {
    /// Number of requests that the endpoint runs concurrently.
    pub slots: u32,
    /// Maximum number of waiting requests.
    pub queue: u32,
    /// Maximum load as a multiple of the pool's mean.
    pub load_bound: f64,
    /// Assumed throughput of one slot in tokens per second, until it is measured.
    pub slot_rate: f64,
    /// Maximum predicted wait of a request that may be passed on; with a longer one it is passed on.
    pub pass_wait: Millis,
}

impl Settings {
    /// Creates the limits for the endpoints of a pool.
    pub const fn new(pool: &Pool) -> Self {
        Self {
            slots: pool.slots,
            queue: pool.queue,
            load_bound: pool.load_bound,
            slot_rate: SLOT_RATE,
            pass_wait: PASS_WAIT,
        }
    }

    /// Sets the assumed throughput of one slot, in tokens per second.
    pub const fn with_slot_rate(mut self, rate: f64) -> Self {
        self.slot_rate = rate;
        self
    }

    /// Sets the maximum predicted wait of a request that may be passed on.
    pub const fn with_pass_wait(mut self, wait: Millis) -> Self {
        self.pass_wait = wait;
        self
    }
}
