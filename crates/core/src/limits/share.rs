//! One account's share at one entry.

use derive_more::Debug;

use crate::clock::Millis;

use super::Limits;

/// Time in which an entry that lost the owner moves half of the way from its grant to its equal
/// share.
const HALF_LIFE: Millis = Millis::from_secs(2);
/// Capacity of the token bucket beyond [`BURST_MIN`], in seconds of the rate.
const BURST_SECS: f64 = 0.5;
/// Least capacity of the token bucket.
const BURST_MIN: f64 = 2.0;

/// What an entry may use of one account.
#[derive(Clone)]
#[derive(Debug)]
pub(super) struct Share {
    /// Concurrency of the last grant.
    pub(super) concurrency: u32,
    /// Rate of the last grant, in requests a second.
    pub(super) rate: f64,
    /// When the grant expires.
    expires: Millis,
    /// Since when the owner is lost; `None` while it answers.
    lost_since: Option<Millis>,
    /// Tokens; each admits one request.
    tokens: f64,
    /// When tokens were last added.
    refilled: Millis,
}

impl Share {
    pub(super) fn new(now: Millis) -> Self {
        Self {
            concurrency: 0,
            rate: 0.0,
            expires: now,
            lost_since: None,
            tokens: 0.0,
            refilled: now,
        }
    }

    /// Replaces the grant.
    pub(super) fn grant(&mut self, concurrency: u32, rate: f64, tokens: u32, expires: Millis) {
        self.concurrency = concurrency;
        self.rate = rate;
        self.expires = expires;
        self.lost_since = None;
        let max_tokens = burst_limit(rate).max(f64::from(tokens));
        self.tokens = (self.tokens + f64::from(tokens)).min(max_tokens);
    }

    /// Marks the owner as lost.
    pub(super) fn mark_lost(&mut self, now: Millis) {
        if self.lost_since.is_none() {
            self.lost_since = Some(now);
            self.tokens = self.tokens.max(1.0);
        }
    }

    /// Marks the owner as lost if the grant has expired, and adds tokens for the time elapsed.
    pub(super) fn update(&mut self, limits: Limits, daemons: u32, now: Millis) {
        let has_grant = self.concurrency > 0 || self.rate > 0.0;
        if has_grant && now >= self.expires {
            self.mark_lost(self.expires);
        }
        let rate = self.current_rate(limits, daemons, now);
        let elapsed = now.since(self.refilled).as_secs_f64();
        self.refilled = self.refilled.max(now);
        let max_tokens = burst_limit(rate).max(self.tokens);
        self.tokens = (self.tokens + rate * elapsed).min(max_tokens);
    }

    /// Concurrency that is allowed now.
    pub(super) fn current_concurrency(&self, limits: Limits, daemons: u32, now: Millis) -> u32 {
        if self.lost_since.is_none() {
            return self.concurrency;
        }
        let equal_share = f64::from(limits.concurrency) / f64::from(daemons.max(1));
        let blended = self.blend(f64::from(self.concurrency), equal_share, now);
        limits.at_least_one(blended)
    }

    /// Takes a token, without a check that there is one.
    pub(super) fn take_token(&mut self) {
        self.tokens -= 1.0;
    }

    /// Whether the rate allows a request now.
    pub(super) fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Time until the next token.
    pub(super) fn time_to_token(&self, limits: Limits, daemons: u32, now: Millis) -> Millis {
        let rate = self.current_rate(limits, daemons, now);
        let missing = (1.0 - self.tokens).max(0.0);
        Millis((missing / rate.max(0.1) * 1000.0).ceil() as u64)
    }

    fn current_rate(&self, limits: Limits, daemons: u32, now: Millis) -> f64 {
        if self.lost_since.is_none() {
            return self.rate;
        }
        self.blend(self.rate, limits.rate / f64::from(daemons.max(1)), now)
    }

    fn blend(&self, granted: f64, equal_share: f64, now: Millis) -> f64 {
        let Some(lost_since) = self.lost_since else {
            return granted;
        };
        let weight = now.since(lost_since).decay_factor(HALF_LIFE);
        granted * weight + equal_share * (1.0 - weight)
    }
}

fn burst_limit(rate: f64) -> f64 {
    BURST_MIN + rate * BURST_SECS
}
