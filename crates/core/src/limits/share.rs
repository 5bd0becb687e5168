//! One account's share at one entry.

use derive_more::Debug;

use crate::clock::Millis;

use super::Limits;

/// Time in which an entry without an owner goes half the way to its even part.
const RAMP: Millis = Millis::from_secs(2);
/// Longest time for which unused rate adds up.
const BURST_SECS: f64 = 0.5;
/// Fewest requests that add up.
const BURST_MIN: f64 = 2.0;

/// What an entry may use of one account.
#[derive(Clone)]
#[derive(Debug)]
pub(super) struct Share {
    /// Concurrency as granted last.
    pub(super) concurrency: u32,
    /// Requests a second as granted last.
    pub(super) rate: f64,
    /// End of the grant.
    until: Millis,
    /// Since when the owner is lost.
    lost: Option<Millis>,
    /// Requests that may go now.
    tokens: f64,
    /// When tokens were last added.
    at: Millis,
}

impl Share {
    pub(super) fn new(now: Millis) -> Self {
        Self {
            concurrency: 0,
            rate: 0.0,
            until: now,
            lost: None,
            tokens: 0.0,
            at: now,
        }
    }

    /// Takes a grant.
    pub(super) fn grant(&mut self, concurrency: u32, rate: f64, tokens: u32, until: Millis) {
        self.concurrency = concurrency;
        self.rate = rate;
        self.until = until;
        self.lost = None;
        let most = burst(rate).max(f64::from(tokens));
        self.tokens = (self.tokens + f64::from(tokens)).min(most);
    }

    /// Notes that the owner doesn't answer.
    pub(super) fn lose(&mut self, now: Millis) {
        if self.lost.is_none() {
            self.lost = Some(now);
            self.tokens = self.tokens.max(1.0);
        }
    }

    /// Notes a grant that ran out, and adds the tokens of the time that has passed.
    pub(super) fn advance(&mut self, limits: Limits, live: u32, now: Millis) {
        let granted = self.concurrency > 0 || self.rate > 0.0;
        if granted && now >= self.until {
            self.lose(self.until);
        }
        let rate = self.rate_now(limits, live, now);
        let passed = now.since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        let most = burst(rate).max(self.tokens);
        self.tokens = (self.tokens + rate * passed).min(most);
    }

    /// Concurrency that holds now.
    pub(super) fn concurrency_now(&self, limits: Limits, live: u32, now: Millis) -> u32 {
        if self.lost.is_none() {
            return self.concurrency;
        }
        let even = f64::from(limits.concurrency) / f64::from(live.max(1));
        let mixed = self.mix(f64::from(self.concurrency), even, now);
        // An account must be able to work through any entry that has lost its owner.
        (mixed as u32).max(1).min(limits.concurrency)
    }

    /// Takes a token if there is one.
    pub(super) fn take(&mut self) {
        self.tokens -= 1.0;
    }

    /// Whether a request may go by rate.
    pub(super) fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Time until there is a token again.
    pub(super) fn next_token(&self, limits: Limits, live: u32, now: Millis) -> Millis {
        let rate = self.rate_now(limits, live, now);
        let missing = (1.0 - self.tokens).max(0.0);
        Millis((missing / rate.max(0.1) * 1000.0).ceil() as u64)
    }

    fn rate_now(&self, limits: Limits, live: u32, now: Millis) -> f64 {
        if self.lost.is_none() {
            return self.rate;
        }
        self.mix(self.rate, limits.rate / f64::from(live.max(1)), now)
    }

    fn mix(&self, last: f64, even: f64, now: Millis) -> f64 {
        let Some(lost) = self.lost else {
            return last;
        };
        let kept = now.since(lost).decay_factor(RAMP);
        last * kept + even * (1.0 - kept)
    }
}

fn burst(rate: f64) -> f64 {
    BURST_MIN + rate * BURST_SECS
}
