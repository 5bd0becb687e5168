//! What changes of objects do here.

use std::sync::Arc;

use medlarrill_core::ids::EndpointId;
use medlarrill_core::routing::config::Configuration;
use medlarrill_core::routing::mirror::{Change, Object};
use medlarrill_net::now::now;
use medlarrill_platform::objects;
use medlarrill_platform::store::{CONFIGURATION, Kind};
use tokio::sync::watch;

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
                log::error!(
                    target: "store", revision = object.revision, place = error.place, cause = error.cause;
                    "store: configuration can't be read, the one in force stays"
                );
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

    fn list(&self, object: &Object) {
        let endpoint = match objects::endpoint(object) {
            Ok(endpoint) => endpoint,
            Err(error) => {
                log::error!(
                    target: "store", object = object.name, place = error.place, cause = error.cause;
                    "store: endpoint can't be read, what was known of it stays"
                );
                return;
            }
        };
        let (id, pool) = (endpoint.id.clone(), endpoint.pool.clone());
        let (address, leaving) = (endpoint.address, endpoint.leaving);
        if self.placement.list(endpoint, now()) {
            log::info!(
                target: "store", endpoint = id.as_str(), pool = pool.as_str(), address:%, leaving,
                revision = object.revision;
                "store: endpoint listed"
            );
        }
    }

    fn remove(&self, name: &str, revision: u64) {
        let id: Option<EndpointId> = name.parse().ok();
        if id.is_some_and(|id| self.placement.remove(&id)) {
            log::info!(target: "store", endpoint = name, revision; "store: endpoint gone");
        }
    }
}
