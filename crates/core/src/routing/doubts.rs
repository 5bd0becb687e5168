//! Instances that another process may have replaced under their ids, maybe of another software
//! version, while the platform's list still shows them.
//!
//! A process that ends closes its connections, and whoever has a request there notices. The others
//! are told, since what they list is as old. The doubt ends when an answer that had begun before goes
//! on, which shows that the process lives.

use std::collections::HashMap;

use derive_more::Debug;
use foldhash::fast::RandomState;

use super::endpoint::InstanceId;
use super::exchange::short_id;
use super::losses::OWN;
use super::reach::LOSS_WINDOW;
use super::runs::LATE_BYTES;
use crate::clock::Millis;

/// Time after a lost connection within which the endpoint may be another process under the same id
/// that isn't listed yet: endpoints list themselves when they start, and daemons collect changes of
/// the list for a second.
const DOUBT: Millis = Millis(3000);
/// Time between two sightings of one daemon that are told to the others.
const TOLD_AGAIN: Millis = Millis(500);
/// Time before a daemon withdraws what it saw in which it took its own link for the endpoints.
const WITHDRAWN: Millis = Millis(2 * LOSS_WINDOW.0);
/// Instances that are remembered at most.
const MAX_INSTANCES: usize = 4096;

/// Connections that one daemon lost.
#[derive(Clone, Copy)]
#[derive(Debug)]
struct Sighting {
    reporter: u32,
    /// When the last one was lost.
    at: Millis,
    /// When the last one was lost that was told.
    told: Millis,
}

/// Lost connections, by short ids of instances.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct Doubts {
    sightings: HashMap<u32, Vec<Sighting>, RandomState>,
}

impl Doubts {
    /// Records that a daemon lost a connection to an instance; returns whether that is to be told.
    pub fn record(&mut self, reporter: u32, instance: u32, at: Millis) -> bool {
        let is_full = self.sightings.len() >= MAX_INSTANCES;
        if is_full && !self.sightings.contains_key(&instance) {
            return true;
        }
        let sightings = self.sightings.entry(instance).or_default();
        let known = sightings.iter_mut().find(|seen| seen.reporter == reporter);
        let Some(known) = known else {
            sightings.push(Sighting {
                reporter,
                at,
                told: at,
            });
            return true;
        };
        known.at = known.at.max(at);
        let is_due = at.since(known.told) >= TOLD_AGAIN;
        if is_due {
            known.told = at;
        }
        is_due
    }

    /// Whether another process may have the instance's id.
    pub fn contain(&self, id: &InstanceId, now: Millis) -> bool {
        if self.sightings.is_empty() {
            return false;
        }
        let sightings = self.sightings.get(&short_id(id));
        sightings.is_some_and(|seen| seen.iter().any(|seen| now.since(seen.at) < DOUBT))
    }

    /// Records that an answer goes on whose head was received at `began`: the process is the one
    /// that was there before.
    pub fn record_sign(&mut self, id: &InstanceId, began: Millis, now: Millis) {
        if self.sightings.is_empty() {
            return;
        }
        let is_before = |seen: &Sighting| began < seen.at && now.since(seen.at) >= LATE_BYTES;
        self.retain_of(short_id(id), |seen| !is_before(seen));
    }

    /// Drops what this daemon itself saw of an instance.
    pub fn trust(&mut self, id: &InstanceId) {
        self.retain_of(short_id(id), |seen| seen.reporter != OWN);
    }

    /// Drops what another daemon saw just before a time: its own link was the cause.
    pub fn withdraw(&mut self, reporter: u32, at: Millis) {
        for sightings in self.sightings.values_mut() {
            sightings.retain(|seen| seen.reporter != reporter || at.since(seen.at) > WITHDRAWN);
        }
    }

    /// Forgets an instance.
    pub fn forget(&mut self, id: &InstanceId) {
        self.sightings.remove(&short_id(id));
    }

    /// Forgets sightings that are over.
    pub fn prune(&mut self, now: Millis) {
        self.sightings.retain(|_, sightings| {
            sightings.retain(|seen| now.since(seen.at) < DOUBT);
            !sightings.is_empty()
        });
    }

    fn retain_of(&mut self, instance: u32, keeps: impl Fn(&Sighting) -> bool) {
        if let Some(sightings) = self.sightings.get_mut(&instance) {
            sightings.retain(keeps);
        }
    }
}
