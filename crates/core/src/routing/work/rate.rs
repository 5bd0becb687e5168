//! How fast the endpoints of a pool read prompts, learned from times to the first output.

use derive_more::Debug;

use super::cost::ReadingCost;
use crate::clock::Millis;
use crate::units::Tokens;

/// Tokens per millisecond until a pool's own rate is learned: that of a common model.
const DEFAULT_RATE: f64 = 50.0;
/// Rates beyond these are taken for errors of measurement.
const MIN_RATE: f64 = 1.0;
const MAX_RATE: f64 = 10_000.0;
/// Shortest reading from which the rate is learned, in tokens. With shorter ones, most of the time
/// passes on the network and in queues.
const MIN_SAMPLE: f64 = 4000.0;
/// Weight of a new sample.
const WEIGHT: f64 = 0.2;
/// Multiple of the known rate from which shared parts were rather cached than read.
const CACHED_FACTOR: f64 = 4.0;

/// Tokens that an endpoint of a pool reads in a millisecond at its usual pace.
#[derive(Clone, Copy, PartialEq)]
#[derive(Debug)]
pub(super) struct ReadingRate(f64);

impl Default for ReadingRate {
    fn default() -> Self {
        Self(DEFAULT_RATE)
    }
}

impl ReadingRate {
    /// Time to read some tokens, in milliseconds.
    pub(super) const fn time(self, tokens: f64) -> f64 {
        tokens / self.0
    }

    /// Tokens that are read in some time.
    pub(super) const fn tokens(self, time: Millis) -> f64 {
        self.0 * time.0 as f64
    }

    /// Learns from the time in which a prompt was read, and others before it.
    pub(super) fn record(&mut self, cost: ReadingCost, ahead: f64, time: Millis, pace: f64) {
        let tokens = ahead + cost.tokens().0 as f64;
        if tokens < MIN_SAMPLE || time == Millis::ZERO {
            return;
        }
        let sample = (tokens / time.0 as f64 * pace).clamp(MIN_RATE, MAX_RATE);
        if cost.shared > Tokens::ZERO && sample > CACHED_FACTOR * self.0 {
            return;
        }
        self.0 = self.0.powf(1.0 - WEIGHT) * sample.powf(WEIGHT);
    }
}
