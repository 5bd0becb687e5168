//! Repeats that a daemon may send to each pool.
//!
//! The fleet may repeat a share of the requests of a window, and some more,
//! the slack; endpoints count both in windows that begin at any moment. Each
//! daemon spends without asking the others, from a token bucket for each pool:
//! its own requests fill it, and time does with a part of the slack. So it
//! doesn't matter in whose window a request or a repeat falls, which daemon
//! callers move to, nor how often a daemon starts: in any window the fleet
//! sends at most what was in all buckets at its begin, and what was earned in
//! it.

use std::collections::{HashMap, VecDeque};

use derive_more::{Debug, Display};

use crate::clock::Millis;
use crate::ids::PoolId;
use crate::routing::ablation::{Mechanism, is_on};

/// Part of the ratio that a request earns.
const EARNED: f64 = 0.8;
/// Part of the ratio that the requests of the last window let a bucket hold. With [`EARNED`] it
/// stays below 1: what is left covers repeats under way when a window begins.
const HELD: f64 = 0.15;
/// Part of the slack that buckets hold.
const SLACK_HELD: f64 = 0.5;
/// Part of the slack that buckets earn in a window. With [`SLACK_HELD`] it stays below 1: what is
/// left covers what starts are given.
const SLACK_EARNED: f64 = 0.25;
/// Repeats in the bucket of a daemon that starts, so that it can repeat its first request.
const AT_START: f64 = 1.0;

/// What the fleet may repeat.
#[derive(Clone, Copy, PartialEq)]
#[derive(Debug)]
pub struct Settings {
    /// Repeats for each request.
    pub ratio: f64,
    /// Length of the window.
    pub window: Millis,
    /// Repeats in a window beyond the ratio, all daemons together.
    pub slack: f64,
}

/// What a bucket holds, and may hold.
#[derive(Clone, Copy, PartialEq)]
#[derive(Debug, Display)]
#[display("{left:.1} of {most:.1} left, {slack:.1} of the slack")]
pub struct State {
    /// Repeats that may be sent now.
    pub left: f64,
    /// Repeats that the bucket may hold.
    pub most: f64,
    /// This daemon's part of the slack.
    pub slack: f64,
}

/// Repeats that may be sent to one pool.
#[derive(Clone)]
#[derive(Debug)]
struct Bucket {
    tokens: f64,
    /// When it was last filled.
    filled: Millis,
    /// The requests of the last window.
    requests: VecDeque<Millis>,
}

/// The repeats of one daemon.
#[derive(Clone)]
#[derive(Debug)]
pub struct RetryBudget {
    settings: Settings,
    /// This daemon's part of the slack, of 1.
    part: f64,
    started: Millis,
    pools: HashMap<PoolId, Bucket>,
}

impl RetryBudget {
    /// The budget of a daemon that starts now, without a part of the slack.
    pub fn new(settings: Settings, now: Millis) -> Self {
        Self {
            settings,
            part: 0.0,
            started: now,
            pools: HashMap::new(),
        }
    }

    /// Sets what the fleet may repeat.
    pub fn configure(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Sets this daemon's part of the slack, of 1.
    pub fn set_share(&mut self, part: f64) {
        self.part = part;
    }

    /// Counts a request.
    pub fn record_request(&mut self, pool: &PoolId, now: Millis) {
        let earned = EARNED * self.settings.ratio;
        self.fill(pool, now);
        let bucket = self.bucket(pool);
        bucket.requests.push_back(now);
        bucket.tokens += earned;
        self.fill(pool, now);
    }

    /// Takes one repeat, unless there is none left.
    pub fn try_spend(&mut self, pool: &PoolId, now: Millis) -> bool {
        let fits = self.state(pool, now).left >= 1.0;
        if fits {
            self.bucket(pool).tokens -= 1.0;
        }
        fits || !is_on(Mechanism::Budget)
    }

    /// What is left for a pool.
    pub fn state(&mut self, pool: &PoolId, now: Millis) -> State {
        let most = self.fill(pool, now);
        State {
            left: self.bucket(pool).tokens,
            most,
            slack: self.part * self.settings.slack,
        }
    }

    /// Adds what time has earned; returns what the bucket may hold, beyond which it flows over.
    fn fill(&mut self, pool: &PoolId, now: Millis) -> f64 {
        let Settings {
            ratio,
            slack,
            window,
        } = self.settings;
        let slack = self.part * slack;
        let bucket = self.bucket(pool);
        while let Some(at) = bucket.requests.front()
            && now.since(*at) >= window
        {
            bucket.requests.pop_front();
        }
        let passed = now.since(bucket.filled).as_secs_f64() / window.as_secs_f64();
        bucket.filled = now;
        let most = SLACK_HELD * slack + HELD * ratio * bucket.requests.len() as f64;
        let most = most.max(AT_START);
        bucket.tokens = (bucket.tokens + SLACK_EARNED * slack * passed).min(most);
        most
    }

    fn bucket(&mut self, pool: &PoolId) -> &mut Bucket {
        let filled = self.started;
        self.pools.entry(pool.clone()).or_insert_with(|| Bucket {
            tokens: AT_START,
            filled,
            requests: VecDeque::new(),
        })
    }
}
