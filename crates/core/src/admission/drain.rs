//! How fast the endpoint clears work while requests wait for it.

use derive_more::Debug;

use crate::clock::Millis;

/// Busy time after which a measurement counts half.
const HALF_LIFE: Millis = Millis::from_secs(10);
/// Busy time for which the estimate from single requests stands in.
const PRIOR_MS: f64 = 2_000.0;
/// Part by which one request moves the estimate of a slot's speed.
const SLOT_STEP: f64 = 1.0 / 32.0;

/// Estimate of the work that is cleared in a millisecond.
#[derive(Clone)]
#[derive(Debug)]
pub(super) struct Drain {
    /// Work that one slot clears in a millisecond.
    slot: f64,
    /// Work cleared in busy time, decayed.
    cleared: f64,
    /// Busy time in milliseconds, decayed.
    span: f64,
    /// All busy time.
    total: Millis,
    /// When it was last brought up to date.
    at: Millis,
    /// Whether requests wait.
    busy: bool,
}

impl Drain {
    /// Starts with a guess of the work that a slot clears in a second.
    pub(super) fn new(slot_rate: f64, now: Millis) -> Self {
        Self {
            slot: (slot_rate / 1000.0).max(f64::MIN_POSITIVE),
            cleared: 0.0,
            span: 0.0,
            total: Millis::ZERO,
            at: now,
            busy: false,
        }
    }

    /// Brings the busy time up to date and says whether requests wait from now on.
    pub(super) fn advance(&mut self, now: Millis, busy: bool) {
        let passed = now.since(self.at);
        self.at = self.at.max(now);
        if self.busy {
            let decay = passed.decay_factor(HALF_LIFE);
            self.cleared *= decay;
            self.span = self.span * decay + passed.0 as f64;
            self.total += passed;
        }
        self.busy = busy;
    }

    /// All busy time so far.
    pub(super) const fn total(&self) -> Millis {
        self.total
    }

    /// Notes work that was charged and took `service`, of which `busy` while requests waited.
    pub(super) fn clear(&mut self, work: u64, service: Millis, busy: Millis) {
        let service = service.0.max(1) as f64;
        let speed = work as f64 / service;
        self.slot += (speed - self.slot) * SLOT_STEP;
        self.cleared += work as f64 * (busy.0 as f64 / service).min(1.0);
    }

    /// Work cleared in a millisecond, given the slots in use.
    pub(super) fn rate(&self, slots: u32) -> f64 {
        let prior = self.slot * f64::from(slots.max(1));
        let rate = (prior * PRIOR_MS + self.cleared) / (PRIOR_MS + self.span);
        rate.max(f64::MIN_POSITIVE)
    }
}
