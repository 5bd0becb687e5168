//! Persists quarantined requests in the platform's store.
//!
//! Daemons exchange losses among themselves and don't need the platform for
//! that. The quarantine is lost only if all of them stop at once. So each
//! quarantined request is also stored as an object of the platform. It is
//! written by the daemons that lost endpoints with it and by hubs; hubs read
//! the stored requests once after their start. Each step is derived from the
//! difference between the quarantine and the store: a failed call is made
//! again, and an outage only delays it.

use std::collections::{BTreeSet, HashMap};

use derive_more::Debug;

use super::evidence::{Evidence, Finding};
use super::{CLOCK_OFFSET, Change, Quarantine};
use crate::clock::Millis;
use crate::routing::fingerprint::Fingerprint;

/// A quarantined request as stored by the platform.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub struct StoredRequest {
    /// Identifies the request.
    pub fingerprint: Fingerprint,
    /// Short ids of the endpoints that were lost with it.
    pub endpoints: Vec<u32>,
    /// When the last of them was lost, since the Unix epoch.
    pub lost_at: Millis,
}

impl StoredRequest {
    /// Its losses as evidence; `wall` is the current time since the Unix epoch.
    pub fn evidence(&self, wall: Millis) -> impl Iterator<Item = Evidence> {
        let age = wall.since(self.lost_at);
        let endpoints = self.endpoints.iter();
        endpoints.map(move |endpoint| Evidence {
            fingerprint: self.fingerprint,
            finding: Finding::Lost(*endpoint),
            age,
        })
    }
}

/// The next call to the platform.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub enum Step {
    /// Read all stored requests.
    List,
    /// Store a request.
    Create(Fingerprint),
    /// Update a stored request that has lost further endpoints.
    Replace(Fingerprint),
    /// Remove a stored request.
    Remove(Fingerprint),
}

/// What one daemon knows of the requests stored by the platform.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct PlatformSync {
    has_listed: bool,
    /// Stored requests and their numbers of losses.
    stored: HashMap<Fingerprint, usize>,
}

impl PlatformSync {
    /// The next call to make, if any; hubs also store what other daemons lost.
    pub fn next_step(&self, known: &Quarantine, is_hub: bool) -> Option<Step> {
        if is_hub && !self.has_listed {
            return Some(Step::List);
        }
        let is_obsolete = |stored: &&Fingerprint| !known.is_suspect(**stored);
        if let Some(obsolete) = self.stored.keys().find(is_obsolete) {
            return Some(Step::Remove(*obsolete));
        }
        let wanted = known.quarantined().filter(|change| is_hub || change.is_own);
        let mut steps = wanted.filter_map(|change| match self.stored.get(&change.fingerprint) {
            None => Some(Step::Create(change.fingerprint)),
            Some(losses) if *losses < change.lost => Some(Step::Replace(change.fingerprint)),
            Some(_) => None,
        });
        steps.next()
    }

    /// Records the requests that the platform has stored.
    pub fn listed(&mut self, stored: &[StoredRequest]) {
        self.has_listed = true;
        let counted = stored
            .iter()
            .map(|request| (request.fingerprint, request.endpoints.len()));
        self.stored.extend(counted);
    }

    /// Records that a request was stored.
    pub fn written(&mut self, request: &StoredRequest) {
        self.stored
            .insert(request.fingerprint, request.endpoints.len());
    }

    /// Records that a stored request was removed.
    pub fn removed(&mut self, fingerprint: Fingerprint) {
        self.stored.remove(&fingerprint);
    }
}

impl Quarantine {
    /// Quarantined causes.
    pub fn quarantined(&self) -> impl Iterator<Item = Change> {
        let causes: BTreeSet<Fingerprint> = self
            .holds
            .iter()
            .flat_map(|hold| &hold.causes)
            .copied()
            .collect();
        causes.into_iter().map(|cause| self.change(cause, true))
    }

    /// Whether there is a loss against a request that no complete response has cleared.
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        let suspect = self.suspects.get(&fingerprint);
        suspect.is_some_and(|suspect| !suspect.lost.is_empty())
    }

    /// A quarantined request in its stored form; `wall` is the current time since the Unix epoch.
    pub fn stored_request(
        &self,
        fingerprint: Fingerprint,
        now: Millis,
        wall: Millis,
    ) -> Option<StoredRequest> {
        let mut held = self.holds.iter().flat_map(|hold| &hold.causes);
        held.find(|cause| **cause == fingerprint)?;
        let suspect = self.suspects.get(&fingerprint)?;
        let age = (now + CLOCK_OFFSET).since(suspect.last_loss());
        let endpoints = suspect
            .lost
            .iter()
            .filter_map(|loss| loss.finding.endpoint());
        Some(StoredRequest {
            fingerprint,
            endpoints: endpoints.collect(),
            lost_at: wall - age,
        })
    }
}
