//! Whether an account uses little of its limits.

use derive_more::Debug;

use crate::clock::Millis;

use super::line::Sums;
use super::meter::Meter;
use super::{Limits, STRICT_LIVE};

/// Part of a limit from which the sum of shares is kept to it.
const STRICT_FROM: f64 = 0.8;
/// Part of a limit up to which more may be granted than there is.
const EASY_TO: f64 = 0.6;
/// Time over which arrivals are counted from what was asked and from samples.
const ARRIVALS_SPAN: Millis = Millis::from_secs(20);
/// Most by which use is taken to exceed what entries have reported.
const UNKNOWN_TIMES: f64 = 4.0;

/// How much of an account is used, and whether that is little.
#[derive(Clone, Debug)]
pub(super) struct Ease {
    /// Requests that entries asked for or admitted.
    arrivals: Meter,
    easy: bool,
}

impl Ease {
    pub(super) fn new(now: Millis) -> Self {
        Self {
            arrivals: Meter::new(ARRIVALS_SPAN, now),
            easy: false,
        }
    }

    /// Whether little is used, as judged last.
    pub(super) const fn is_easy(&self) -> bool {
        self.easy
    }

    /// Counts requests that entries asked for or admitted.
    pub(super) fn count(&mut self, requests: u32, now: Millis) {
        self.arrivals.count(requests, now);
    }

    /// Judges anew, and says whether little use has just come to its end.
    pub(super) fn judge(&mut self, sums: &Sums, limits: Limits, live: u32, now: Millis) -> bool {
        let was = self.easy;
        let most = if was { STRICT_FROM } else { EASY_TO };
        self.easy = live > STRICT_LIVE && self.used(sums, limits, now) <= most;
        was && !self.easy
    }

    /// The part of the limits that is used.
    fn used(&self, sums: &Sums, limits: Limits, now: Millis) -> f64 {
        let arrivals = self.arrivals.rate(now);
        let known = (sums.rate as f64 / 100.0).max(arrivals / UNKNOWN_TIMES);
        // Entries that haven't reported yet are likely to use as much as the others.
        let unknown = (arrivals / known.max(f64::MIN_POSITIVE)).max(1.0);
        let flights = sums.flights as f64 * unknown / f64::from(limits.concurrency.max(1));
        let rate = known * unknown / limits.rate.max(0.01);
        flights.max(rate)
    }
}
