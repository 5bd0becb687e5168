//! Health of endpoints compared with the others of their pool.

use std::sync::Arc;

use derive_more::Debug;

use super::View;
use crate::clock::Millis;
use crate::routing::endpoint::{Endpoint, InstanceId};
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
    /// Reviews the health of all endpoints; returns those that are avoided since the last review,
    /// or no longer.
    pub fn review(&mut self, now: Millis) -> Vec<HealthChange> {
        let mut changes = Vec::new();
        for pool in self.directory.pools() {
            let failures = self.failures(pool, now);
            for endpoint in pool {
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
        }
        for change in &changes {
            match change.standing.is_avoided() {
                true => self.avoided.insert(change.endpoint.clone()),
                false => self.avoided.remove(&change.endpoint),
            };
        }
        changes
    }

    /// Sum of the failure rates of a pool's endpoints that aren't leaving.
    pub(super) fn failures(&self, pool: &[Arc<Endpoint>], now: Millis) -> PoolFailures {
        let ready = pool.iter().filter(|endpoint| !endpoint.leaving);
        self.health.pool(ready.map(|endpoint| &endpoint.id), now)
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
