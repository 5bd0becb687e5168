//! Limits of one home.

use derive_more::Debug;

use crate::clock::Millis;
use crate::config::Pool;

/// Work that one slot is taken to clear in a second, until it is measured.
const SLOT_RATE: f64 = 50.0;
/// Longest predicted wait that is kept here while another endpoint could serve.
const PASS_WAIT: Millis = Millis(250);

/// Limits of one home.
#[derive(Clone, PartialEq)]
#[derive(Debug)]
pub struct Settings {
    /// Requests that the endpoint runs at once.
    pub slots: u32,
    /// Requests that may wait.
    pub queue: u32,
    /// Largest load as a multiple of the pool's mean.
    pub load_bound: f64,
    /// Work in tokens that one slot clears in a second, until it is measured.
    pub slot_rate: f64,
    /// Longest predicted wait that is kept here while the request can be passed on.
    pub pass_wait: Millis,
}

impl Settings {
    /// The limits of a pool's endpoints.
    pub const fn new(pool: &Pool) -> Self {
        Self {
            slots: pool.slots,
            queue: pool.queue,
            load_bound: pool.load_bound,
            slot_rate: SLOT_RATE,
            pass_wait: PASS_WAIT,
        }
    }

    /// Sets the work that a slot is taken to clear in a second.
    pub const fn with_slot_rate(mut self, rate: f64) -> Self {
        self.slot_rate = rate;
        self
    }

    /// Sets the longest predicted wait kept while the request can be passed on.
    pub const fn with_pass_wait(mut self, wait: Millis) -> Self {
        self.pass_wait = wait;
        self
    }
}
