//! Entries of endpoints: what becomes known, and what is forgotten with an instance.

use derive_more::Debug;

use super::View;
use crate::clock::Millis;
use crate::ids::EndpointId;
use crate::routing::endpoint::{Endpoint, InstanceId};
use crate::routing::instance::EntryKind;

/// What an endpoint's entry changed.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub enum Listed {
    /// Nothing.
    Same,
    /// The endpoint is new, or its entry says something else.
    Changed,
    /// The endpoint started again: this instance is gone.
    Restarted(InstanceId),
    /// It was of no use.
    Ignored(EntryKind),
}

impl View {
    /// Takes an endpoint's entry; says what it changed.
    pub fn list(&mut self, endpoint: Endpoint, now: Millis) -> Listed {
        let was_told = self.births.has_start_times();
        let entry = self.births.classify(&endpoint.id, now);
        if self.births.has_start_times() && !was_told {
            self.remove_unborn();
        }
        match entry {
            EntryKind::Current => {}
            EntryKind::Late => return Listed::Ignored(entry),
            EntryKind::Foreign => {
                self.remove(&endpoint.id.endpoint);
                return Listed::Ignored(entry);
            }
        }
        let id = endpoint.id.clone();
        self.notices.set_listed(&id);
        let endpoint = Endpoint {
            leaving: endpoint.leaving || self.notices.is_leaving(&id),
            ..endpoint
        };
        let before = self.directory.instance(&id.endpoint).cloned();
        if !self.directory.insert(endpoint, now) {
            return Listed::Same;
        }
        match before.filter(|before| *before != id) {
            Some(old) => {
                self.forget(&old);
                Listed::Restarted(old)
            }
            None => Listed::Changed,
        }
    }

    /// Drops an endpoint's entry; says whether it was there.
    pub fn remove(&mut self, id: &EndpointId) -> bool {
        if let Some(instance) = self.directory.instance(id).cloned() {
            self.forget(&instance);
        }
        self.directory.remove(id)
    }

    /// Drops entries that don't say when their endpoint started, now that endpoints do.
    fn remove_unborn(&mut self) {
        let unborn = self
            .directory
            .all()
            .filter(|known| known.id.started.is_none());
        let names: Vec<EndpointId> = unborn.map(|known| known.id.endpoint.clone()).collect();
        for name in names {
            self.remove(&name);
        }
    }

    /// Forgets what is known of an instance.
    fn forget(&mut self, id: &InstanceId) {
        self.loads.forget(id);
        self.health.forget(id);
        self.avoided.remove(id);
        self.paces.forget(id);
        self.outcomes.remove(id);
        self.slow_starts.forget(id);
    }
}
