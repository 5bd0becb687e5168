//! Work that endpoints have left, beside the number of their requests.
//!
//! A prompt delays what its endpoint runs by the tokens that have to be read. A
//! daemon counts the reading of its own requests until their first output, and
//! hears of the others' with their loads. With the rate at which a pool reads and
//! the pace that an endpoint reports this gives the time that a request waits.

pub mod cost;
mod left;
pub mod outlook;
pub mod pace;
mod rate;

use std::collections::HashMap;

use derive_more::Debug;
use foldhash::fast::RandomState;

use crate::clock::Millis;
use crate::ids::PoolId;
use crate::routing::endpoint::InstanceId;
use crate::routing::runs::RunId;
use crate::units::Tokens;

use cost::ReadingCost;
use left::Left;
use outlook::Outlook;
use pace::Pace;
use rate::ReadingRate;

/// Tokens in one unit of the reading that daemons report.
const UNIT: u64 = 256;

/// Time without output, beyond the reading of all else, after which shared parts that may be cached
/// are taken to be read, and told to others: a busy engine brings the first output of cached ones
/// sooner.
const CONFIRM_TIME: Millis = Millis(75);

/// A request whose prompt is being read.
#[derive(Clone)]
#[derive(Debug)]
struct Reading {
    endpoint: InstanceId,
    cost: ReadingCost,
    /// Reading that was left at the endpoint when it was sent, in tokens.
    ahead: f64,
    sent: Millis,
    /// When its output was expected to begin.
    expected: Millis,
    /// When its output would have begun at the latest if its shared parts were cached.
    confirm_at: Millis,
    /// Tokens of it that are told to others.
    told: Tokens,
}

/// How long a prompt took, and how long it was expected to take.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub struct ReadingTime {
    /// Tokens that were expected to be read.
    pub tokens: Tokens,
    /// Expected time to the first output.
    pub expected: Millis,
    /// Time to the first output.
    pub actual: Millis,
}

/// Work left at all endpoints, as one daemon knows it.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct WorkTracker {
    endpoints: HashMap<InstanceId, Left, RandomState>,
    readings: HashMap<RunId, Reading, RandomState>,
    rates: HashMap<PoolId, ReadingRate>,
    /// Number of updates of all endpoints so far.
    updates: u64,
}

impl WorkTracker {
    /// Counts the reading of a request that this daemon sends.
    pub fn begin(
        &mut self,
        run_id: RunId,
        id: &InstanceId,
        pool: &PoolId,
        cost: ReadingCost,
        now: Millis,
    ) {
        if cost.tokens() == Tokens::ZERO {
            return;
        }
        let rate = self.rate(pool);
        let left = self.endpoints.entry(id.clone()).or_default();
        let ahead = left.tokens(rate, now);
        let pace = left.pace(now);
        let time = |tokens: Tokens| Millis((rate.time(ahead + tokens.0 as f64) * pace) as u64);
        left.begin(cost.tokens(), now);
        left.tell(cost.own);
        let reading = Reading {
            endpoint: id.clone(),
            cost,
            ahead,
            sent: now,
            expected: now + time(cost.tokens()),
            confirm_at: now + time(cost.own) + CONFIRM_TIME,
            told: cost.own,
        };
        self.readings.insert(run_id, reading);
    }

    /// Records the first output of a request: its prompt was read. Returns how long that took.
    pub fn record_output(
        &mut self,
        run_id: RunId,
        pool: &PoolId,
        now: Millis,
    ) -> Option<ReadingTime> {
        let reading = self.end(run_id, now)?;
        let pace = self.endpoints.get(&reading.endpoint);
        let pace = pace.map_or(1.0, |left| left.pace(now));
        let actual = now.since(reading.sent);
        let rate = self.rates.entry(pool.clone()).or_default();
        rate.record(reading.cost, reading.ahead, actual, pace);
        Some(ReadingTime {
            tokens: reading.cost.tokens(),
            expected: reading.expected.since(reading.sent),
            actual,
        })
    }

    /// Discounts the reading of a request that isn't waited for any more.
    pub fn forget_run(&mut self, run_id: RunId, now: Millis) {
        self.end(run_id, now);
    }

    fn end(&mut self, run_id: RunId, now: Millis) -> Option<Reading> {
        let reading = self.readings.remove(&run_id)?;
        if let Some(left) = self.endpoints.get_mut(&reading.endpoint) {
            left.end(reading.cost.tokens(), reading.told, now);
        }
        Some(reading)
    }

    /// Records the pace that an endpoint reported.
    pub fn record_pace(&mut self, id: &InstanceId, pace: Pace, now: Millis) {
        let left = self.endpoints.entry(id.clone()).or_default();
        left.set_pace(pace, now);
    }

    /// Sets the reading that other daemons have at all endpoints, in units; those that `busy`
    /// doesn't name have none. Takes time by the number of busy endpoints, not of all.
    pub fn set_all_others<'a>(
        &mut self,
        busy: impl Iterator<Item = (&'a InstanceId, u32)>,
        now: Millis,
    ) {
        self.updates += 1;
        for (id, units) in busy.filter(|(_, units)| *units > 0) {
            let left = self.endpoints.entry(id.clone()).or_default();
            left.set_others(Tokens(u64::from(units) * UNIT), self.updates, now);
        }
        let updates = self.updates;
        self.endpoints.retain(|_, left| left.is_kept(updates, now));
    }

    /// Takes prompts without output for some time as read, not cached, to tell others.
    pub fn confirm(&mut self, now: Millis) {
        for reading in self.readings.values_mut() {
            let untold = reading.cost.tokens() - reading.told;
            if untold == Tokens::ZERO || now < reading.confirm_at {
                continue;
            }
            reading.told = reading.cost.tokens();
            if let Some(left) = self.endpoints.get_mut(&reading.endpoint) {
                left.tell(untold);
            }
        }
    }

    /// Removes an endpoint.
    pub fn forget(&mut self, id: &InstanceId) {
        self.endpoints.remove(id);
    }

    /// This daemon's reading at an endpoint that is told to others, in units.
    pub fn told_units(&self, id: &InstanceId) -> u32 {
        let left = self.endpoints.get(id);
        let units = left.map_or(0, |left| left.told().0 / UNIT);
        u32::try_from(units).unwrap_or(u32::MAX)
    }

    /// What a request would find at the endpoints of a pool.
    pub fn of_pool(&self, pool: &PoolId) -> PoolWork<'_> {
        PoolWork {
            endpoints: &self.endpoints,
            rate: self.rate(pool),
        }
    }

    fn rate(&self, pool: &PoolId) -> ReadingRate {
        self.rates.get(pool).copied().unwrap_or_default()
    }
}

/// Work left at the endpoints of one pool.
#[derive(Clone, Copy)]
#[derive(Debug)]
pub struct PoolWork<'a> {
    endpoints: &'a HashMap<InstanceId, Left, RandomState>,
    rate: ReadingRate,
}

impl PoolWork<'_> {
    /// What a request finds at an endpoint now.
    pub fn outlook(&self, id: &InstanceId, now: Millis) -> Outlook {
        let Some(left) = self.endpoints.get(id) else {
            return Outlook::default();
        };
        let pace = left.pace(now);
        Outlook {
            wait: self.rate.time(left.tokens(self.rate, now)) * pace,
            pace,
        }
    }

    /// Time to read some tokens at the usual pace, in milliseconds.
    pub fn time(&self, tokens: Tokens) -> f64 {
        self.rate.time(tokens.0 as f64)
    }
}
