//! Puts changes of the platform's objects into effect in this daemon.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use medlarrill_core::clock::Millis;
use medlarrill_core::ids::EndpointId;
use medlarrill_core::routing::config::Configuration;
use medlarrill_core::routing::endpoint::{Endpoint, Listing};
use medlarrill_core::routing::fingerprint::Fingerprint;
use medlarrill_core::routing::instance::{EntryKind, LATE_WRITE};
use medlarrill_core::routing::mirror::{Change, Object};
use medlarrill_core::routing::quarantine::Evidence;
use medlarrill_core::routing::revision::Revision;
use medlarrill_core::routing::view::ListingChange;
use medlarrill_net::now::{now, wall};
use medlarrill_platform::objects;
use medlarrill_platform::store::{CONFIGURATION, Kind};
use tokio::sync::watch;

use super::unreadable::UnreadableReporter;
use crate::metrics::Metrics;
use crate::placement::Placement;

/// The active configuration, `None` before the first one was read.
pub type ActiveConfig = Option<Arc<Configuration>>;

/// Number of changes of endpoints from which on they are logged in one line. A line for each of 326
/// endpoints took a daemon with an eighth of a core 13 ms, plus the pause once its CPU share was
/// used up.
const BATCH_LOG_MIN: usize = 16;

/// An endpoint's entry, and what changed by it.
#[derive(Debug)]
struct AppliedEntry {
    endpoint: Endpoint,
    listed: ListingChange,
    revision: Revision,
}

/// Applies changes of objects to the daemon's state.
#[derive(Debug)]
pub struct ChangeApplier {
    /// Sender of the active configuration.
    pub active_config: watch::Sender<ActiveConfig>,
    /// Routing state.
    pub placement: Arc<Placement>,
    /// Address on which this daemon listens for other daemons.
    pub me: SocketAddr,
    /// Metrics of the daemon.
    pub metrics: Arc<Metrics>,
    /// Reporter of entries that can't be decoded.
    pub unreadable: UnreadableReporter,
    /// Entries that were taken for late writes, and when each is looked at again.
    pub late: Mutex<BTreeMap<String, (Millis, Object)>>,
}

impl ChangeApplier {
    /// Applies entries again that were taken for late writes and have been listed ever since: unless
    /// more than a counter changes, an endpoint's entry isn't reported again.
    pub fn review_late(&self, now: Millis) {
        let due = |_: &String, (at, _): &mut (Millis, Object)| *at <= now;
        let due: Vec<Object> = self
            .lock_late()
            .extract_if(.., due)
            .map(|(_, (_, object))| object)
            .collect();
        for object in due {
            self.apply_entry(&Change::Put(object));
        }
    }

    fn lock_late(&self) -> MutexGuard<'_, BTreeMap<String, (Millis, Object)>> {
        self.late.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies changes of objects of one kind.
    pub fn apply(&self, kind: Kind, changes: &[Change]) {
        match kind {
            Kind::Configuration => changes
                .iter()
                .for_each(|change| self.apply_configuration(change)),
            Kind::Endpoints if changes.len() >= BATCH_LOG_MIN => self.apply_entries(changes),
            Kind::Endpoints => changes.iter().for_each(|change| self.apply_entry(change)),
            Kind::Drains => changes.iter().for_each(|change| self.apply_drain(change)),
            Kind::Daemons => changes.iter().for_each(|change| self.apply_daemons(change)),
            Kind::Quarantine => changes
                .iter()
                .for_each(|change| self.apply_quarantine(change)),
        }
        let count = self.placement.endpoint_count();
        let endpoints = &self.metrics.endpoints;
        endpoints.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Applies the changes of objects of one kind by which the store was restored.
    pub fn apply_restored(&self, kind: Kind, changes: &[Change]) {
        match kind {
            Kind::Daemons => changes.iter().for_each(|change| self.add_daemons(change)),
            _ => self.apply(kind, changes),
        }
    }

    fn apply_configuration(&self, change: &Change) {
        match change {
            Change::Put(object) => self.put_configuration(object),
            Change::Removed { name, revision } => log::warn!(
                target: "store", object = name, revision = revision.number;
                "store: configuration removed, the one in force stays"
            ),
        }
    }

    fn apply_drain(&self, change: &Change) {
        match change {
            Change::Put(object) => match objects::drained_data_centre(&object.name) {
                Ok(name) => self.placement.drain(&name, object.revision, now()),
                Err(error) => self.unreadable.report(Kind::Drains, &object.name, &error),
            },
            Change::Removed { name, revision } => {
                // An invalid name has drained nothing.
                if let Ok(name) = objects::drained_data_centre(name) {
                    self.placement.undrain(&name, *revision, now());
                }
            }
        }
    }

    fn apply_daemons(&self, change: &Change) {
        let (name, daemons) = match change {
            Change::Put(object) => match self.decode_daemons(object) {
                Some(daemons) => (&object.name, daemons),
                None => return,
            },
            Change::Removed { name, .. } => (name, Vec::new()),
        };
        log::info!(target: "store", part = name, count = daemons.len(); "store: daemons listed");
        self.placement.set_daemons(self.me, name, daemons);
    }

    /// Adds listed daemons to those that were listed before the store was restored: a list of before
    /// lacks some, whose shares the others would use until it is written again.
    fn add_daemons(&self, change: &Change) {
        let Change::Put(object) = change else {
            return;
        };
        let Some(daemons) = self.decode_daemons(object) else {
            return;
        };
        let known = self.placement.listed_part(&object.name);
        let all: BTreeSet<SocketAddr> = known.into_iter().chain(daemons).collect();
        let all = all.into_iter().collect();
        self.placement.set_daemons(self.me, &object.name, all);
    }

    /// Decodes a list of daemons; reports one that can't be decoded.
    fn decode_daemons(&self, object: &Object) -> Option<Vec<SocketAddr>> {
        let daemons = objects::daemons(object);
        daemons
            .inspect_err(|error| self.unreadable.report(Kind::Daemons, &object.name, error))
            .ok()
    }

    /// Applies a quarantined cause. Operators lift the quarantine by removing its object; daemons
    /// remove it when nothing is held against the cause any more.
    fn apply_quarantine(&self, change: &Change) {
        match change {
            Change::Put(object) => match objects::quarantined(object) {
                Ok(stored) => {
                    let evidence: Vec<Evidence> = stored.evidence(wall()).collect();
                    self.placement.merge_evidence(&evidence, now());
                }
                Err(error) => self
                    .unreadable
                    .report(Kind::Quarantine, &object.name, &error),
            },
            Change::Removed { name, revision } => {
                // An invalid name holds nothing.
                let cause: Option<Fingerprint> = name.parse().ok();
                if cause.is_some_and(|cause| self.placement.lift(cause, now())) {
                    log::warn!(target: "quarantine", cause = name, revision = revision.number;
                        "quarantine: lifted");
                }
            }
        }
    }

    fn apply_entry(&self, change: &Change) {
        match change {
            Change::Put(object) => {
                if let Some(entry) = self.put_entry(object) {
                    log_entry(&entry);
                }
            }
            Change::Removed { name, revision } => self.remove_entry(name, *revision),
        }
    }

    /// Applies many changes of endpoints, and logs new or changed ones in one line.
    fn apply_entries(&self, changes: &[Change]) {
        let mut listed = Vec::new();
        for change in changes {
            let Change::Put(object) = change else {
                self.apply_entry(change);
                continue;
            };
            match self.put_entry(object) {
                Some(entry)
                    if entry.listed == ListingChange::Changed && !entry.endpoint.leaving =>
                {
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

    /// Activates a configuration if its version is newer.
    fn put_configuration(&self, object: &Object) {
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
        let before = self
            .active_config
            .borrow()
            .as_ref()
            .map(|config| config.version);
        let version = config.version;
        if before.is_some_and(|before| before >= version) {
            return;
        }
        let pools = config.pools.iter();
        let slow = pools.filter_map(|(name, pool)| Some((name.clone(), pool.slow_start?)));
        self.placement.configure_slow_starts(slow.collect());
        self.active_config.send_replace(Some(Arc::new(config)));
        let number = i64::try_from(version.0).unwrap_or(i64::MAX);
        self.metrics.config_version.set(number);
        log::info!(
            target: "store", version = version.0, before = before.map_or(0, |before| before.0),
            revision = object.revision.number, era = object.revision.era.0;
            "store: configuration in force"
        );
    }

    /// Applies an endpoint's entry. Anyone may write entries: one that can't be decoded, or that
    /// isn't the endpoint's own, leaves no usable endpoint of that name, even if there was one.
    fn put_entry(&self, object: &Object) -> Option<AppliedEntry> {
        let Listing {
            endpoint,
            slow_start,
        } = match objects::endpoint(object) {
            Ok(listing) => listing,
            Err(error) => {
                self.unreadable
                    .report(Kind::Endpoints, &object.name, &error);
                self.remove_entry(&object.name, object.revision);
                return None;
            }
        };
        let listed = self.placement.upsert(endpoint.clone(), now());
        if listed == ListingChange::Ignored(EntryKind::Late) {
            let again = (now() + LATE_WRITE, object.clone());
            self.lock_late().insert(object.name.clone(), again);
        } else {
            self.lock_late().remove(&object.name);
        }
        if !matches!(listed, ListingChange::Ignored(_)) {
            self.placement
                .begin_slow_start(&endpoint.id, slow_start, now());
        }
        if listed == ListingChange::Ignored(EntryKind::Foreign) {
            let error = objects::start_missing();
            self.unreadable
                .report(Kind::Endpoints, &object.name, &error);
        }
        let revision = object.revision;
        Some(AppliedEntry {
            endpoint,
            listed,
            revision,
        })
    }

    fn remove_entry(&self, name: &str, revision: Revision) {
        self.lock_late().remove(name);
        let id: Option<EndpointId> = name.parse().ok();
        if id.is_some_and(|id| self.placement.remove_entry(&id)) {
            log::info!(target: "store", endpoint = name, revision = revision.number;
                "store: endpoint gone");
        }
    }
}

/// Logs what an endpoint's entry changed.
fn log_entry(entry: &AppliedEntry) {
    let AppliedEntry {
        endpoint,
        listed,
        revision,
    } = entry;
    let (id, pool) = (&endpoint.id, endpoint.pool.as_str());
    let (address, leaving) = (endpoint.address, endpoint.leaving);
    match listed {
        ListingChange::Same | ListingChange::Ignored(EntryKind::Foreign) => {}
        ListingChange::Changed => log::info!(
            target: "store", endpoint:% = id, pool, address:%, leaving, revision = revision.number;
            "store: endpoint listed"
        ),
        ListingChange::Restarted(before) => log::info!(
            target: "store", endpoint:% = id, before:%, pool, address:%, leaving, revision = revision.number;
            "store: endpoint started again"
        ),
        ListingChange::Ignored(reason) => log::debug!(
            target: "store", endpoint:% = id, entry:? = reason, revision = revision.number;
            "store: entry ignored"
        ),
    }
}
