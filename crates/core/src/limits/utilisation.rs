//! How much of an account's limits is used, and whether that is little.

use derive_more::Debug;

use crate::clock::Millis;

use super::entry_usage::Sums;
use super::meter::Meter;
use super::{Limits, STRICT_FLEET_SIZE};

/// Fraction of a limit above which low utilisation ends, and the sum of shares is kept to the
/// limit.
const LOW_END: f64 = 0.8;
/// Fraction of a limit at or below which low utilisation starts, and the sum of shares may exceed
/// the limit.
const LOW_START: f64 = 0.6;
/// Time constant of the arrival rate, which is estimated from requests for shares and from samples.
const ARRIVALS_TIME_CONSTANT: Millis = Millis::from_secs(20);
/// Largest factor by which use is assumed to exceed what entries have reported.
const MAX_UNREPORTED_FACTOR: f64 = 4.0;

/// Utilisation of an account's limits.
#[derive(Clone, Debug)]
pub(super) struct Utilisation {
    /// Rate of requests that entries asked for or admitted.
    arrivals: Meter,
    low: bool,
}

impl Utilisation {
    pub(super) fn new(now: Millis) -> Self {
        Self {
            arrivals: Meter::new(ARRIVALS_TIME_CONSTANT, now),
            low: false,
        }
    }

    /// Whether utilisation was low at the last update.
    pub(super) const fn is_low(&self) -> bool {
        self.low
    }

    /// Counts requests that entries asked for or admitted.
    pub(super) fn count(&mut self, requests: u32, now: Millis) {
        self.arrivals.count(requests, now);
    }

    /// Updates the state, and returns whether low utilisation has just ended.
    pub(super) fn update(&mut self, sums: &Sums, limits: Limits, live: u32, now: Millis) -> bool {
        let was_low = self.low;
        let max = if was_low { LOW_END } else { LOW_START };
        self.low = live > STRICT_FLEET_SIZE && self.fraction(sums, limits, now) <= max;
        was_low && !self.low
    }

    /// Used fraction of the limits, the larger of concurrency and rate.
    fn fraction(&self, sums: &Sums, limits: Limits, now: Millis) -> f64 {
        let arrivals = self.arrivals.rate(now);
        let reported = (sums.offered_rate as f64 / 100.0).max(arrivals / MAX_UNREPORTED_FACTOR);
        // Entries that haven't reported yet are assumed to use as much as the others.
        let factor = (arrivals / reported.max(f64::MIN_POSITIVE)).max(1.0);
        let concurrency = sums.in_flight as f64 * factor / f64::from(limits.concurrency.max(1));
        let rate = reported * factor / limits.rate.max(0.01);
        concurrency.max(rate)
    }
}
