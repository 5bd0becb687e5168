//! What changes of objects do here.

use std::net::SocketAddr;
use std::sync::Arc;

use medlarrill_core::ids::EndpointId;
use medlarrill_core::routing::config::Configuration;
use medlarrill_core::routing::endpoint::{Endpoint, Listing};
use medlarrill_core::routing::instance::EntryKind;
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

/// Changes of endpoints from which on one line tells of all: a line for each of 326 endpoints took
/// a daemon with an eighth of a core 13 ms and the pause after its share was used up.
const MANY: usize = 16;

/// An endpoint's entry and what it changed.
#[derive(Debug)]
struct Known {
    endpoint: Endpoint,
    listed: Listed,
    revision: u64,
}

/// Where changes take effect.
#[derive(Debug)]
pub struct Sinks {
    /// The configuration in force.
    pub in_force: watch::Sender<InForce>,
    /// Endpoints.
    pub placement: Arc<Placement>,
    /// Where this daemon listens for others.
    pub me: SocketAddr,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// Who is told of entries that can't be read.
    pub unreadable: Unreadable,
}

impl Sinks {
    /// Takes changes of objects of one kind.
    pub fn take(&self, kind: Kind, changes: &[Change]) {
        match kind {
            Kind::Configuration => changes.iter().for_each(|change| self.take_version(change)),
            Kind::Endpoints if changes.len() >= MANY => self.list_many(changes),
            Kind::Endpoints => changes.iter().for_each(|change| self.take_entry(change)),
            Kind::Drains => changes.iter().for_each(|change| self.take_drain(change)),
            Kind::Daemons => changes.iter().for_each(|change| self.take_daemons(change)),
        }
        let count = self.placement.endpoints();
        let endpoints = &self.metrics.endpoints;
        endpoints.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    fn take_version(&self, change: &Change) {
        match change {
            Change::Put(object) => self.configure(object),
            Change::Removed { name, revision } => log::warn!(
                target: "store", object = name, revision;
                "store: configuration removed, the one in force stays"
            ),
        }
    }

    fn take_drain(&self, change: &Change) {
        match change {
            Change::Put(object) => match objects::drained(&object.name) {
                Ok(name) => self.placement.drain(&name, object.revision, now()),
                Err(error) => self.unreadable.report(Kind::Drains, &object.name, &error),
            },
            Change::Removed { name, revision } => {
                // A name that can't be read has drained nothing.
                if let Ok(name) = objects::drained(name) {
                    self.placement.restore(&name, *revision, now());
                }
            }
        }
    }

    fn take_daemons(&self, change: &Change) {
        let (name, daemons) = match change {
            Change::Put(object) => match objects::daemons(object) {
                Ok(daemons) => (&object.name, daemons),
                Err(error) => {
                    self.unreadable.report(Kind::Daemons, &object.name, &error);
                    return;
                }
            },
            Change::Removed { name, .. } => (name, Vec::new()),
        };
        log::info!(target: "store", part = name, count = daemons.len(); "store: daemons listed");
        self.placement.deal(self.me, name, daemons);
    }

    fn take_entry(&self, change: &Change) {
        match change {
            Change::Put(object) => {
                if let Some(entry) = self.list(object) {
                    log_entry(&entry);
                }
            }
            Change::Removed { name, revision } => self.remove(name, *revision),
        }
    }

    /// Takes a list of endpoints, and logs what is new in one line.
    fn list_many(&self, changes: &[Change]) {
        let mut listed = Vec::new();
        for change in changes {
            let Change::Put(object) = change else {
                self.take_entry(change);
                continue;
            };
            match self.list(object) {
                Some(entry) if entry.listed == Listed::Changed && !entry.endpoint.leaving => {
                    let Endpoint {
                        id, pool, address, ..
                    } = entry.endpoint;
                    listed.push(format!("{id} {} {address}", pool.as_str()));
                }
                Some(entry) => log_entry(&entry),
                None => {}
            }
        }
        let (count, endpoints) = (listed.len(), listed.join(", "));
        log::info!(target: "store", count, endpoints; "store: endpoints listed");
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
        let pools = config.pools.iter();
        let slow = pools.filter_map(|(name, pool)| Some((name.clone(), pool.slow_start?)));
        self.placement.set_slow_starts(slow.collect());
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
    fn list(&self, object: &Object) -> Option<Known> {
        let Listing {
            endpoint,
            slow_start,
        } = match objects::endpoint(object) {
            Ok(listing) => listing,
            Err(error) => {
                self.unreadable
                    .report(Kind::Endpoints, &object.name, &error);
                self.remove(&object.name, object.revision);
                return None;
            }
        };
        let listed = self.placement.list(endpoint.clone(), now());
        if !matches!(listed, Listed::Ignored(_)) {
            self.placement.spare(&endpoint.id, slow_start, now());
        }
        if listed == Listed::Ignored(EntryKind::Foreign) {
            let error = objects::birth_missing();
            self.unreadable
                .report(Kind::Endpoints, &object.name, &error);
        }
        let revision = object.revision;
        Some(Known {
            endpoint,
            listed,
            revision,
        })
    }

    fn remove(&self, name: &str, revision: u64) {
        let id: Option<EndpointId> = name.parse().ok();
        if id.is_some_and(|id| self.placement.remove(&id)) {
            log::info!(target: "store", endpoint = name, revision; "store: endpoint gone");
        }
    }
}

/// Logs what an endpoint's entry changed.
fn log_entry(entry: &Known) {
    let Known {
        endpoint,
        listed,
        revision,
    } = entry;
    let (id, pool) = (&endpoint.id, endpoint.pool.as_str());
    let (address, leaving) = (endpoint.address, endpoint.leaving);
    match listed {
        Listed::Same | Listed::Ignored(EntryKind::Foreign) => {}
        Listed::Changed => log::info!(
            target: "store", endpoint:% = id, pool, address:%, leaving, revision;
            "store: endpoint listed"
        ),
        Listed::Restarted(before) => log::info!(
            target: "store", endpoint:% = id, before:%, pool, address:%, leaving, revision;
            "store: endpoint started again"
        ),
        Listed::Ignored(reason) => log::debug!(
            target: "store", endpoint:% = id, entry:? = reason, revision;
            "store: entry ignored"
        ),
    }
}
