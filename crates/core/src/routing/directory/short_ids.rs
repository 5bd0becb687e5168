//! Endpoints by the short ids that messages between daemons use.

use std::collections::HashMap;
use std::sync::Arc;

use derive_more::Debug;
use foldhash::fast::RandomState;

use crate::routing::endpoint::{Endpoint, InstanceId};
use crate::routing::exchange::short_id;

/// Index of endpoints by short id.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct ShortIds {
    endpoints: HashMap<u32, Arc<Endpoint>, RandomState>,
    /// Endpoints whose short id another one has, too; among 10,000 there are two with a probability
    /// of 1 in 86.
    colliding: Vec<(u32, Arc<Endpoint>)>,
}

impl ShortIds {
    /// The endpoints with a short id.
    pub fn get(&self, short: u32) -> impl Iterator<Item = &Arc<Endpoint>> {
        let colliding = self
            .colliding
            .iter()
            .filter(move |(other, _)| *other == short);
        let colliding = colliding.map(|(_, endpoint)| endpoint);
        self.endpoints.get(&short).into_iter().chain(colliding)
    }

    /// Adds an endpoint.
    pub fn insert(&mut self, endpoint: Arc<Endpoint>) {
        let short = short_id(&endpoint.id);
        if let Some(other) = self.endpoints.insert(short, endpoint) {
            self.colliding.push((short, other));
        }
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, id: &InstanceId) {
        let short = short_id(id);
        let before = self.colliding.len();
        self.colliding.retain(|(_, other)| other.id != *id);
        if self.colliding.len() < before {
            return;
        }
        self.endpoints.remove(&short);
        if let Some(at) = self.colliding.iter().position(|(other, _)| *other == short) {
            let (_, other) = self.colliding.swap_remove(at);
            self.endpoints.insert(short, other);
        }
    }
}
