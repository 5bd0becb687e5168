//! The endpoints that the platform lists, by pool.

use std::collections::HashMap;
use std::sync::Arc;

use derive_more::Debug;
use foldhash::fast::RandomState;

use crate::clock::Millis;
use crate::ids::{EndpointId, PoolId};
use crate::routing::endpoint::{Endpoint, InstanceId};

/// Listed endpoints by pool.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct Directory {
    /// Each endpoint, and when this instance of it was first listed.
    endpoints: HashMap<EndpointId, (Arc<Endpoint>, Millis), RandomState>,
    pools: HashMap<PoolId, Vec<Arc<Endpoint>>>,
}

impl Directory {
    /// Endpoints of a pool, leaving ones included, in the order of their ids.
    pub fn pool(&self, pool: &PoolId) -> &[Arc<Endpoint>] {
        self.pools.get(pool).map_or(&[], Vec::as_slice)
    }

    /// Endpoints of each pool.
    pub fn pools(&self) -> impl Iterator<Item = &[Arc<Endpoint>]> {
        self.pools.values().map(Vec::as_slice)
    }

    /// All endpoints.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        self.endpoints.values().map(|(endpoint, _)| endpoint)
    }

    /// The instance of an endpoint that is listed.
    pub fn instance(&self, id: &EndpointId) -> Option<&InstanceId> {
        self.endpoints.get(id).map(|(endpoint, _)| &endpoint.id)
    }

    /// A listed instance.
    pub fn get(&self, id: &InstanceId) -> Option<&Arc<Endpoint>> {
        let (endpoint, _) = self.endpoints.get(&id.endpoint)?;
        (endpoint.id == *id).then_some(endpoint)
    }

    /// Whether this instance is listed.
    pub fn is_listed(&self, id: &InstanceId) -> bool {
        self.instance(&id.endpoint) == Some(id)
    }

    /// When an instance was first listed.
    pub fn listed_since(&self, id: &InstanceId) -> Option<Millis> {
        let (endpoint, joined) = self.endpoints.get(&id.endpoint)?;
        (endpoint.id == *id).then_some(*joined)
    }

    /// How many endpoints are listed.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Takes one entry; says whether it is new or changed.
    pub fn insert(&mut self, endpoint: Endpoint, now: Millis) -> bool {
        let name = endpoint.id.endpoint.clone();
        let known = self.endpoints.get(&name);
        if known.is_some_and(|(known, _)| **known == endpoint) {
            return false;
        }
        let joined = self.listed_since(&endpoint.id).unwrap_or(now);
        self.remove(&name);
        let endpoint = Arc::new(endpoint);
        let pool = self.pools.entry(endpoint.pool.clone()).or_default();
        let at = pool.partition_point(|other| other.id < endpoint.id);
        pool.insert(at, Arc::clone(&endpoint));
        self.endpoints.insert(name, (endpoint, joined));
        true
    }

    /// Notes that a listed instance takes no new work, whatever its entry says.
    pub fn set_leaving(&mut self, id: &InstanceId, now: Millis) {
        if let Some(known) = self.get(id).filter(|known| !known.leaving) {
            let endpoint = Endpoint {
                leaving: true,
                ..Endpoint::clone(known)
            };
            self.insert(endpoint, now);
        }
    }

    /// Drops an entry; says whether it was there.
    pub fn remove(&mut self, id: &EndpointId) -> bool {
        let Some((old, _)) = self.endpoints.remove(id) else {
            return false;
        };
        if let Some(pool) = self.pools.get_mut(&old.pool) {
            pool.retain(|other| other.id.endpoint != *id);
        }
        true
    }
}
