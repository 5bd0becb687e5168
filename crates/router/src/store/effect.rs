//! What changes of objects do here.

use std::sync::Arc;

use medlarrill_core::ids::EndpointId;
use medlarrill_core::routing::birth::Entry;
use medlarrill_core::routing::config::Configuration;
use medlarrill_core::routing::mirror::{Change, Object};
use medlarrill_core::routing::view::Listed;
use medlarrill_net::now::now;
use medlarrill_platform::objects;
use medlarrill_platform::store::{CONFIGURATION, Kind};
use tokio::sync::watch;

use super::unreadable::Unreadable;
use crate::metrics::Metrics;
use crate::placement::Placement;

/// The configuration in force, none before the first was read.
pub type InForce = Option<Arc<Configuration>>;

/// Where changes take effect.
#[derive(Debug)]
pub struct Sinks {
    /// The configuration in force.
    pub in_force: watch::Sender<InForce>,
    /// Endpoints.
    pub placement: Arc<Placement>,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// Who is told of entries that can't be read.
    pub unreadable: Unreadable,
}

impl Sinks {
    /// Takes a change of an object.
    pub fn take(&self, kind: Kind, change: &Change) {
        match (kind, change) {
            (Kind::Configuration, Change::Put(object)) => self.configure(object),
            (Kind::Configuration, Change::Removed { name, revision }) => log::warn!(
                target: "store", object = name, revision;
                "store: configuration removed, the one in force stays"
            ),
            (Kind::Endpoints, Change::Put(object)) => self.list(object),
            (Kind::Endpoints, Change::Removed { name, revision }) => self.remove(name, *revision),
        }
        let count = self.placement.endpoints();
        let endpoints = &self.metrics.endpoints;
        endpoints.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Puts a configuration in force if it is newer.
    fn configure(&self, object: &Object) {
        if object.name != CONFIGURATION {
            return;
        }
        let config = match objects::configuration(object) {
            Ok(config) => config,
            Err(error) => {
                self.unreadable
                    .report(Kind::Configuration, &object.name, &error);
                return;
            }
        };
        let before = self.in_force.borrow().as_ref().map(|config| config.version);
        let version = config.version;
        if before.is_some_and(|before| before >= version) {
            return;
        }
        self.in_force.send_replace(Some(Arc::new(config)));
        let number = i64::try_from(version.0).unwrap_or(i64::MAX);
        self.metrics.version.set(number);
        log::info!(
            target: "store", version = version.0, before = before.map_or(0, |before| before.0),
            revision = object.revision;
            "store: configuration in force"
        );
    }

    /// Takes an endpoint's entry. Anyone may write entries: one that can't be read, or that isn't
    /// the endpoint's own, names no endpoint to use, whatever stood there before.
    fn list(&self, object: &Object) {
        let endpoint = match objects::endpoint(object) {
            Ok(endpoint) => endpoint,
            Err(error) => {
                self.unreadable
                    .report(Kind::Endpoints, &object.name, &error);
                self.remove(&object.name, object.revision);
                return;
            }
        };
        let (id, pool) = (endpoint.id.clone(), endpoint.pool.clone());
        let (address, leaving) = (endpoint.address, endpoint.leaving);
        match self.placement.list(endpoint, now()) {
            Listed::Same => {}
            Listed::Changed => log::info!(
                target: "store", endpoint:% = id, pool = pool.as_str(), address:%, leaving,
                revision = object.revision;
                "store: endpoint listed"
            ),
            Listed::Restarted(before) => log::info!(
                target: "store", endpoint:% = id, before:%, pool = pool.as_str(), address:%, leaving,
                revision = object.revision;
                "store: endpoint started again"
            ),
            Listed::Ignored(Entry::Foreign) => {
                let error = objects::birth_missing();
                self.unreadable
                    .report(Kind::Endpoints, &object.name, &error);
            }
            Listed::Ignored(entry) => log::debug!(
                target: "store", endpoint:% = id, entry:? = entry, revision = object.revision;
                "store: entry ignored"
            ),
        }
    }

    fn remove(&self, name: &str, revision: u64) {
        let id: Option<EndpointId> = name.parse().ok();
        if id.is_some_and(|id| self.placement.remove(&id)) {
            log::info!(target: "store", endpoint = name, revision; "store: endpoint gone");
        }
    }
}
