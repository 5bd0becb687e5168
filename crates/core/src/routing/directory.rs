//! The endpoints that the platform lists, by pool.

use std::collections::HashMap;
use std::sync::Arc;

use derive_more::Debug;

use crate::clock::Millis;
use crate::ids::{EndpointId, PoolId};
use crate::routing::endpoint::Endpoint;

/// Listed endpoints by pool.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct Directory {
    endpoints: HashMap<EndpointId, Arc<Endpoint>>,
    pools: HashMap<PoolId, Vec<Arc<Endpoint>>>,
    /// When each was first listed.
    joined: HashMap<EndpointId, Millis>,
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
        self.endpoints.values()
    }

    /// When an endpoint was first listed.
    pub fn joined(&self, id: &EndpointId) -> Option<Millis> {
        self.joined.get(id).copied()
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
    pub fn list(&mut self, endpoint: Endpoint, now: Millis) -> bool {
        if self.endpoints.get(&endpoint.id).map(Arc::as_ref) == Some(&endpoint) {
            return false;
        }
        let endpoint = Arc::new(endpoint);
        self.unlist(&endpoint.id);
        self.joined.entry(endpoint.id.clone()).or_insert(now);
        let pool = self.pools.entry(endpoint.pool.clone()).or_default();
        let at = pool.partition_point(|other| other.id < endpoint.id);
        pool.insert(at, Arc::clone(&endpoint));
        self.endpoints.insert(endpoint.id.clone(), endpoint);
        true
    }

    /// Drops an entry; says whether it was there.
    pub fn remove(&mut self, id: &EndpointId) -> bool {
        self.joined.remove(id);
        self.unlist(id)
    }

    fn unlist(&mut self, id: &EndpointId) -> bool {
        let Some(old) = self.endpoints.remove(id) else {
            return false;
        };
        if let Some(pool) = self.pools.get_mut(&old.pool) {
            pool.retain(|other| other.id != *id);
        }
        true
    }
}
