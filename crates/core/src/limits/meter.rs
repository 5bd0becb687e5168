//! A decayed count of events.

use derive_more::Debug;

use crate::clock::Millis;

/// Events a second, over a span that fades out.
#[derive(Clone)]
#[derive(Debug)]
pub(super) struct Meter {
    span: Millis,
    rate: f64,
    at: Millis,
}

impl Meter {
    pub(super) fn new(span: Millis, now: Millis) -> Self {
        Self {
            span,
            rate: 0.0,
            at: now,
        }
    }

    /// Counts events.
    pub(super) fn count(&mut self, events: u32, now: Millis) {
        self.rate = self.rate(now) + f64::from(events) / self.span.as_secs_f64();
        self.at = now;
    }

    /// Events a second.
    pub(super) fn rate(&self, now: Millis) -> f64 {
        let passed = now.since(self.at).as_secs_f64();
        self.rate * (-passed / self.span.as_secs_f64()).exp()
    }

    /// Events a second without the last few, which have come just now.
    pub(super) fn rate_before(&self, last: usize, now: Millis) -> f64 {
        let last = last as f64 / self.span.as_secs_f64();
        (self.rate(now) - last).max(0.0)
    }
}
