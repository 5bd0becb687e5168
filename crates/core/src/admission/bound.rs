//! The endpoint's load, and how much of it the pool's mean allows.

use derive_more::Debug;

use crate::clock::Millis;

use super::event::{Mean, Report};
use super::flights::{Flights, Past};

/// Age up to which a mean is taken as fresh.
const MEAN_FRESH: Millis = Millis::from_secs(2);
/// Age from which no more than the mean itself is allowed.
const MEAN_STALE: Millis = Millis::from_secs(10);
/// Age from which a report no longer lowers the estimate.
const REPORT_STALE: Millis = Millis::from_secs(5);
/// Part of a report's lower load that is believed, as a divisor.
const LOWER_DIVISOR: u64 = 2;
/// Part of the slots that a former home may have filled unseen, as a divisor.
const UNSEEN_DIVISOR: u32 = 4;

/// What is known of the endpoint's load beside the home's own count.
#[derive(Clone, Default)]
#[derive(Debug)]
pub(super) struct Bound {
    /// Start of the home, after which a report must hold to end its probation.
    start: Millis,
    /// Whether such a report has come.
    proven: bool,
    /// The newest report, and what was in flight when it held.
    report: Option<(Report, Past)>,
    /// The newest mean, and the home's own work when it came.
    mean: Option<(Mean, u64)>,
}

impl Bound {
    pub(super) fn new(start: Millis) -> Self {
        Self {
            start,
            ..Self::default()
        }
    }

    /// Whether the home still has to learn what its predecessor left running.
    pub(super) const fn on_probation(&self) -> bool {
        !self.proven
    }

    /// Takes a report unless a newer one is known.
    pub(super) fn report(&mut self, report: Report, flights: &Flights) {
        if self
            .report
            .is_some_and(|(known, _)| known.as_of > report.as_of)
        {
            return;
        }
        self.proven |= report.as_of > self.start;
        self.report = Some((report, flights.at(report.as_of)));
    }

    /// Takes a mean unless a newer one is known.
    pub(super) fn mean(&mut self, mean: Mean, own: u64) {
        if self.mean.is_some_and(|(known, _)| known.as_of > mean.as_of) {
            return;
        }
        self.mean = Some((mean, own));
    }

    /// Slots that the home may fill.
    pub(super) fn slots(&self, set: u32) -> u32 {
        let unseen = (set / UNSEEN_DIVISOR).max(1);
        let Some((report, past)) = &self.report else {
            return unseen;
        };
        let slots = match report.slots {
            0 => set,
            own => own.min(set),
        };
        let busy = report.running + report.waiting;
        if self.proven {
            return slots.saturating_sub(busy.saturating_sub(past.count));
        }
        slots.saturating_sub(busy + unseen)
    }

    /// Work at the endpoint: the home's own count, corrected by the last report.
    pub(super) fn load(&self, flights: &Flights, grain: u64, now: Millis) -> u64 {
        let own = flights.work();
        let Some((report, past)) = &self.report else {
            return own;
        };
        if !self.proven {
            let unseen = u64::from((report.slots / UNSEEN_DIVISOR).max(1)) * grain;
            return own + report.tokens.0 + unseen;
        }
        let above = match waits_alone(report, past) {
            true => 0,
            false => report.tokens.0.saturating_sub(past.work),
        };
        if above > 0 {
            return own + above;
        }
        if now.since(report.as_of) > REPORT_STALE {
            return own;
        }
        let below = past.least.saturating_sub(report.tokens.0);
        own.saturating_sub(below / LOWER_DIVISOR)
    }

    /// Load from which no more is dispatched. Without a mean, only an idle endpoint gets work.
    pub(super) fn limit(&self, multiple: f64, own: u64, now: Millis) -> u64 {
        let Some((mean, then)) = &self.mean else {
            return 0;
        };
        let endpoints = f64::from(mean.endpoints.max(1));
        let moved = (own as f64 - *then as f64) / endpoints;
        let present = (mean.load.0 as f64 + moved).max(0.0);
        (present * allowed(multiple, now.since(mean.as_of))) as u64
    }
}

/// Whether requests waited at the endpoint, and all that it had were the home's own. Engines count
/// the whole prompt of one that waits, the home only what isn't cached: the difference is no work
/// of others, and would keep returning chats away from their cache.
const fn waits_alone(report: &Report, past: &Past) -> bool {
    report.waiting > 0 && report.running + report.waiting <= past.count
}

/// The multiple of a mean of some age: what may go beyond the mean shrinks as it gets stale.
fn allowed(multiple: f64, age: Millis) -> f64 {
    let span = MEAN_STALE.since(MEAN_FRESH).as_secs_f64();
    let stale = (age.since(MEAN_FRESH).as_secs_f64() / span).min(1.0);
    multiple - (multiple - 1.0).max(0.0) * stale
}
