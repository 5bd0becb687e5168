//! The work left at one endpoint.

use derive_more::Debug;

use super::pace::{Pace, ReportedPace};
use super::rate::ReadingRate;
use crate::clock::Millis;
use crate::units::Tokens;

/// Age at which what others reported no longer counts: ten reports.
const MAX_AGE: Millis = Millis::from_secs(1);
/// Least share of this daemon's reading that counts as left before an output shows that it is done:
/// the rate is an estimate.
const MIN_LEFT: f64 = 0.25;

/// The work left at one endpoint.
#[derive(Clone, Copy, Default)]
#[derive(Debug)]
pub(super) struct Left {
    /// Tokens of this daemon's prompts that are being read or wait for it.
    own: Tokens,
    /// Those of them that are told to others.
    told: Tokens,
    /// When the endpoint began with the first of them.
    since: Millis,
    /// Tokens of other daemons' prompts, as reported at `at`.
    others: Tokens,
    at: Millis,
    /// The last update of all endpoints that named this one.
    update: u64,
    pace: Option<ReportedPace>,
}

impl Left {
    pub(super) const fn told(&self) -> Tokens {
        self.told
    }

    pub(super) const fn tell(&mut self, tokens: Tokens) {
        self.told.0 += tokens.0;
    }

    pub(super) fn begin(&mut self, tokens: Tokens, now: Millis) {
        if self.own == Tokens::ZERO {
            self.since = now;
        }
        self.own.0 += tokens.0;
    }

    pub(super) const fn end(&mut self, tokens: Tokens, told: Tokens, now: Millis) {
        self.told.0 = self.told.0.saturating_sub(told.0);
        self.own.0 = self.own.0.saturating_sub(tokens.0);
        self.since = now;
    }

    pub(super) const fn set_others(&mut self, tokens: Tokens, update: u64, now: Millis) {
        self.others = tokens;
        self.update = update;
        self.at = now;
    }

    pub(super) fn set_pace(&mut self, pace: Pace, now: Millis) {
        self.pace = Some(ReportedPace::new(pace, now));
    }

    /// Factor by which its work takes longer than usual.
    pub(super) fn pace(&self, now: Millis) -> f64 {
        self.pace.map_or(1.0, |pace| pace.factor(now))
    }

    /// Estimated tokens that are still to be read.
    pub(super) fn tokens(&self, rate: ReadingRate, now: Millis) -> f64 {
        let own = self.own.0 as f64;
        let read = rate.tokens(now.since(self.since)) / self.pace(now);
        let age = now.since(self.at).0 as f64 / MAX_AGE.0 as f64;
        let others = self.others.0 as f64 * (1.0 - age).max(0.0);
        (own - read).max(own * MIN_LEFT) + others
    }

    /// Whether anything is known of it after an update.
    pub(super) fn is_kept(&mut self, update: u64, now: Millis) -> bool {
        if self.update < update {
            self.others = Tokens::ZERO;
        }
        let is_busy = self.own.0 + self.others.0 > 0;
        is_busy || self.pace.is_some_and(|pace| pace.is_recent(now))
    }
}
