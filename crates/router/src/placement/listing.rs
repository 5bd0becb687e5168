//! Listed endpoints, daemons and drained data centres.

use std::net::SocketAddr;
use std::sync::Arc;

use medlarrill_core::clock::Millis;
use medlarrill_core::ids::{DataCentreId, EndpointId};
use medlarrill_core::routing::endpoint::{Endpoint, InstanceId};
use medlarrill_core::routing::revision::Revision;
use medlarrill_core::routing::view::{Drain, ListingChange};
use medlarrill_net::now::now;

use super::Placement;

impl Placement {
    /// Adds or updates an endpoint's entry; returns what changed.
    pub fn upsert(&self, endpoint: Endpoint, now: Millis) -> ListingChange {
        let change = self.lock().upsert(endpoint, now);
        if let ListingChange::Restarted(gone) = &change {
            let changes = self.lock().record_gone(gone, now);
            self.log_quarantine(&changes);
        }
        change
    }

    /// Removes an endpoint's entry; returns whether there was one.
    pub fn remove_entry(&self, id: &EndpointId) -> bool {
        let mut view = self.lock();
        let gone = view.instance(id).cloned();
        let was_listed = view.remove(id);
        let changes = gone.as_ref().map(|gone| view.record_gone(gone, now()));
        drop(view);
        self.log_quarantine(&changes.unwrap_or_default());
        was_listed
    }

    /// Number of known endpoints.
    pub fn endpoint_count(&self) -> usize {
        self.lock().endpoints()
    }

    /// The endpoint of an instance, if it is listed and takes new work.
    pub fn open_endpoint(&self, id: &InstanceId) -> Option<Arc<Endpoint>> {
        self.lock().open_endpoint(id)
    }

    /// Whether an instance is listed.
    pub fn is_listed(&self, id: &InstanceId) -> bool {
        self.lock().is_listed(id)
    }

    /// Draws up to `count` endpoints.
    pub fn sample(&self, count: usize) -> Vec<Arc<Endpoint>> {
        self.lock().sample(count)
    }

    /// Adds the daemons that the platform lists to those of a data centre and those elsewhere.
    pub fn add_listed(
        &self,
        centre: &DataCentreId,
        near: &mut Vec<SocketAddr>,
        far: &mut Vec<SocketAddr>,
    ) {
        for (part, daemons) in self.lock().listed_daemons() {
            match part == centre.as_str() {
                true => near.extend(daemons),
                false => far.extend(daemons),
            }
        }
    }

    /// Number of daemons that are alive or may be.
    pub fn daemon_count(&self) -> usize {
        self.lock().daemons()
    }

    /// Starts the drain of a data centre: its endpoints get no new work.
    pub fn drain(&self, data_centre: &DataCentreId, revision: Revision, now: Millis) {
        let Some(effect) = self.lock().drain(data_centre.clone(), now) else {
            return;
        };
        let Drain {
            endpoints,
            emptied,
            busy,
        } = effect;
        let name = data_centre.as_str();
        log::info!(
            target: "placement", data_centre = name, revision = revision.number, endpoints, busy;
            "placement: data centre drained"
        );
        if busy >= 1.0 || !emptied.is_empty() {
            log::warn!(
                target: "placement", data_centre = name, busy, emptied:? = emptied;
                "placement: what is left can't carry the work of a drained data centre"
            );
        }
    }

    /// Ends the drain of a data centre.
    pub fn undrain(&self, data_centre: &DataCentreId, revision: Revision, now: Millis) {
        if self.lock().undrain(data_centre, now) {
            let name = data_centre.as_str();
            log::info!(
                target: "placement", data_centre = name, revision = revision.number;
                "placement: data centre takes work again"
            );
        }
    }

    /// Number of drained data centres.
    pub fn drained_count(&self) -> usize {
        self.lock().drained_count()
    }

    /// Records that this daemon is the only one of its fleet.
    pub fn set_single(&self) {
        self.lock().set_sole();
    }

    /// Sets the daemons in one part (one data centre's object) of the platform's list.
    pub fn set_daemons(&self, me: SocketAddr, part: &str, daemons: Vec<SocketAddr>) {
        self.lock().set_daemons(me, part, daemons);
    }

    /// The daemons in one part of the platform's list.
    pub fn listed_part(&self, part: &str) -> Vec<SocketAddr> {
        let view = self.lock();
        let mut parts = view.listed_daemons();
        let found = parts.find(|(name, _)| *name == part);
        found.map_or_else(Vec::new, |(_, daemons)| daemons.to_vec())
    }

    /// Returns those of `daemons` that aren't on the platform's list.
    pub fn unlisted(&self, daemons: &[SocketAddr]) -> Vec<SocketAddr> {
        self.lock().unlisted(daemons)
    }

    /// Sets the number of live daemons, including this one.
    pub fn set_live(&self, live: usize, now: Millis) {
        self.lock().set_live(live, now);
    }
}
