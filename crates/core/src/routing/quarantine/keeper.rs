//! What of the quarantine the platform keeps, for daemons that all start anew.
//!
//! Daemons tell each other of losses and need no platform for it. Only where
//! all of them end at once is that lost. So each quarantined request is also
//! an object of the platform, written by whoever lost endpoints with it and by
//! hubs, and read by hubs once after their start. What is wanted follows from
//! what is known, step by step: a call that fails is made again, and an outage
//! only delays it.

use std::collections::HashMap;

use derive_more::Debug;

use super::evidence::{Evidence, Finding};
use super::{Change, Quarantine, SHIFT};
use crate::clock::Millis;
use crate::routing::fingerprint::Fingerprint;

/// A quarantined request as the platform keeps it.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub struct StoredRequest {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Short ids of the endpoints that were lost with it.
    pub endpoints: Vec<u32>,
    /// When the last of them was lost, since the Unix epoch.
    pub lost_at: Millis,
}

impl StoredRequest {
    /// What it says at a time since the Unix epoch.
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
    /// Read what it keeps.
    List,
    /// Have it keep a request.
    Create(Fingerprint),
    /// Have it keep that a request ended more endpoints since.
    Replace(Fingerprint),
    /// Remove a request.
    Remove(Fingerprint),
}

/// What one daemon knows of what the platform keeps.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct PlatformSync {
    has_listed: bool,
    /// Requests that are kept, and with how many losses.
    kept: HashMap<Fingerprint, usize>,
}

impl PlatformSync {
    /// What is to be done next; `is_hub` says whether this daemon stands for others.
    pub fn next_step(&self, known: &Quarantine, is_hub: bool) -> Option<Step> {
        if is_hub && !self.has_listed {
            return Some(Step::List);
        }
        let is_gone = |kept: &&Fingerprint| !known.is_suspect(**kept);
        if let Some(gone) = self.kept.keys().find(is_gone) {
            return Some(Step::Remove(*gone));
        }
        let wanted = known.held().filter(|held| is_hub || held.is_own);
        let mut steps = wanted.filter_map(|held| match self.kept.get(&held.fingerprint) {
            None => Some(Step::Create(held.fingerprint)),
            Some(kept) if *kept < held.lost => Some(Step::Replace(held.fingerprint)),
            Some(_) => None,
        });
        steps.next()
    }

    /// Notes what the platform keeps.
    pub fn listed(&mut self, kept: &[StoredRequest]) {
        self.has_listed = true;
        let counted = kept
            .iter()
            .map(|kept| (kept.fingerprint, kept.endpoints.len()));
        self.kept.extend(counted);
    }

    /// Notes that the platform keeps a request.
    pub fn written(&mut self, kept: &StoredRequest) {
        self.kept.insert(kept.fingerprint, kept.endpoints.len());
    }

    /// Notes that it doesn't any more.
    pub fn removed(&mut self, fingerprint: Fingerprint) {
        self.kept.remove(&fingerprint);
    }
}

impl Quarantine {
    /// Requests that are quarantined.
    pub fn held(&self) -> impl Iterator<Item = Change> {
        self.held.keys().map(|held| self.change(*held, true))
    }

    /// Whether an endpoint was lost with a request that wasn't served since.
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        let suspect = self.suspects.get(&fingerprint);
        suspect.is_some_and(|suspect| !suspect.lost.is_empty())
    }

    /// A quarantined request as the platform is to keep it.
    pub fn stored_request(&self, fingerprint: Fingerprint, now: Millis, wall: Millis) -> Option<StoredRequest> {
        self.held.get(&fingerprint)?;
        let suspect = self.suspects.get(&fingerprint)?;
        let age = (now + SHIFT).since(suspect.last_loss());
        let endpoints = suspect.lost.iter().filter_map(|row| row.finding.endpoint());
        Some(StoredRequest {
            fingerprint,
            endpoints: endpoints.collect(),
            lost_at: wall - age,
        })
    }
}
