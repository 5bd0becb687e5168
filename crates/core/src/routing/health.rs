//! Which endpoints to avoid, judged from how their answers went.
//!
//! Each answer moves a failure share towards 0 or 1. An endpoint whose share
//! is well above its pool's is avoided, as is one that can't be connected to.
//! Both are given a request now and then, to see whether they are well again.
//! A whole pool that fails is not avoided: failures that all endpoints share
//! are no reason to choose between them.

use std::collections::HashMap;

use derive_more::Debug;
use foldhash::fast::RandomState;

use crate::clock::Millis;
use crate::routing::ablation::{Mechanism, is_on};
use crate::routing::attempt::Fault;
use crate::routing::endpoint::InstanceId;

/// Weight of the newest answer in the failure share. Three bad answers in a row lift a good
/// endpoint over [`MARGIN`], a single one doesn't.
const NEWEST: f64 = 0.15;
/// Failure share above the mean of the pool's others at which an endpoint is avoided. Failures that
/// all of them share must not count against one.
const MARGIN: f64 = 0.30;
/// Time in which a failure share falls by half without answers. An endpoint that is well again is
/// found sooner by trials; where time alone clears one that isn't, all daemons send to it at once.
const HALF_LIFE: Millis = Millis::from_secs(10);
/// Pause after a first failed connection; doubles with each further one.
const PAUSE: Millis = Millis(250);
/// Longest pause after failed connections.
const PAUSE_MAX: Millis = Millis(2000);
/// Between two requests of the fleet that try an endpoint that is avoided for its failure share.
const TRIAL: Millis = Millis(100);
/// Between two such requests of one daemon at the least.
const OWN_TRIAL: Millis = Millis(700);

/// How an endpoint stands.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Debug)]
pub enum HealthStatus {
    /// As good as any.
    Good,
    /// Worth a request that may be repeated, to see whether it is well again.
    Trial,
    /// Fails much more than others.
    Bad,
    /// Can't be connected to.
    Down,
}

impl HealthStatus {
    /// Whether other endpoints are preferred.
    pub const fn is_avoided(self) -> bool {
        !matches!(self, Self::Good)
    }
}

/// Failure shares of the endpoints of a pool, added up.
#[derive(Clone, Copy, PartialEq, Default)]
#[derive(Debug)]
pub struct PoolFailures {
    sum: f64,
    count: u32,
}

impl PoolFailures {
    /// Mean share of the others than an endpoint with this share; its own where it is alone. In
    /// a pool of three, one that fails all would lift the mean of all to 0.33.
    pub fn others(&self, own: f64) -> f64 {
        match self.count {
            0 | 1 => own,
            count => (self.sum - own).max(0.0) / f64::from(count - 1),
        }
    }
}

impl FromIterator<HealthSnapshot> for PoolFailures {
    fn from_iter<I: IntoIterator<Item = HealthSnapshot>>(looks: I) -> Self {
        let mut pool = Self::default();
        for look in looks {
            pool.sum += look.failures;
            pool.count += 1;
        }
        pool
    }
}

/// What is remembered of one endpoint.
#[derive(Clone, Copy, Default)]
#[derive(Debug)]
struct Record {
    failures: f64,
    at: Millis,
    refused: u32,
    until: Millis,
    tried: Millis,
}

impl Record {
    fn failures(&self, now: Millis) -> f64 {
        if self.failures == 0.0 {
            return 0.0;
        }
        self.failures * now.since(self.at).fading(HALF_LIFE)
    }

    fn answer(&mut self, failure: f64, now: Millis) {
        self.answers(1, failure, now);
    }

    /// Takes several answers at once, of which a share failed.
    fn answers(&mut self, count: u32, failed: f64, now: Millis) {
        let old = (1.0 - NEWEST).powf(f64::from(count));
        self.failures = self.failures(now) * old + failed * (1.0 - old);
        self.at = now;
    }
}

/// What is remembered of one endpoint, as of a moment.
#[derive(Clone, Copy, PartialEq, Default)]
#[derive(Debug)]
pub struct HealthSnapshot {
    /// Its failure share, 0 to 1.
    pub failures: f64,
    is_down: bool,
    tried: Millis,
}

impl HealthSnapshot {
    /// How the endpoint stands against the mean of its pool's others, at one of some daemons.
    pub fn status(&self, others: f64, daemons: u32, now: Millis) -> HealthStatus {
        if self.is_down {
            return HealthStatus::Down;
        }
        if self.failures <= others + MARGIN || !is_on(Mechanism::FailureShare) {
            return HealthStatus::Good;
        }
        let pause = OWN_TRIAL.max(Millis(TRIAL.0 * u64::from(daemons)));
        match now.since(self.tried) >= pause && is_on(Mechanism::Trials) {
            true => HealthStatus::Trial,
            false => HealthStatus::Bad,
        }
    }
}

/// What is remembered of all endpoints.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct Health {
    records: HashMap<InstanceId, Record, RandomState>,
}

impl Health {
    /// Notes a good answer, or the good start of one.
    pub fn record_success(&mut self, id: &InstanceId, now: Millis) {
        let record = self.records.entry(id.clone()).or_default();
        record.refused = 0;
        record.answer(0.0, now);
    }

    /// Notes a failed attempt.
    pub fn record_failure(&mut self, id: &InstanceId, fault: Fault, now: Millis) {
        let record = self.records.entry(id.clone()).or_default();
        match fault {
            Fault::NotSent => {
                let pause = PAUSE.0 << record.refused.min(8);
                record.until = now + Millis(pause.min(PAUSE_MAX.0));
                record.refused += 1;
            }
            Fault::OtherEndpoint => record.until = now + PAUSE_MAX,
            _ if fault.is_failure() => record.answer(1.0, now),
            _ => {}
        }
    }

    /// Notes how requests of other daemons went.
    pub fn record_others(&mut self, id: &InstanceId, good: u32, bad: u32, now: Millis) {
        let count = good + bad;
        if count > 0 {
            let record = self.records.entry(id.clone()).or_default();
            record.answers(count, f64::from(bad) / f64::from(count), now);
        }
    }

    /// Notes that an endpoint is given a request on trial.
    pub fn record_probe(&mut self, id: &InstanceId, now: Millis) {
        self.records.entry(id.clone()).or_default().tried = now;
    }

    /// Forgets an endpoint.
    pub fn forget(&mut self, id: &InstanceId) {
        self.records.remove(id);
    }

    /// Failure shares of the endpoints of a pool.
    pub fn pool<'a>(&self, ids: impl Iterator<Item = &'a InstanceId>, now: Millis) -> PoolFailures {
        ids.map(|id| self.snapshot(id, now)).collect()
    }

    /// How an endpoint stands against the mean of its pool's others, at one of some daemons.
    pub fn status(&self, id: &InstanceId, others: f64, daemons: u32, now: Millis) -> HealthStatus {
        self.snapshot(id, now).status(others, daemons, now)
    }

    /// Failure share of an endpoint, 0 to 1.
    pub fn failures(&self, id: &InstanceId, now: Millis) -> f64 {
        self.snapshot(id, now).failures
    }

    /// What is remembered of an endpoint, as of now.
    pub fn snapshot(&self, id: &InstanceId, now: Millis) -> HealthSnapshot {
        let record = self.records.get(id);
        record.map_or_else(HealthSnapshot::default, |record| HealthSnapshot {
            failures: record.failures(now),
            is_down: now < record.until,
            tried: record.tried,
        })
    }
}
