//! The endpoints that the platform lists.
//!
//! Entries lapse while the platform is away, although their endpoints live.
//! After such a time an entry that is missing is kept for [`GRACE`], in which
//! a living endpoint lists itself again, and is dropped then.

use std::collections::HashMap;
use std::sync::Arc;

use derive_more::Debug;

use crate::clock::Millis;
use crate::ids::{EndpointId, PoolId};
use crate::routing::endpoint::Endpoint;

/// How long an endpoint may stay unlisted after the platform's return: living ones are
/// back within about two seconds, as the platform's operators say.
pub const GRACE: Millis = Millis(2000);
/// After a platform outage of this length an entry may have lapsed. Entries are removed after
/// three heartbeats of silence; one heartbeat is a safe lower bound.
const LAPSE: Millis = Millis(1000);

/// What became of the entries in one change.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub enum Change {
    /// It is listed, as new or with other contents.
    Listed(Arc<Endpoint>),
    /// It is no longer listed.
    Removed(EndpointId),
    /// It is missing and may be back; dropped at this time.
    Missing(EndpointId, Millis),
}

/// Listed endpoints by pool.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct Directory {
    endpoints: HashMap<EndpointId, Arc<Endpoint>>,
    pools: HashMap<PoolId, Vec<Arc<Endpoint>>>,
    /// Entries that are missing, and when they are dropped.
    missing: HashMap<EndpointId, Millis>,
    /// When the platform was last reached after an outage.
    back: Option<Millis>,
    /// When endpoints joined that weren't in the first list.
    joined: HashMap<EndpointId, Millis>,
}

impl Directory {
    /// Endpoints of a pool, leaving ones included, in the order of their ids.
    pub fn pool(&self, pool: &PoolId) -> &[Arc<Endpoint>] {
        self.pools.get(pool).map_or(&[], Vec::as_slice)
    }

    /// All endpoints.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        self.endpoints.values()
    }

    /// An endpoint by id.
    pub fn get(&self, id: &EndpointId) -> Option<&Arc<Endpoint>> {
        self.endpoints.get(id)
    }

    /// When an endpoint joined, none if it was there from the start.
    pub fn joined(&self, id: &EndpointId) -> Option<Millis> {
        self.joined.get(id).copied()
    }

    /// How many endpoints are listed or may be back.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Notes that the platform answers again after an outage of this length.
    pub fn platform_back(&mut self, outage: Millis, now: Millis) {
        if outage >= LAPSE {
            self.back = Some(now);
        }
    }

    /// Takes the whole list.
    pub fn replace(&mut self, listed: Vec<Endpoint>, now: Millis) -> Vec<Change> {
        let mut changes = Vec::new();
        let ids: Vec<EndpointId> = listed.iter().map(|endpoint| endpoint.id.clone()).collect();
        let is_first = self.is_empty();
        for endpoint in listed {
            changes.extend(self.list(endpoint, now));
        }
        if is_first {
            self.joined.clear();
        }
        let mut unlisted: Vec<EndpointId> = self.endpoints.keys().cloned().collect();
        unlisted.retain(|id| !ids.contains(id));
        for id in unlisted {
            changes.extend(self.remove(&id, now));
        }
        changes
    }

    /// Takes one entry that is new or changed.
    pub fn list(&mut self, endpoint: Endpoint, now: Millis) -> Option<Change> {
        self.missing.remove(&endpoint.id);
        if self.endpoints.get(&endpoint.id).map(Arc::as_ref) == Some(&endpoint) {
            return None;
        }
        let endpoint = Arc::new(endpoint);
        self.unlist(&endpoint.id);
        self.joined.entry(endpoint.id.clone()).or_insert(now);
        self.endpoints
            .insert(endpoint.id.clone(), Arc::clone(&endpoint));
        let pool = self.pools.entry(endpoint.pool.clone()).or_default();
        let at = pool.partition_point(|other| other.id < endpoint.id);
        pool.insert(at, Arc::clone(&endpoint));
        Some(Change::Listed(endpoint))
    }

    /// Takes word that an entry was removed.
    pub fn remove(&mut self, id: &EndpointId, now: Millis) -> Option<Change> {
        let endpoint = self.endpoints.get(id)?;
        if let Some(until) = self.grace(now)
            && !endpoint.leaving
        {
            let until = *self.missing.entry(id.clone()).or_insert(until);
            return Some(Change::Missing(id.clone(), until));
        }
        self.drop_entry(id);
        Some(Change::Removed(id.clone()))
    }

    /// Drops entries that are missing for too long.
    pub fn tick(&mut self, now: Millis) -> Vec<Change> {
        let due = |(id, until): (&EndpointId, &Millis)| (*until <= now).then(|| id.clone());
        let due: Vec<EndpointId> = self.missing.iter().filter_map(due).collect();
        for id in &due {
            self.drop_entry(id);
        }
        due.into_iter().map(Change::Removed).collect()
    }

    /// Until when an entry that is missing now may be back.
    fn grace(&self, now: Millis) -> Option<Millis> {
        let until = self.back? + GRACE;
        (now < until).then_some(until)
    }

    fn drop_entry(&mut self, id: &EndpointId) {
        self.missing.remove(id);
        self.joined.remove(id);
        self.unlist(id);
    }

    fn unlist(&mut self, id: &EndpointId) {
        let Some(old) = self.endpoints.remove(id) else {
            return;
        };
        if let Some(pool) = self.pools.get_mut(&old.pool) {
            pool.retain(|other| other.id != *id);
        }
    }
}
