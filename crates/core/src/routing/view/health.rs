//! Health of endpoints compared with the others of their pool.

use std::collections::{BTreeSet, HashMap};

use derive_more::Debug;

use super::View;
use crate::clock::Millis;
use crate::ids::PoolId;
use crate::routing::endpoint::InstanceId;
use crate::routing::health::{HealthStatus, PoolFailures};

/// An endpoint that is avoided from now on, or no longer.
#[derive(Debug)]
pub struct HealthChange {
    /// The endpoint.
    pub endpoint: InstanceId,
    /// Its new health status.
    pub standing: HealthStatus,
    /// Its failure rate, 0 to 1.
    pub failures: f64,
    /// Mean failure rate of the other endpoints of its pool, 0 to 1.
    pub others: f64,
}

impl View {
    /// Reviews the health of all endpoints that have failed; returns those that are avoided since
    /// the last review, or no longer.
    pub fn review(&mut self, now: Millis) -> Vec<HealthChange> {
        self.health.prune(now);
        self.directory.builds_mut().review(now);
        self.doubts.prune(now);
        self.prune_gone(now);
        self.silent.prune(now);
        let failed = self.health.recorded().chain(&self.avoided);
        let failed: BTreeSet<&InstanceId> = failed.collect();
        let mut changes = Vec::new();
        let mut pools: HashMap<&PoolId, PoolFailures> = HashMap::new();
        for endpoint in failed.into_iter().filter_map(|id| self.directory.get(id)) {
            let pool = &endpoint.pool;
            let failures = || self.failures(pool, now);
            let failures = *pools.entry(pool).or_insert_with(failures);
            let id = &endpoint.id;
            let (standing, others) = self.health_status(id, failures, now);
            if standing.is_avoided() == self.avoided.contains(id) {
                continue;
            }
            changes.push(HealthChange {
                endpoint: id.clone(),
                standing,
                failures: self.health.failures(id, now),
                others,
            });
        }
        for change in &changes {
            match change.standing.is_avoided() {
                true => self.avoided.insert(change.endpoint.clone()),
                false => self.avoided.remove(&change.endpoint),
            };
        }
        changes
    }

    /// Ends the pauses of endpoints that couldn't be connected to, because of this daemon's own
    /// links.
    pub fn end_pauses(&mut self) {
        self.health.end_pauses();
    }

    /// Sum of the failure rates of a pool's endpoints that aren't leaving.
    pub(super) fn failures(&self, pool: &PoolId, now: Millis) -> PoolFailures {
        let Some(listed) = self.directory.get_pool(pool) else {
            return PoolFailures::default();
        };
        let failed = self.health.recorded();
        let failed = failed.filter_map(|id| self.directory.get(id));
        let failed = failed.filter(|endpoint| endpoint.pool == *pool && !endpoint.leaving);
        let failed = failed.map(|endpoint| self.health.snapshot(&endpoint.id, now));
        PoolFailures::new(failed, listed.staying())
    }

    /// Health status of an endpoint, and the mean failure rate of the others of its pool.
    pub(super) fn health_status(
        &self,
        id: &InstanceId,
        pool: PoolFailures,
        now: Millis,
    ) -> (HealthStatus, f64) {
        let others = pool.mean_of_others(self.health.failures(id, now));
        let standing = self.health.status(id, others, self.daemons, now);
        (standing, others)
    }
}
