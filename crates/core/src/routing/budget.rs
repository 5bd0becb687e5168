//! Retry budget: limits the retries that a daemon sends to each pool.
//!
//! In any time window, the fleet may retry a fraction of its requests plus a
//! fixed number, the slack; endpoints count both in windows that begin at any
//! moment. Each daemon spends from a token bucket for each pool, without
//! coordination: its own requests fill the bucket, and so does time, with the
//! daemon's share of the slack. In any window the fleet thus sends at most the
//! tokens in all buckets at its start plus those earned within it. This holds
//! whichever window a request or a retry falls into, whichever daemon callers
//! move to, and however often a daemon restarts.

use std::collections::{HashMap, VecDeque};

use derive_more::{Debug, Display};

use crate::clock::Millis;
use crate::ids::PoolId;
use crate::routing::ablation::{Mechanism, is_on};

/// Part of the ratio that a request adds to its bucket.
const EARNED: f64 = 0.8;
/// Part of the ratio that a bucket may hold for each request of the last window. The sum with
/// [`EARNED`] stays below 1; the rest covers retries in flight when a window begins.
const HELD: f64 = 0.15;
/// Part of the slack that buckets may hold.
const SLACK_HELD: f64 = 0.5;
/// Part of the slack that buckets gain in a window. The sum with [`SLACK_HELD`] stays below 1; the
/// rest covers the initial tokens of daemons that start.
const SLACK_EARNED: f64 = 0.25;
/// Tokens in the bucket of a daemon that starts, so that it can retry its first request.
const INITIAL: f64 = 1.0;

/// Limits on the retries of the fleet.
#[derive(Clone, Copy, PartialEq)]
#[derive(Debug)]
pub struct Settings {
    /// Retries for each request.
    pub ratio: f64,
    /// Length of the window.
    pub window: Millis,
    /// Retries in a window beyond the ratio, all daemons together.
    pub slack: f64,
}

/// Fill level of a bucket.
#[derive(Clone, Copy, PartialEq)]
#[derive(Debug, Display)]
#[display("{left:.1} of {most:.1} left, {slack:.1} of the slack")]
pub struct State {
    /// Retries that may be sent now.
    pub left: f64,
    /// Retries that the bucket may hold.
    pub most: f64,
    /// This daemon's share of the slack, in retries.
    pub slack: f64,
}

/// Token bucket of one pool; a retry takes one token.
#[derive(Clone)]
#[derive(Debug)]
struct Bucket {
    tokens: f64,
    /// When tokens were last added for the time passed.
    refilled: Millis,
    /// When the requests of the last window were counted.
    requests: VecDeque<Millis>,
}

/// Retry budget of one daemon, with a bucket for each pool.
#[derive(Clone)]
#[derive(Debug)]
pub struct RetryBudget {
    settings: Settings,
    /// This daemon's share of the slack, 0 to 1.
    share: f64,
    started: Millis,
    pools: HashMap<PoolId, Bucket>,
}

impl RetryBudget {
    /// The budget of a daemon that starts now, without a share of the slack.
    pub fn new(settings: Settings, now: Millis) -> Self {
        Self {
            settings,
            share: 0.0,
            started: now,
            pools: HashMap::new(),
        }
    }

    /// Sets the limits of the fleet.
    pub fn configure(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Sets this daemon's share of the slack, 0 to 1.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Counts a request, which earns a fraction of a retry.
    pub fn record_request(&mut self, pool: &PoolId, now: Millis) {
        let earned = EARNED * self.settings.ratio;
        self.fill(pool, now);
        let bucket = self.bucket(pool);
        bucket.requests.push_back(now);
        bucket.tokens += earned;
        self.fill(pool, now);
    }

    /// Takes one token if there is one; returns whether the retry may be sent.
    pub fn try_spend(&mut self, pool: &PoolId, now: Millis) -> bool {
        let allowed = self.state(pool, now).left >= 1.0;
        if allowed {
            self.bucket(pool).tokens -= 1.0;
        }
        allowed || !is_on(Mechanism::Budget)
    }

    /// Fill level of a pool's bucket.
    pub fn state(&mut self, pool: &PoolId, now: Millis) -> State {
        let capacity = self.fill(pool, now);
        State {
            left: self.bucket(pool).tokens,
            most: capacity,
            slack: self.share * self.settings.slack,
        }
    }

    /// Adds tokens for the time passed, up to the bucket's capacity; returns that capacity.
    fn fill(&mut self, pool: &PoolId, now: Millis) -> f64 {
        let Settings {
            ratio,
            slack,
            window,
        } = self.settings;
        let slack = self.share * slack;
        let bucket = self.bucket(pool);
        while let Some(at) = bucket.requests.front()
            && now.since(*at) >= window
        {
            bucket.requests.pop_front();
        }
        let passed = now.since(bucket.refilled).as_secs_f64() / window.as_secs_f64();
        bucket.refilled = now;
        let capacity = SLACK_HELD * slack + HELD * ratio * bucket.requests.len() as f64;
        let capacity = capacity.max(INITIAL);
        bucket.tokens = (bucket.tokens + SLACK_EARNED * slack * passed).min(capacity);
        capacity
    }

    fn bucket(&mut self, pool: &PoolId) -> &mut Bucket {
        let refilled = self.started;
        self.pools.entry(pool.clone()).or_insert_with(|| Bucket {
            tokens: INITIAL,
            refilled,
            requests: VecDeque::new(),
        })
    }
}
