//! Estimates the endpoint's load, and limits it to a multiple of the pool's mean.

use derive_more::Debug;

use crate::clock::Millis;

use super::event::{Mean, Report};
use super::in_flight::{InFlight, Snapshot};

/// Age up to which the full multiple of the mean is allowed.
const MEAN_FRESH: Millis = Millis::from_secs(2);
/// Age from which only the mean itself is allowed.
const MEAN_STALE: Millis = Millis::from_secs(10);
/// Age above which a report no longer lowers the estimate.
const REPORT_STALE: Millis = Millis::from_secs(5);
/// A report with a lower load reduces the estimate by the difference divided by this.
const DECREASE_DIVISOR: u64 = 2;
/// Slots divided by this may have been filled by a former home without this home's knowledge.
const UNSEEN_DIVISOR: u32 = 4;

/// What is known about the endpoint's load apart from the home's own count.
#[derive(Clone, Default)]
#[derive(Debug)]
pub(super) struct Bound {
    /// When the home started; only a report measured later ends its probation.
    start: Millis,
    /// Whether such a report was received.
    confirmed: bool,
    /// The newest report, and what was in flight when it was measured.
    report: Option<(Report, Snapshot)>,
    /// The newest mean, and the home's own load when it was received.
    mean: Option<(Mean, u64)>,
}

impl Bound {
    pub(super) fn new(start: Millis) -> Self {
        Self {
            start,
            ..Self::default()
        }
    }

    /// Whether requests that the former home dispatched may still be unknown to this home.
    pub(super) const fn on_probation(&self) -> bool {
        !self.confirmed
    }

    /// Stores a report unless a newer one is known.
    pub(super) fn set_report(&mut self, report: Report, in_flight: &InFlight) {
        if self
            .report
            .is_some_and(|(known, _)| known.as_of > report.as_of)
        {
            return;
        }
        self.confirmed |= report.as_of > self.start;
        self.report = Some((report, in_flight.around(report.as_of)));
    }

    /// Stores a mean unless a newer one is known.
    pub(super) fn set_mean(&mut self, mean: Mean, own: u64) {
        if self.mean.is_some_and(|(known, _)| known.as_of > mean.as_of) {
            return;
        }
        self.mean = Some((mean, own));
    }

    /// Number of slots that the home may fill, given the `configured` number.
    pub(super) fn slots(&self, configured: u32) -> u32 {
        let unseen = (configured / UNSEEN_DIVISOR).max(1);
        let Some((report, past)) = &self.report else {
            return unseen;
        };
        let slots = match report.slots {
            0 => configured,
            reported => reported.min(configured),
        };
        let busy = report.running + report.waiting;
        if self.confirmed {
            return slots.saturating_sub(busy.saturating_sub(past.count));
        }
        slots.saturating_sub(busy + unseen)
    }

    /// Estimated work at the endpoint: the home's own count, corrected by the last report. `mean_work` is the work of
    /// a request of mean size.
    pub(super) fn load(&self, in_flight: &InFlight, mean_work: u64, now: Millis) -> u64 {
        let own = in_flight.work();
        let Some((report, past)) = &self.report else {
            return own;
        };
        if !self.confirmed {
            let unseen = u64::from((report.slots / UNSEEN_DIVISOR).max(1)) * mean_work;
            return own + report.tokens.0 + unseen;
        }
        let excess = match only_own_waiting(report, past) {
            true => 0,
            false => report.tokens.0.saturating_sub(past.max_work),
        };
        if excess > 0 {
            return own + excess;
        }
        if now.since(report.as_of) > REPORT_STALE {
            return own;
        }
        let shortfall = past.min_work.saturating_sub(report.tokens.0);
        own.saturating_sub(shortfall / DECREASE_DIVISOR)
    }

    /// Load above which nothing more is dispatched: `multiple` times the mean, adjusted by what the home's `own` load
    /// has changed since. Without a mean it is zero, so only an idle endpoint gets work.
    pub(super) fn limit(&self, multiple: f64, own: u64, now: Millis) -> u64 {
        let Some((mean, own_before)) = &self.mean else {
            return 0;
        };
        let endpoints = f64::from(mean.endpoints.max(1));
        let change = (own as f64 - *own_before as f64) / endpoints;
        let current = (mean.load.0 as f64 + change).max(0.0);
        (current * allowed_multiple(multiple, now.since(mean.as_of))) as u64
    }
}

/// Whether requests waited at the endpoint and all its requests came from this home. An engine
/// counts the full prompt of a waiting request, the home only the part that isn't cached. The
/// difference is not work of other daemons; counted as such, it would keep returning chats away
/// from their cache.
const fn only_own_waiting(report: &Report, past: &Snapshot) -> bool {
    report.waiting > 0 && report.running + report.waiting <= past.count
}

/// The allowed multiple of a mean of this age: it falls from `multiple` to 1 as the mean gets stale.
fn allowed_multiple(multiple: f64, age: Millis) -> f64 {
    let span = MEAN_STALE.since(MEAN_FRESH).as_secs_f64();
    let staleness = (age.since(MEAN_FRESH).as_secs_f64() / span).min(1.0);
    multiple - (multiple - 1.0).max(0.0) * staleness
}
