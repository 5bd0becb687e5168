//! Measures how fast the endpoint completes work while requests wait for it.
//!
//! Time during which requests wait is called busy time.

use derive_more::Debug;

use crate::clock::Millis;

/// Busy time after which the weight of a measurement is halved.
const HALF_LIFE: Millis = Millis::from_secs(10);
/// Weight of the estimate from single requests, in milliseconds of busy time.
const PRIOR_MS: f64 = 2_000.0;
/// Smoothing factor of the estimated rate of a slot, per request.
const SLOT_SMOOTHING: f64 = 1.0 / 32.0;

/// Estimate of the work that the endpoint completes per millisecond.
#[derive(Clone)]
#[derive(Debug)]
pub(super) struct Throughput {
    /// Work that one slot completes per millisecond.
    slot_rate: f64,
    /// Work completed during busy time, decayed.
    completed: f64,
    /// Busy time in milliseconds, decayed.
    busy_span: f64,
    /// Total busy time.
    busy_time: Millis,
    /// When the busy time was last updated.
    updated: Millis,
    /// Whether requests wait.
    busy: bool,
}

impl Throughput {
    /// Creates an estimate with an initial `slot_rate`, the work that a slot completes per second.
    pub(super) fn new(slot_rate: f64, now: Millis) -> Self {
        Self {
            slot_rate: (slot_rate / 1000.0).max(f64::MIN_POSITIVE),
            completed: 0.0,
            busy_span: 0.0,
            busy_time: Millis::ZERO,
            updated: now,
            busy: false,
        }
    }

    /// Updates the busy time; `busy` is whether requests wait from now on.
    pub(super) fn advance(&mut self, now: Millis, busy: bool) {
        let passed = now.since(self.updated);
        self.updated = self.updated.max(now);
        if self.busy {
            let decay = passed.decay_factor(HALF_LIFE);
            self.completed *= decay;
            self.busy_span = self.busy_span * decay + passed.0 as f64;
            self.busy_time += passed;
        }
        self.busy = busy;
    }

    /// Total busy time so far.
    pub(super) const fn busy_time(&self) -> Millis {
        self.busy_time
    }

    /// Records a completed request charged with `work`, which ran for `service`, `busy` of it while requests waited.
    pub(super) fn record(&mut self, work: u64, service: Millis, busy: Millis) {
        let service = service.0.max(1) as f64;
        let rate = work as f64 / service;
        self.slot_rate += (rate - self.slot_rate) * SLOT_SMOOTHING;
        self.completed += work as f64 * (busy.0 as f64 / service).min(1.0);
    }

    /// Work completed per millisecond with this number of slots.
    pub(super) fn rate(&self, slots: u32) -> f64 {
        let prior = self.slot_rate * f64::from(slots.max(1));
        let rate = (prior * PRIOR_MS + self.completed) / (PRIOR_MS + self.busy_span);
        rate.max(f64::MIN_POSITIVE)
    }
}
