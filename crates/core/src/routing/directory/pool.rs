//! The endpoints of one pool.

use std::collections::HashMap;
use std::sync::Arc;

use derive_more::Debug;

use crate::clock::Millis;
use crate::ids::DataCentreId;
use crate::placement::Node;
use crate::routing::endpoint::{Endpoint, InstanceId};

/// Endpoints of one pool sorted by id; the entries at one index of all columns describe one
/// endpoint. A choice reads the ranks of all endpoints, so that these lie next to each other.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct Pool {
    endpoints: Vec<Arc<Endpoint>>,
    #[debug(skip)]
    nodes: Vec<Node<()>>,
    /// When each was first listed.
    listed: Vec<Millis>,
    /// Number of endpoints in each data centre that aren't leaving.
    staying: HashMap<DataCentreId, usize>,
}

impl Pool {
    /// The endpoints.
    pub fn endpoints(&self) -> &[Arc<Endpoint>] {
        &self.endpoints
    }

    /// The endpoints' ranks for prefixes.
    pub fn nodes(&self) -> &[Node<()>] {
        &self.nodes
    }

    /// When each endpoint was first listed.
    pub fn listed(&self) -> &[Millis] {
        &self.listed
    }

    /// The longest time that an endpoint has been listed.
    pub fn oldest_age(&self, now: Millis) -> Millis {
        let ages = self.listed.iter().map(|listed| now.since(*listed));
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

    /// Index of an endpoint.
    pub fn position(&self, id: &InstanceId) -> Option<usize> {
        self.endpoints
            .binary_search_by(|other| other.id.cmp(id))
            .ok()
    }

    pub(super) fn insert(&mut self, endpoint: Arc<Endpoint>, listed: Millis) {
        let at = self
            .endpoints
            .partition_point(|other| other.id < endpoint.id);
        if !endpoint.leaving {
            let data_centre = endpoint.data_centre.clone();
            *self.staying.entry(data_centre).or_default() += 1;
        }
        self.nodes
            .insert(at, Node::new((), endpoint.id.endpoint.as_str()));
        self.listed.insert(at, listed);
        self.endpoints.insert(at, endpoint);
    }

    pub(super) fn remove(&mut self, id: &InstanceId) {
        if let Some(at) = self.position(id) {
            let removed = self.endpoints.remove(at);
            self.nodes.remove(at);
            self.listed.remove(at);
            if let Some(staying) = self.staying.get_mut(&removed.data_centre)
                && !removed.leaving
            {
                *staying -= 1;
            }
        }
    }
}
