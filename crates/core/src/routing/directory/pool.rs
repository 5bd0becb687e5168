//! The endpoints of one pool.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use derive_more::Debug;

use crate::clock::Millis;
use crate::ids::DataCentreId;
use crate::placement::Node;
use crate::routing::endpoint::{Build, Endpoint, InstanceId};

/// Endpoints of one pool, sorted by id.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct Pool {
    endpoints: BTreeMap<InstanceId, Listed>,
    /// Number of endpoints in each data centre that aren't leaving.
    staying: HashMap<DataCentreId, usize>,
    /// The same of each software version.
    builds: HashMap<Build, usize>,
}

/// A listed endpoint.
#[derive(Clone)]
#[derive(Debug)]
pub struct Listed {
    /// The endpoint.
    pub endpoint: Arc<Endpoint>,
    /// Its ranks for prefixes.
    pub node: Node<()>,
    /// When it was first listed.
    pub since: Millis,
}

impl Pool {
    /// The endpoints with their ranks and ages.
    pub fn listed(&self) -> impl Iterator<Item = &Listed> {
        self.endpoints.values()
    }

    /// The endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        self.listed().map(|listed| &listed.endpoint)
    }

    /// An endpoint of this pool.
    pub fn get(&self, id: &InstanceId) -> Option<&Listed> {
        self.endpoints.get(id)
    }

    /// The longest time that an endpoint has been listed.
    pub fn oldest_age(&self, now: Millis) -> Millis {
        let ages = self.listed().map(|listed| now.since(listed.since));
        ages.max().unwrap_or_default()
    }

    /// Number of endpoints that aren't leaving.
    pub fn staying(&self) -> usize {
        self.staying.values().sum()
    }

    /// The same in one data centre.
    pub fn staying_in(&self, data_centre: &DataCentreId) -> usize {
        self.staying.get(data_centre).copied().unwrap_or_default()
    }

    /// Software versions of endpoints that aren't leaving.
    pub fn builds(&self) -> impl Iterator<Item = &Build> {
        self.builds.keys()
    }

    /// Number of endpoints of one software version that aren't leaving.
    pub fn staying_of(&self, build: &Build) -> usize {
        self.builds.get(build).copied().unwrap_or_default()
    }

    pub(super) fn insert(&mut self, endpoint: Arc<Endpoint>, since: Millis) {
        if !endpoint.leaving {
            let data_centre = endpoint.data_centre.clone();
            *self.staying.entry(data_centre).or_default() += 1;
            *self.builds.entry(endpoint.build.clone()).or_default() += 1;
        }
        let listed = Listed {
            node: Node::new((), endpoint.id.endpoint.as_str()),
            since,
            endpoint,
        };
        self.endpoints.insert(listed.endpoint.id.clone(), listed);
    }

    pub(super) fn remove(&mut self, id: &InstanceId) {
        let removed = self.endpoints.remove(id);
        let staying = removed.filter(|removed| !removed.endpoint.leaving);
        let Some(Listed { endpoint, .. }) = staying else {
            return;
        };
        if let Some(count) = self.staying.get_mut(&endpoint.data_centre) {
            *count -= 1;
        }
        if let Some(count) = self.builds.get_mut(&endpoint.build) {
            *count -= 1;
            if *count == 0 {
                self.builds.remove(&endpoint.build);
            }
        }
    }
}
