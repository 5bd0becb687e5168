//! One pool as a daemon knows it.

use std::collections::BTreeMap;

use derive_more::Debug;

use super::{Distance, EndpointLoad, EndpointState, EndpointView, Occupancy, PoolMean, PoolSum};
use crate::clock::Millis;
use crate::ids::{ChatHash, DaemonId, DataCentreId, EndpointId};
use crate::placement::rendezvous::{key_of, score};
use crate::units::Tokens;

/// Age from which what was heard is stale.
const STALE: Millis = Millis::from_secs(3);

/// Time in which a stale sum fades to half.
const FADE: Millis = Millis::from_secs(5);

/// Age at which a sum no longer counts at all.
const FORGET: Millis = Millis::from_secs(60);

/// Endpoints, sums and bound of one pool.
#[derive(Clone, PartialEq)]
#[derive(Debug)]
pub struct PoolView {
    /// Largest load as a multiple of the mean.
    pub bound: f64,
    /// Sorted by name.
    endpoints: Vec<EndpointView>,
    sums: BTreeMap<DaemonId, Heard>,
    centres: BTreeMap<DataCentreId, Heard>,
}

/// A sum as heard.
#[derive(Clone, Copy, PartialEq)]
#[derive(Debug)]
struct Heard {
    sum: PoolSum,
    /// The sum heard before, scaled to as many endpoints.
    before: f64,
}

impl Heard {
    /// The lower of the last two: sums are late, and a mean taken too high lets endpoints go over the bound.
    fn low(&self) -> f64 {
        self.before.min(self.sum.load.0 as f64)
    }
}

impl PoolView {
    /// A pool without endpoints, and the multiple of its mean that is its bound.
    pub fn new(bound: f64) -> Self {
        Self {
            bound,
            endpoints: Vec::new(),
            sums: BTreeMap::new(),
            centres: BTreeMap::new(),
        }
    }

    /// Adds an endpoint or changes its distance; its state is unknown at first.
    pub fn set_endpoint(&mut self, id: &EndpointId, distance: Distance) {
        match self.find(id) {
            Ok(at) => self.endpoints[at].distance = distance,
            Err(at) => self.endpoints.insert(at, EndpointView::new(id, distance)),
        }
    }

    /// Removes an endpoint.
    pub fn remove_endpoint(&mut self, id: &EndpointId) {
        if let Ok(at) = self.find(id) {
            self.endpoints.remove(at);
        }
    }

    /// Sets whether an endpoint takes new work.
    pub fn set_state(&mut self, id: &EndpointId, state: EndpointState) {
        if let Some(endpoint) = self.get_mut(id) {
            endpoint.state = state;
        }
    }

    /// Sets the age of what an endpoint's cache evicted last.
    pub fn set_eviction_age(&mut self, id: &EndpointId, age: Option<Millis>) {
        if let Some(endpoint) = self.get_mut(id) {
            endpoint.eviction_age = age;
        }
    }

    /// Sets what this daemon counts at an endpoint that it is home of.
    pub fn set_own_load(&mut self, id: &EndpointId, counted: Occupancy, now: Millis) {
        if let Some(endpoint) = self.get_mut(id) {
            endpoint.own = true;
            endpoint.load = counted.load;
            endpoint.waiting = counted.waiting;
            endpoint.room = counted.room;
            endpoint.as_of = Some(now);
            endpoint.sent = Tokens(0);
            endpoint.sent_before = Tokens(0);
        }
    }

    /// This daemon is no longer the endpoint's home; the load stays as last heard.
    pub fn release_own(&mut self, id: &EndpointId) {
        if let Some(endpoint) = self.get_mut(id) {
            endpoint.own = false;
        }
    }

    /// Takes in another home's word on an endpoint; older word than the present is ignored.
    pub fn update_load(&mut self, heard: &EndpointLoad, now: Millis) {
        let Some(endpoint) = self.get_mut(&heard.endpoint) else {
            return;
        };
        let newer = endpoint.as_of.is_none_or(|known| known < heard.as_of);
        if endpoint.own || !newer {
            return;
        }
        endpoint.load = heard.load;
        endpoint.waiting = Tokens(0);
        endpoint.room = heard.room;
        endpoint.as_of = Some(heard.as_of);
        if heard.as_of >= endpoint.mark {
            endpoint.sent_before = endpoint.sent;
            endpoint.sent = Tokens(0);
            endpoint.mark = now;
        }
    }

    /// Takes in the sum of another daemon of the own data centre; older word than the present is ignored.
    pub fn update_sum(&mut self, daemon: &DaemonId, sum: PoolSum) {
        hear(&mut self.sums, daemon, sum);
    }

    /// Takes in the sum over another data centre; older word than the present is ignored.
    pub fn update_data_centre_sum(&mut self, centre: &DataCentreId, sum: PoolSum) {
        hear(&mut self.centres, centre, sum);
    }

    /// The sum over the own data centre, to tell others; what is stale is left out.
    pub fn data_centre_sum(&self, now: Millis) -> PoolSum {
        let fresh = |sum: &&PoolSum| now.since(sum.as_of) <= STALE;
        let sums = self.sums.values().map(|heard| &heard.sum).filter(fresh);
        sums.fold(self.own_sum(now), |all, sum| PoolSum {
            load: all.load + sum.load,
            endpoints: all.endpoints + sum.endpoints,
            as_of: all.as_of.min(sum.as_of),
        })
    }

    /// Forgets a daemon that is gone.
    pub fn remove_daemon(&mut self, daemon: &DaemonId) {
        self.sums.remove(daemon);
    }

    /// Notes work sent to an endpoint of another home, until that home's word includes it.
    pub fn note_sent(&mut self, id: &EndpointId, work: Tokens) {
        if let Some(endpoint) = self.get_mut(id) {
            endpoint.sent += work;
        }
    }

    /// Notes that work sent to an endpoint of another home has ended there.
    pub fn note_done(&mut self, id: &EndpointId, work: Tokens) {
        let Some(endpoint) = self.get_mut(id).filter(|endpoint| !endpoint.own) else {
            return;
        };
        let mut left = work.0;
        for part in [
            &mut endpoint.sent,
            &mut endpoint.sent_before,
            &mut endpoint.load,
        ] {
            let taken = left.min(part.0);
            part.0 -= taken;
            left -= taken;
        }
    }

    /// All endpoints, sorted by name.
    pub fn endpoints(&self) -> &[EndpointView] {
        &self.endpoints
    }

    /// One endpoint.
    pub fn get(&self, id: &EndpointId) -> Option<&EndpointView> {
        let at = self.find(id).ok()?;
        self.endpoints.get(at)
    }

    /// The endpoint that a chat ranks first; its home keeps the chat's directory entry.
    ///
    /// All endpoints of the region count, whatever their state, so that its entries agree; those of other regions
    /// only if it has none.
    pub fn first_ranked(&self, chat: ChatHash) -> Option<&EndpointId> {
        let near = |endpoint: &&EndpointView| endpoint.distance != Distance::OtherRegion;
        let region = self.endpoints.iter().filter(near);
        best_of(region, chat).or_else(|| best_of(self.endpoints.iter(), chat))
    }

    /// Endpoints in the order in which a chat ranks them.
    pub fn rank(&self, chat: ChatHash) -> Vec<&EndpointId> {
        let mut all: Vec<_> = self.endpoints.iter().collect();
        all.sort_by(|a, b| b.score(chat).total_cmp(&a.score(chat)));
        all.into_iter().map(|endpoint| &endpoint.id).collect()
    }

    /// This daemon's sum over the endpoints that it is home of and that take work.
    pub fn own_sum(&self, now: Millis) -> PoolSum {
        let own = |endpoint: &&EndpointView| endpoint.own && endpoint.takes_work();
        let zero = PoolSum {
            as_of: now,
            ..PoolSum::default()
        };
        self.endpoints
            .iter()
            .filter(own)
            .fold(zero, |sum, endpoint| PoolSum {
                load: sum.load + endpoint.load,
                endpoints: sum.endpoints + 1,
                ..sum
            })
    }

    /// The `count` least loaded of the own endpoints that take work, to tell others.
    pub fn own_least_loaded(&self, count: usize, now: Millis) -> Vec<EndpointLoad> {
        let own = |endpoint: &&EndpointView| endpoint.own && endpoint.takes_work();
        let mut least: Vec<_> = self.endpoints.iter().filter(own).collect();
        least.sort_by_key(|endpoint| (!endpoint.room, endpoint.load + endpoint.waiting));
        least.truncate(count);
        let told = |endpoint: &EndpointView| EndpointLoad {
            endpoint: endpoint.id.clone(),
            load: endpoint.load + endpoint.waiting,
            room: endpoint.room,
            as_of: now,
        };
        least.into_iter().map(told).collect()
    }

    /// The mean load of the pool's endpoints, with stale sums faded.
    pub fn mean(&self, now: Millis) -> PoolMean {
        let own = self.own_sum(now);
        let mut load = own.load.0 as f64;
        let mut endpoints = own.endpoints;
        for heard in self.sums.values().chain(self.centres.values()) {
            let age = now.since(heard.sum.as_of);
            if age < FORGET {
                load += heard.low() * fading(age);
                endpoints += heard.sum.endpoints;
            }
        }
        PoolMean {
            load: load / f64::from(endpoints.max(1)),
            endpoints,
        }
    }

    fn find(&self, id: &EndpointId) -> Result<usize, usize> {
        self.endpoints
            .binary_search_by(|endpoint| endpoint.id.cmp(id))
    }

    fn get_mut(&mut self, id: &EndpointId) -> Option<&mut EndpointView> {
        let at = self.find(id).ok()?;
        self.endpoints.get_mut(at)
    }
}

fn best_of<'a>(
    endpoints: impl Iterator<Item = &'a EndpointView>,
    chat: ChatHash,
) -> Option<&'a EndpointId> {
    let scored = endpoints.map(|endpoint| (endpoint.score(chat), endpoint));
    let best = scored.max_by(|(a, _), (b, _)| a.total_cmp(b));
    best.map(|(_, endpoint)| &endpoint.id)
}

fn hear<K: Ord + Clone>(sums: &mut BTreeMap<K, Heard>, from: &K, sum: PoolSum) {
    let load = sum.load.0 as f64;
    let Some(known) = sums.get_mut(from) else {
        let heard = Heard { sum, before: load };
        sums.insert(from.clone(), heard);
        return;
    };
    if known.sum.as_of < sum.as_of {
        let each = known.sum.load.0 as f64 / f64::from(known.sum.endpoints.max(1));
        known.before = each * f64::from(sum.endpoints);
        known.sum = sum;
    }
}

/// What is left of a sum of this age, from 1 down to 0.
fn fading(age: Millis) -> f64 {
    age.since(STALE).fading(FADE)
}

impl EndpointView {
    fn new(id: &EndpointId, distance: Distance) -> Self {
        Self {
            id: id.clone(),
            distance,
            state: EndpointState::Unknown,
            eviction_age: None,
            weight: 1.0,
            seed: key_of(id.as_str()),
            own: false,
            load: Tokens(0),
            waiting: Tokens(0),
            room: true,
            as_of: None,
            sent: Tokens(0),
            sent_before: Tokens(0),
            mark: Millis::ZERO,
        }
    }

    fn score(&self, chat: ChatHash) -> f64 {
        score(chat.0, self.seed, self.weight)
    }

    /// Whether this daemon is its home.
    pub fn is_own(&self) -> bool {
        self.own
    }

    /// Whether it takes work for certain.
    pub fn takes_work(&self) -> bool {
        self.state == EndpointState::Ready
    }

    /// Whether one more request would run at once, as far as is known.
    pub fn has_room(&self) -> bool {
        self.room
    }

    /// Its work in flight and waiting in tokens, given the pool's mean; the mean stands in where nothing fresh is known.
    pub fn estimate(&self, mean: f64, now: Millis) -> f64 {
        let sent = (self.sent + self.sent_before).0 as f64;
        let load = (self.load + self.waiting).0 as f64;
        let fresh = |as_of: Millis| now.since(as_of) <= STALE;
        if self.own {
            load
        } else if self.as_of.is_some_and(fresh) {
            load + sent
        } else {
            mean.max(load * 0.5) + sent
        }
    }
}
