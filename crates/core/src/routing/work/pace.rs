//! How fast an endpoint works now, as it reports.

use derive_more::Debug;

use crate::clock::Millis;

/// Percentages beyond these can't be meant.
const PERCENTS: std::ops::RangeInclusive<f64> = 1.0..=10_000.0;
/// Time for which a reported pace is believed: it changes several times a second.
const FRESH: Millis = Millis(600);
/// Age at which an endpoint is taken to work at its usual pace again.
const MAX_AGE: Millis = Millis(1000);

/// Time that work takes, as a percentage of the usual time.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub struct Pace(u32);

impl Pace {
    /// The pace of a reported percentage; none if it can't be meant.
    pub fn from_percent(percent: f64) -> Option<Self> {
        PERCENTS.contains(&percent).then_some(Self(percent as u32))
    }

    fn factor(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}

/// A pace, and when it was reported.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub(super) struct ReportedPace {
    pace: Pace,
    at: Millis,
}

impl ReportedPace {
    pub(super) const fn new(pace: Pace, at: Millis) -> Self {
        Self { pace, at }
    }

    pub(super) fn is_recent(&self, now: Millis) -> bool {
        now.since(self.at) < MAX_AGE
    }

    /// The pace that is assumed now.
    pub(super) fn factor(&self, now: Millis) -> f64 {
        let stale = now.since(self.at).since(FRESH).0 as f64;
        let belief = 1.0 - stale / MAX_AGE.since(FRESH).0 as f64;
        1.0 + (self.pace.factor() - 1.0) * belief.max(0.0)
    }
}
