//! Endpoints that the platform lists, indexed by id, by short id and by pool.

mod pool;
mod short_ids;

use std::collections::HashMap;
use std::sync::Arc;

use derive_more::Debug;
use foldhash::fast::RandomState;

use crate::clock::Millis;
use crate::ids::{EndpointId, PoolId};
use crate::routing::endpoint::{Endpoint, InstanceId};
use crate::routing::streams::history::BuildHistory;

pub use pool::{Listed, Pool};
use short_ids::ShortIds;

/// Index of the listed endpoints.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct Directory {
    /// Each endpoint, and when this instance of it was first listed.
    endpoints: HashMap<EndpointId, (Arc<Endpoint>, Millis), RandomState>,
    pools: HashMap<PoolId, Pool>,
    short_ids: ShortIds,
    builds: BuildHistory,
}

impl Directory {
    /// Endpoints of a pool sorted by id, including those that are leaving.
    pub fn pool(&self, pool: &PoolId) -> Vec<&Arc<Endpoint>> {
        let pool = self.get_pool(pool).into_iter();
        pool.flat_map(Pool::endpoints).collect()
    }

    /// A pool with endpoints, including those that are leaving.
    pub fn get_pool(&self, pool: &PoolId) -> Option<&Pool> {
        self.pools.get(pool)
    }

    /// All pools that have had endpoints.
    pub fn pools(&self) -> impl Iterator<Item = (&PoolId, &Pool)> {
        self.pools.iter()
    }

    /// The endpoints with a short id; seldom more than one.
    pub fn with_short_id(&self, short: u32) -> impl Iterator<Item = &Arc<Endpoint>> {
        self.short_ids.get(short)
    }

    /// All endpoints.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        self.endpoints.values().map(|(endpoint, _)| endpoint)
    }

    /// The listed instance of an endpoint.
    pub fn instance(&self, id: &EndpointId) -> Option<&InstanceId> {
        self.endpoints.get(id).map(|(endpoint, _)| &endpoint.id)
    }

    /// The endpoint of this instance, if the instance is listed.
    pub fn get(&self, id: &InstanceId) -> Option<&Arc<Endpoint>> {
        let (endpoint, _) = self.endpoints.get(&id.endpoint)?;
        (endpoint.id == *id).then_some(endpoint)
    }

    /// Whether this instance is listed.
    pub fn is_listed(&self, id: &InstanceId) -> bool {
        self.instance(&id.endpoint) == Some(id)
    }

    /// When an instance was first listed; none if it isn't listed.
    pub fn listed_since(&self, id: &InstanceId) -> Option<Millis> {
        let (endpoint, since) = self.endpoints.get(&id.endpoint)?;
        (endpoint.id == *id).then_some(*since)
    }

    /// The software versions that serve in each pool, and those that served lately.
    pub const fn builds(&self) -> &BuildHistory {
        &self.builds
    }

    /// The same, to be changed.
    pub const fn builds_mut(&mut self) -> &mut BuildHistory {
        &mut self.builds
    }

    /// Number of listed endpoints.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Whether no endpoints are listed.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Inserts or replaces an endpoint; returns whether it is new or changed.
    pub fn insert(&mut self, endpoint: Endpoint, now: Millis) -> bool {
        let name = endpoint.id.endpoint.clone();
        let known = self.endpoints.get(&name);
        if known.is_some_and(|(known, _)| **known == endpoint) {
            return false;
        }
        let since = self.listed_since(&endpoint.id).unwrap_or(now);
        self.remove(&name);
        let endpoint = Arc::new(endpoint);
        let pool = self.pools.entry(endpoint.pool.clone()).or_default();
        pool.insert(Arc::clone(&endpoint), since);
        self.builds
            .record_listed(&endpoint.pool, &endpoint.build, now);
        self.short_ids.insert(Arc::clone(&endpoint));
        self.endpoints.insert(name, (endpoint, since));
        true
    }

    /// Marks a listed instance as taking no new work, whatever its entry says.
    pub fn set_leaving(&mut self, id: &InstanceId, now: Millis) {
        if let Some(known) = self.get(id).filter(|known| !known.leaving) {
            let endpoint = Endpoint {
                leaving: true,
                ..Endpoint::clone(known)
            };
            self.insert(endpoint, now);
        }
    }

    /// Removes an endpoint; returns whether it was listed.
    pub fn remove(&mut self, id: &EndpointId) -> bool {
        let Some((old, _)) = self.endpoints.remove(id) else {
            return false;
        };
        if let Some(pool) = self.pools.get_mut(&old.pool) {
            pool.remove(&old.id);
        }
        self.short_ids.remove(&old.id);
        self.builds.record_unlisted(&old.pool, &old.build);
        true
    }
}
