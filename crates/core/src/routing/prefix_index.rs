//! Index of the endpoints that were recently sent a shared prefix.
//!
//! Rendezvous hashing alone doesn't show where a prefix is cached if a prompt
//! was sent to a lower-ranked endpoint, because of load or while the first was
//! unavailable; the next endpoint would compute the prefix again. Each daemon
//! records its own requests, and announces those that went to another endpoint
//! than rank and age indicate.

use std::collections::HashMap;

use derive_more::Debug;

use crate::clock::Millis;

/// Maximum number of endpoints recorded for one prefix: the one that had it, the one that took over
/// because of load, and one more while a hot prefix is being spread.
const MAX_LOCATIONS: usize = 3;
/// Time for which an endpoint is assumed to keep a prefix in its cache. Prefixes in use recur
/// within about 25 s; engines' caches hold several times the prompts of the last 30 s.
const RETENTION: Millis = Millis::from_secs(30);
/// Maximum number of prefixes in the index; at 40 bytes each about half a megabyte.
const MAX_PREFIXES: usize = 8192;

/// An endpoint that was sent a prefix, and when.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
struct Location {
    /// Short id of the instance.
    endpoint: u32,
    at: Millis,
}

/// Endpoints by prefix; endpoints by their short ids, prefixes by their short keys.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct PrefixIndex {
    prefixes: HashMap<u32, Vec<Location>>,
}

impl PrefixIndex {
    /// Records that an endpoint was sent a prefix; returns whether that is new.
    pub fn record(&mut self, prefix: u32, endpoint: u32, now: Millis) -> bool {
        if !self.prefixes.contains_key(&prefix) && self.prefixes.len() >= MAX_PREFIXES {
            self.evict(now);
        }
        let locations = self.prefixes.entry(prefix).or_default();
        locations.retain(|location| now.since(location.at) < RETENTION);
        if let Some(location) = locations
            .iter_mut()
            .find(|location| location.endpoint == endpoint)
        {
            location.at = now;
            return false;
        }
        if locations.len() >= MAX_LOCATIONS
            && let Some(oldest) = (0..locations.len()).min_by_key(|at| locations[*at].at)
        {
            locations.swap_remove(oldest);
        }
        locations.push(Location { endpoint, at: now });
        true
    }

    /// Removes an endpoint from a prefix that it hasn't processed.
    pub fn remove(&mut self, prefix: u32, endpoint: u32) {
        if let Some(locations) = self.prefixes.get_mut(&prefix) {
            locations.retain(|location| location.endpoint != endpoint);
        }
    }

    /// Whether the index has an entry for a prefix.
    pub fn is_known(&self, prefix: u32) -> bool {
        self.prefixes.contains_key(&prefix)
    }

    /// Short ids of the endpoints that were sent a prefix, also if that was long ago.
    pub fn locations(&self, prefix: u32) -> impl Iterator<Item = u32> {
        let locations = self.prefixes.get(&prefix).into_iter().flatten();
        locations.map(|location| location.endpoint)
    }

    /// Time since an endpoint was last sent a prefix; none if it wasn't within the retention time.
    pub fn age(&self, prefix: u32, endpoint: u32, now: Millis) -> Option<Millis> {
        let locations = self.prefixes.get(&prefix)?;
        let location = locations
            .iter()
            .find(|location| location.endpoint == endpoint)?;
        let age = now.since(location.at);
        (age < RETENTION).then_some(age)
    }

    /// Removes expired entries, or all entries if none has expired. A lost entry only means that a
    /// prefix is computed again.
    fn evict(&mut self, now: Millis) {
        let is_recent = |location: &Location| now.since(location.at) < RETENTION;
        self.prefixes
            .retain(|_, locations| locations.iter().any(is_recent));
        if self.prefixes.len() >= MAX_PREFIXES {
            self.prefixes.clear();
        }
    }
}
