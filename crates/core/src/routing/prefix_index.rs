//! Which endpoints were sent a shared prefix lately.
//!
//! By rank alone a daemon can't know of prompts that were passed on for load,
//! or while their place was away: their prefix lies elsewhere, and where they
//! go next would read it again. Daemons remember their own requests, and tell
//! the others of those that went elsewhere than rank and age say.

use std::collections::HashMap;

use derive_more::Debug;

use crate::clock::Millis;

/// Endpoints that are remembered for one prefix: the one that had it, the one that took it on
/// for load, and one more while a prefix is spread.
const PLACES: usize = 3;
/// Time for which an endpoint is taken to keep a prefix. Prefixes in use return within about
/// 25 s; engines' memory holds what was read in the last half minute several times over.
const KEPT: Millis = Millis::from_secs(30);
/// Prefixes that are remembered; at 40 bytes each about half a megabyte.
const PREFIXES: usize = 8192;

/// An endpoint that was sent a prefix.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
struct Place {
    /// Short form of the instance's id.
    endpoint: u32,
    at: Millis,
}

/// Endpoints by prefix, both in their short forms.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct PrefixIndex {
    prefixes: HashMap<u32, Vec<Place>>,
}

impl PrefixIndex {
    /// Notes that an endpoint was sent a prefix; says whether that wasn't known.
    pub fn record(&mut self, prefix: u32, endpoint: u32, now: Millis) -> bool {
        if !self.prefixes.contains_key(&prefix) && self.prefixes.len() >= PREFIXES {
            self.make_room(now);
        }
        let places = self.prefixes.entry(prefix).or_default();
        places.retain(|place| now.since(place.at) < KEPT);
        if let Some(place) = places.iter_mut().find(|place| place.endpoint == endpoint) {
            place.at = now;
            return false;
        }
        if places.len() >= PLACES
            && let Some(oldest) = (0..places.len()).min_by_key(|at| places[*at].at)
        {
            places.swap_remove(oldest);
        }
        places.push(Place { endpoint, at: now });
        true
    }

    /// Takes back that an endpoint was sent a prefix: it hasn't read it.
    pub fn remove(&mut self, prefix: u32, endpoint: u32) {
        if let Some(places) = self.prefixes.get_mut(&prefix) {
            places.retain(|place| place.endpoint != endpoint);
        }
    }

    /// Whether any endpoint is known to have a prefix.
    pub fn is_known(&self, prefix: u32) -> bool {
        self.prefixes.contains_key(&prefix)
    }

    /// Time since an endpoint was sent a prefix; none if it wasn't, or long ago.
    pub fn age(&self, prefix: u32, endpoint: u32, now: Millis) -> Option<Millis> {
        let places = self.prefixes.get(&prefix)?;
        let place = places.iter().find(|place| place.endpoint == endpoint)?;
        let age = now.since(place.at);
        (age < KEPT).then_some(age)
    }

    /// Drops what is old, or all where nothing is: what is lost costs reading a prefix again.
    fn make_room(&mut self, now: Millis) {
        let is_recent = |place: &Place| now.since(place.at) < KEPT;
        self.prefixes
            .retain(|_, places| places.iter().any(is_recent));
        if self.prefixes.len() >= PREFIXES {
            self.prefixes.clear();
        }
    }
}
