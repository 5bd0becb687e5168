//! Outlier detection: which endpoints to avoid because their requests fail.
//!
//! Each response moves the endpoint's failure rate, an exponentially weighted
//! moving average, towards 0 or 1. An endpoint whose rate is well above its
//! pool's is avoided, as is one that can't be connected to. Both get occasional
//! probe requests, to see whether they have recovered. If a complete pool
//! fails, no endpoint of it is avoided: failures that all endpoints share give
//! no reason to prefer one.

use std::collections::HashMap;

use derive_more::Debug;
use foldhash::fast::RandomState;

use crate::clock::Millis;
use crate::routing::ablation::{Mechanism, is_on};
use crate::routing::attempt::Fault;
use crate::routing::endpoint::InstanceId;

/// Weight of the newest response in the failure rate. Three failures in a row lift a healthy
/// endpoint over [`MARGIN`], a single one doesn't.
const NEWEST_WEIGHT: f64 = 0.15;
/// An endpoint is avoided if its failure rate exceeds the mean of the pool's others by this.
/// Failures that all of them share must not count against a single one.
const MARGIN: f64 = 0.30;
/// Failure rate that counts as none.
const NEGLIGIBLE: f64 = 0.001;
/// Time in which a failure rate halves without responses. Probes detect recovery sooner; if time
/// alone cleared an endpoint that still fails, all daemons would send to it at once.
const HALF_LIFE: Millis = Millis::from_secs(10);
/// Pause after the first failed connection; doubles with each further one.
const FIRST_PAUSE: Millis = Millis(250);
/// Longest pause after failed connections.
const MAX_PAUSE: Millis = Millis(2000);
/// Interval between two probes of the fleet to an endpoint avoided for its failure rate.
const FLEET_PROBE_INTERVAL: Millis = Millis(100);
/// Minimum interval between two such probes of one daemon.
const MIN_PROBE_INTERVAL: Millis = Millis(700);

/// Health of an endpoint. The variants' names are written to the log.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Debug)]
pub enum HealthStatus {
    /// Healthy: not avoided.
    Good,
    /// Avoided, but due for a probe with a request that may be retried.
    Trial,
    /// Avoided: fails much more than others.
    Bad,
    /// Avoided: connections to it fail.
    Down,
}

impl HealthStatus {
    /// Whether healthy endpoints are preferred over it.
    pub const fn is_avoided(self) -> bool {
        !matches!(self, Self::Good)
    }
}

/// Sum of the failure rates of a pool's endpoints.
#[derive(Clone, Copy, PartialEq, Default)]
#[derive(Debug)]
pub struct PoolFailures {
    sum: f64,
    count: u32,
}

impl PoolFailures {
    /// Mean failure rate of all endpoints but one with the rate `own`; `own` if it is the only one.
    /// A mean over all wouldn't do: in a pool of three, one that fails everything lifts it to 0.33.
    pub fn mean_of_others(&self, own: f64) -> f64 {
        match self.count {
            0 | 1 => own,
            count => (self.sum - own).max(0.0) / f64::from(count - 1),
        }
    }
}

impl PoolFailures {
    /// The sum over the endpoints that have failed, of `count` endpoints.
    pub fn new(failed: impl Iterator<Item = HealthSnapshot>, count: usize) -> Self {
        Self {
            sum: failed.map(|snapshot| snapshot.failures).sum(),
            count: u32::try_from(count).unwrap_or(u32::MAX),
        }
    }
}

impl FromIterator<HealthSnapshot> for PoolFailures {
    fn from_iter<I: IntoIterator<Item = HealthSnapshot>>(endpoints: I) -> Self {
        let mut pool = Self::default();
        for endpoint in endpoints {
            pool.sum += endpoint.failures;
            pool.count += 1;
        }
        pool
    }
}

/// Recent failures of one endpoint.
#[derive(Clone, Copy, Default)]
#[derive(Debug)]
struct Record {
    /// Failure rate at `at`, 0 to 1.
    failures: f64,
    at: Millis,
    /// Consecutive failed connections.
    refused: u32,
    /// End of the pause after a failed connection.
    down_until: Millis,
    last_probe: Millis,
}

impl Record {
    fn failures(&self, now: Millis) -> f64 {
        if self.failures == 0.0 {
            return 0.0;
        }
        self.failures * now.since(self.at).decay_factor(HALF_LIFE)
    }

    /// Records one response; `failure` is 0 or 1.
    fn add(&mut self, failure: f64, now: Millis) {
        self.add_many(1, failure, now);
    }

    /// Records several responses, of which the fraction `failed` failed.
    fn add_many(&mut self, count: u32, failed: f64, now: Millis) {
        let old = (1.0 - NEWEST_WEIGHT).powf(f64::from(count));
        self.failures = self.failures(now) * old + failed * (1.0 - old);
        self.at = now;
    }
}

/// Health of one endpoint at a point in time.
#[derive(Clone, Copy, PartialEq, Default)]
#[derive(Debug)]
pub struct HealthSnapshot {
    /// Its failure rate, 0 to 1.
    pub failures: f64,
    is_down: bool,
    last_probe: Millis,
}

impl HealthSnapshot {
    /// Health status, given the mean failure rate of the pool's others and the number of live
    /// daemons, which share the probes.
    pub fn status(&self, others: f64, daemons: u32, now: Millis) -> HealthStatus {
        if self.is_down {
            return HealthStatus::Down;
        }
        if self.failures <= others + MARGIN || !is_on(Mechanism::FailureShare) {
            return HealthStatus::Good;
        }
        let interval = MIN_PROBE_INTERVAL.max(Millis(FLEET_PROBE_INTERVAL.0 * u64::from(daemons)));
        match now.since(self.last_probe) >= interval && is_on(Mechanism::Trials) {
            true => HealthStatus::Trial,
            false => HealthStatus::Bad,
        }
    }
}

/// Health of all endpoints as one daemon knows it. Only endpoints that have failed have a record.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct Health {
    records: HashMap<InstanceId, Record, RandomState>,
}

impl Health {
    /// Records a successful response, or the successful start of a stream.
    pub fn record_success(&mut self, id: &InstanceId, now: Millis) {
        if let Some(record) = self.records.get_mut(id) {
            record.refused = 0;
            record.add(0.0, now);
        }
    }

    /// Records a failed attempt.
    pub fn record_failure(&mut self, id: &InstanceId, fault: Fault, now: Millis) {
        let record = self.records.entry(id.clone()).or_default();
        match fault {
            // Connections that were tried at the same time fail together, and prove one failure.
            Fault::NotSent if now < record.down_until => {}
            Fault::NotSent => {
                let pause = FIRST_PAUSE.0 << record.refused.min(8);
                record.down_until = now + Millis(pause.min(MAX_PAUSE.0));
                record.refused += 1;
            }
            Fault::OtherEndpoint => record.down_until = now + MAX_PAUSE,
            _ if fault.is_failure() => record.add(1.0, now),
            _ => {}
        }
    }

    /// Ends all pauses after failed connections: the endpoints weren't their cause.
    pub fn end_pauses(&mut self) {
        for record in self.records.values_mut() {
            record.down_until = Millis::ZERO;
            record.refused = 0;
        }
    }

    /// Records outcomes that other daemons reported.
    pub fn record_others(&mut self, id: &InstanceId, good: u32, bad: u32, now: Millis) {
        let count = good + bad;
        let failed = f64::from(bad) / f64::from(count);
        match self.records.get_mut(id) {
            Some(record) if count > 0 => record.add_many(count, failed, now),
            None if bad > 0 => {
                let record = self.records.entry(id.clone()).or_default();
                record.add_many(count, failed, now);
            }
            _ => {}
        }
    }

    /// Records that an endpoint was sent a probe.
    pub fn record_probe(&mut self, id: &InstanceId, now: Millis) {
        self.records.entry(id.clone()).or_default().last_probe = now;
    }

    /// Removes an endpoint.
    pub fn forget(&mut self, id: &InstanceId) {
        self.records.remove(id);
    }

    /// Endpoints that have failed.
    pub fn recorded(&self) -> impl Iterator<Item = &InstanceId> {
        self.records.keys()
    }

    /// Removes the records of endpoints whose failures have lost their weight.
    pub fn prune(&mut self, now: Millis) {
        self.records.retain(|_, record| {
            let is_down = now < record.down_until || record.refused > 0;
            is_down || record.failures(now) >= NEGLIGIBLE
        });
    }

    /// Sum of the failure rates of a pool's endpoints.
    pub fn pool<'a>(&self, ids: impl Iterator<Item = &'a InstanceId>, now: Millis) -> PoolFailures {
        ids.map(|id| self.snapshot(id, now)).collect()
    }

    /// Health status of an endpoint; see [`HealthSnapshot::status`].
    pub fn status(&self, id: &InstanceId, others: f64, daemons: u32, now: Millis) -> HealthStatus {
        self.snapshot(id, now).status(others, daemons, now)
    }

    /// Failure rate of an endpoint, 0 to 1.
    pub fn failures(&self, id: &InstanceId, now: Millis) -> f64 {
        self.snapshot(id, now).failures
    }

    /// Health of an endpoint now.
    pub fn snapshot(&self, id: &InstanceId, now: Millis) -> HealthSnapshot {
        let record = self.records.get(id);
        record.map_or_else(HealthSnapshot::default, |record| HealthSnapshot {
            failures: record.failures(now),
            is_down: now < record.down_until,
            last_probe: record.last_probe,
        })
    }
}
