//! Updates from the platform's list of endpoints, and the removal of an instance's state.

use std::sync::Arc;

use derive_more::Debug;
use rand::seq::IteratorRandom;

use super::View;
use crate::clock::Millis;
use crate::ids::EndpointId;
use crate::routing::endpoint::{Endpoint, InstanceId};
use crate::routing::exchange;
use crate::routing::instance::EntryKind;

/// Result of an update from the platform's list.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub enum ListingChange {
    /// Nothing changed.
    Same,
    /// The endpoint is new, or its properties changed.
    Changed,
    /// The endpoint restarted: this instance was removed.
    Restarted(InstanceId),
    /// The update was ignored.
    Ignored(EntryKind),
}

impl View {
    /// Inserts or updates a listed endpoint; returns what changed.
    pub fn upsert(&mut self, endpoint: Endpoint, now: Millis) -> ListingChange {
        let had_starts = self.start_times.has_start_times();
        let entry = self.start_times.classify(&endpoint.id, now);
        if self.start_times.has_start_times() && !had_starts {
            self.remove_without_start();
        }
        match entry {
            EntryKind::Current => {}
            EntryKind::Late => return ListingChange::Ignored(entry),
            EntryKind::Foreign => {
                self.remove(&endpoint.id.endpoint);
                return ListingChange::Ignored(entry);
            }
        }
        let id = endpoint.id.clone();
        if self.gone.remove(&id).is_some() {
            let short = exchange::short_id(&id);
            self.quarantine.record_survivor(short, now);
        }
        self.notices.set_listed(&id);
        let endpoint = Endpoint {
            leaving: endpoint.leaving || self.notices.is_leaving(&id),
            ..endpoint
        };
        let before = self.directory.instance(&id.endpoint).cloned();
        if !self.directory.insert(endpoint, now) {
            return ListingChange::Same;
        }
        match before.filter(|before| *before != id) {
            Some(old) => {
                self.forget(&old);
                ListingChange::Restarted(old)
            }
            None => ListingChange::Changed,
        }
    }

    /// The listed instance of an endpoint.
    pub fn instance(&self, id: &EndpointId) -> Option<&InstanceId> {
        self.directory.instance(id)
    }

    /// Removes an endpoint; returns whether it was listed.
    pub fn remove(&mut self, id: &EndpointId) -> bool {
        if let Some(instance) = self.directory.instance(id).cloned() {
            self.forget(&instance);
        }
        self.directory.remove(id)
    }

    /// The endpoint of an instance, if it is listed and takes new work.
    pub fn open_endpoint(&self, id: &InstanceId) -> Option<Arc<Endpoint>> {
        let endpoint = self.directory.get(id);
        endpoint
            .filter(|endpoint| self.takes_work(endpoint))
            .cloned()
    }

    /// Whether an instance is listed.
    pub fn is_listed(&self, id: &InstanceId) -> bool {
        self.directory.is_listed(id)
    }

    /// Up to `count` endpoints, drawn at random.
    pub fn sample(&mut self, count: usize) -> Vec<Arc<Endpoint>> {
        self.directory.all().cloned().sample(&mut self.rng, count)
    }

    /// Removes endpoints without a start time, once endpoints are listed with one.
    fn remove_without_start(&mut self) {
        let without_start = self
            .directory
            .all()
            .filter(|known| known.id.started.is_none());
        let names: Vec<EndpointId> = without_start
            .map(|known| known.id.endpoint.clone())
            .collect();
        for name in names {
            self.remove(&name);
        }
    }

    /// Discards the state of an instance.
    fn forget(&mut self, id: &InstanceId) {
        self.loads.forget(id);
        self.work.forget(id);
        self.health.forget(id);
        self.avoided.remove(id);
        self.response_rates.forget(id);
        self.outcomes.remove(id);
        self.slow_starts.forget(id);
        self.doubts.forget(id);
        self.silent.forget(id);
        self.losses.forget(exchange::short_id(id));
    }
}
