//! Which engines read which shared prompt parts lately, as far as this daemon saw.
//!
//! Rank alone tells where a whole prefix lies. It doesn't tell where the first
//! parts lie that many prefixes share: each engine needs those, and one that
//! lacks them can fetch them from any that has them.

use std::collections::HashMap;

use derive_more::Debug;

use crate::clock::Millis;
use crate::ids::EndpointId;

/// Age at which a place is forgotten: parts not used for this long may have been evicted.
const KEPT: Millis = Millis::from_secs(30);
/// Places remembered for one run of parts.
const PLACES: usize = 4;
/// Runs of parts remembered; at about 150 bytes each, 1.2 MB.
const RUNS: usize = 8192;

/// An engine that read some parts, and when.
#[derive(Clone)]
#[derive(Debug)]
struct Place {
    endpoint: EndpointId,
    at: Millis,
}

/// Places of runs of parts, by the runs' hashes.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct Holders {
    runs: HashMap<u64, Vec<Place>>,
}

impl Holders {
    /// Notes that an engine has read these runs of parts.
    pub fn note(&mut self, runs: &[u64], endpoint: &EndpointId, now: Millis) {
        for run in runs {
            self.note_run(*run, endpoint, now);
        }
    }

    fn note_run(&mut self, run: u64, endpoint: &EndpointId, now: Millis) {
        if self.runs.len() >= RUNS && !self.runs.contains_key(&run) {
            self.evict(now);
        }
        let places = self.runs.entry(run).or_default();
        places.retain(|place| place.endpoint != *endpoint);
        places.truncate(PLACES - 1);
        let endpoint = endpoint.clone();
        places.insert(0, Place { endpoint, at: now });
    }

    /// Whether an engine has read a run of parts lately.
    pub fn holds(&self, run: u64, endpoint: &EndpointId, now: Millis) -> bool {
        self.places(run, now).any(|id| id == endpoint)
    }

    /// Engines that read a run of parts lately, the latest first.
    pub fn places(&self, run: u64, now: Millis) -> impl Iterator<Item = &EndpointId> {
        let places = self.runs.get(&run).into_iter().flatten();
        let recent = places.filter(move |place| now.since(place.at) < KEPT);
        recent.map(|place| &place.endpoint)
    }

    /// Forgets an engine.
    pub fn forget(&mut self, endpoint: &EndpointId) {
        for places in self.runs.values_mut() {
            places.retain(|place| place.endpoint != *endpoint);
        }
        self.runs.retain(|_, places| !places.is_empty());
    }

    /// Forgets old runs, all if none is old.
    fn evict(&mut self, now: Millis) {
        let recent = |place: &Place| now.since(place.at) < KEPT;
        self.runs.retain(|_, places| places.first().is_some_and(recent));
        if self.runs.len() >= RUNS {
            self.runs.clear();
        }
    }
}
