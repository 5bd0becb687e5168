//! An exponentially decaying event rate.

use derive_more::Debug;

use crate::clock::Millis;

/// Events a second, averaged with an exponential decay.
#[derive(Clone)]
#[derive(Debug)]
pub(super) struct Meter {
    time_constant: Millis,
    rate: f64,
    updated: Millis,
}

impl Meter {
    pub(super) fn new(time_constant: Millis, now: Millis) -> Self {
        Self {
            time_constant,
            rate: 0.0,
            updated: now,
        }
    }

    /// Adds events that happened now.
    pub(super) fn count(&mut self, events: u32, now: Millis) {
        self.rate = self.rate(now) + f64::from(events) / self.time_constant.as_secs_f64();
        self.updated = now;
    }

    /// Events a second.
    pub(super) fn rate(&self, now: Millis) -> f64 {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.rate * (-elapsed / self.time_constant.as_secs_f64()).exp()
    }

    /// Events a second without the `last` events, which happened just now.
    pub(super) fn rate_before(&self, last: usize, now: Millis) -> f64 {
        let recent = last as f64 / self.time_constant.as_secs_f64();
        (self.rate(now) - recent).max(0.0)
    }
}
