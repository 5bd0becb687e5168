//! How endpoints stand against the others of their pool.

use std::sync::Arc;

use derive_more::Debug;

use super::View;
use crate::clock::Millis;
use crate::routing::endpoint::{Endpoint, InstanceId};
use crate::routing::health::{HealthStatus, PoolFailures};

/// How an endpoint is judged.
#[derive(Debug)]
pub struct Verdict {
    /// The endpoint.
    pub endpoint: InstanceId,
    /// How it stands.
    pub standing: HealthStatus,
    /// Its failure share.
    pub failures: f64,
    /// The mean of its pool's others.
    pub others: f64,
}

impl View {
    /// Endpoints that are avoided from now on, or no more.
    pub fn review(&mut self, now: Millis) -> Vec<Verdict> {
        let mut changes = Vec::new();
        for pool in self.directory.pools() {
            let failures = self.failures(pool, now);
            for endpoint in pool {
                let id = &endpoint.id;
                let (standing, others) = self.standing(id, failures, now);
                if standing.is_avoided() == self.avoided.contains(id) {
                    continue;
                }
                changes.push(Verdict {
                    endpoint: id.clone(),
                    standing,
                    failures: self.health.failures(id, now),
                    others,
                });
            }
        }
        for verdict in &changes {
            match verdict.standing.is_avoided() {
                true => self.avoided.insert(verdict.endpoint.clone()),
                false => self.avoided.remove(&verdict.endpoint),
            };
        }
        changes
    }

    /// Failure shares of the endpoints of a pool that take new work.
    pub(super) fn failures(&self, pool: &[Arc<Endpoint>], now: Millis) -> PoolFailures {
        let ready = pool.iter().filter(|endpoint| !endpoint.leaving);
        self.health.pool(ready.map(|endpoint| &endpoint.id), now)
    }

    /// How an endpoint stands, and the mean failure share of its pool's others.
    pub(super) fn standing(
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
