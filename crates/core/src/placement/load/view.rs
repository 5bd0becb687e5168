//! The endpoints and mean load of one pool, as one daemon estimates them.

use std::collections::BTreeMap;

use derive_more::Debug;

use super::{Distance, EndpointLoad, EndpointState, EndpointView, Occupancy, PoolMean, PoolSum};
use crate::clock::Millis;
use crate::ids::{ChatHash, DaemonId, DataCentreId, EndpointId};
use crate::placement::rendezvous::{key_of, score};
use crate::units::Tokens;

/// Age above which received loads and sums are stale.
const STALE_AGE: Millis = Millis::from_secs(3);

/// Half-life of a stale sum's load.
const HALF_LIFE: Millis = Millis::from_secs(5);

/// Age from which a sum is ignored.
const MAX_AGE: Millis = Millis::from_secs(60);

/// Endpoints, received sums and load bound of one pool.
#[derive(Clone, PartialEq)]
#[derive(Debug)]
pub struct PoolView {
    /// Load bound of an endpoint, as a multiple of the mean.
    pub bound: f64,
    /// Endpoints, sorted by name.
    endpoints: Vec<EndpointView>,
    daemon_sums: BTreeMap<DaemonId, ReceivedSum>,
    data_centre_sums: BTreeMap<DataCentreId, ReceivedSum>,
}

/// The last sum received from a daemon or for a data centre.
#[derive(Clone, Copy, PartialEq)]
#[derive(Debug)]
struct ReceivedSum {
    sum: PoolSum,
    /// Load of the sum received before, scaled to the same number of endpoints.
    previous_load: f64,
}

impl ReceivedSum {
    /// The lower of the last two loads: sums arrive late, and too high a mean lets endpoints exceed
    /// the bound.
    fn lower_load(&self) -> f64 {
        self.previous_load.min(self.sum.load.0 as f64)
    }
}

impl PoolView {
    /// A pool without endpoints; `bound` is a multiple of the mean.
    pub fn new(bound: f64) -> Self {
        Self {
            bound,
            endpoints: Vec::new(),
            daemon_sums: BTreeMap::new(),
            data_centre_sums: BTreeMap::new(),
        }
    }

    /// Adds an endpoint or changes its distance; its state is unknown at first.
    pub fn set_endpoint(&mut self, id: &EndpointId, distance: Distance) {
        match self.find(id) {
            Ok(index) => self.endpoints[index].distance = distance,
            Err(index) => self
                .endpoints
                .insert(index, EndpointView::new(id, distance)),
        }
    }

    /// Removes an endpoint.
    pub fn remove_endpoint(&mut self, id: &EndpointId) {
        if let Ok(index) = self.find(id) {
            self.endpoints.remove(index);
        }
    }

    /// Sets whether an endpoint takes new work.
    pub fn set_state(&mut self, id: &EndpointId, state: EndpointState) {
        if let Some(endpoint) = self.get_mut(id) {
            endpoint.state = state;
        }
    }

    /// Sets the age of the prefix that an endpoint's cache evicted last.
    pub fn set_eviction_age(&mut self, id: &EndpointId, age: Option<Millis>) {
        if let Some(endpoint) = self.get_mut(id) {
            endpoint.eviction_age = age;
        }
    }

    /// Sets the load that this daemon counts at an endpoint, and marks the endpoint as its own.
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

    /// Marks an endpoint as no longer this daemon's own; the last load is kept.
    pub fn release_own(&mut self, id: &EndpointId) {
        if let Some(endpoint) = self.get_mut(id) {
            endpoint.own = false;
        }
    }

    /// Updates the load of an endpoint from its home's report; a report older than the last one is
    /// ignored.
    pub fn update_load(&mut self, load: &EndpointLoad, now: Millis) {
        let Some(endpoint) = self.get_mut(&load.endpoint) else {
            return;
        };
        let newer = endpoint.as_of.is_none_or(|known| known < load.as_of);
        if endpoint.own || !newer {
            return;
        }
        endpoint.load = load.load;
        endpoint.waiting = Tokens(0);
        endpoint.room = load.room;
        endpoint.as_of = Some(load.as_of);
        if load.as_of >= endpoint.sent_since {
            endpoint.sent_before = endpoint.sent;
            endpoint.sent = Tokens(0);
            endpoint.sent_since = now;
        }
    }

    /// Updates the sum of another daemon of this data centre; a sum older than the last one is
    /// ignored.
    pub fn update_sum(&mut self, daemon: &DaemonId, sum: PoolSum) {
        replace_older(&mut self.daemon_sums, daemon, sum);
    }

    /// Updates the sum over another data centre; a sum older than the last one is ignored.
    pub fn update_data_centre_sum(&mut self, data_centre: &DataCentreId, sum: PoolSum) {
        replace_older(&mut self.data_centre_sums, data_centre, sum);
    }

    /// The sum over this data centre, to report to others; stale sums are left out.
    pub fn data_centre_sum(&self, now: Millis) -> PoolSum {
        let fresh = |sum: &&PoolSum| now.since(sum.as_of) <= STALE_AGE;
        let sums = self
            .daemon_sums
            .values()
            .map(|received| &received.sum)
            .filter(fresh);
        sums.fold(self.own_sum(now), |all, sum| PoolSum {
            load: all.load + sum.load,
            endpoints: all.endpoints + sum.endpoints,
            as_of: all.as_of.min(sum.as_of),
        })
    }

    /// Removes the sum of a daemon.
    pub fn remove_daemon(&mut self, daemon: &DaemonId) {
        self.daemon_sums.remove(daemon);
    }

    /// Adds work sent to an endpoint of another home, until that home's report includes it.
    pub fn note_sent(&mut self, id: &EndpointId, work: Tokens) {
        if let Some(endpoint) = self.get_mut(id) {
            endpoint.sent += work;
        }
    }

    /// Subtracts work sent to an endpoint of another home that has ended.
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

    /// The endpoint of this name.
    pub fn get(&self, id: &EndpointId) -> Option<&EndpointView> {
        let index = self.find(id).ok()?;
        self.endpoints.get(index)
    }

    /// The endpoint that a chat ranks first; its home keeps the chat's directory entry.
    ///
    /// All endpoints of this region are ranked, whatever their state, so that entries of the region
    /// agree; endpoints of other regions only if this region has none.
    pub fn first_ranked(&self, chat: ChatHash) -> Option<&EndpointId> {
        let near = |endpoint: &&EndpointView| endpoint.distance != Distance::OtherRegion;
        let region = self.endpoints.iter().filter(near);
        highest_scored(region, chat).or_else(|| highest_scored(self.endpoints.iter(), chat))
    }

    /// All endpoints, ordered by their score for a chat, highest first.
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

    /// The `count` least loaded of the own endpoints that take work, to report to others.
    pub fn own_least_loaded(&self, count: usize, now: Millis) -> Vec<EndpointLoad> {
        let own = |endpoint: &&EndpointView| endpoint.own && endpoint.takes_work();
        let mut least: Vec<_> = self.endpoints.iter().filter(own).collect();
        least.sort_by_key(|endpoint| (!endpoint.room, endpoint.load + endpoint.waiting));
        least.truncate(count);
        let reported = |endpoint: &EndpointView| EndpointLoad {
            endpoint: endpoint.id.clone(),
            load: endpoint.load + endpoint.waiting,
            room: endpoint.room,
            as_of: now,
        };
        least.into_iter().map(reported).collect()
    }

    /// The mean load of the pool's endpoints; the load of stale sums decays.
    pub fn mean(&self, now: Millis) -> PoolMean {
        let own = self.own_sum(now);
        let mut load = own.load.0 as f64;
        let mut endpoints = own.endpoints;
        for received in self
            .daemon_sums
            .values()
            .chain(self.data_centre_sums.values())
        {
            let age = now.since(received.sum.as_of);
            if age < MAX_AGE {
                load += received.lower_load() * decay(age);
                endpoints += received.sum.endpoints;
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
        let index = self.find(id).ok()?;
        self.endpoints.get_mut(index)
    }
}

fn highest_scored<'a>(
    endpoints: impl Iterator<Item = &'a EndpointView>,
    chat: ChatHash,
) -> Option<&'a EndpointId> {
    let scored = endpoints.map(|endpoint| (endpoint.score(chat), endpoint));
    let best = scored.max_by(|(a, _), (b, _)| a.total_cmp(b));
    best.map(|(_, endpoint)| &endpoint.id)
}

fn replace_older<K: Ord + Clone>(sums: &mut BTreeMap<K, ReceivedSum>, from: &K, sum: PoolSum) {
    let load = sum.load.0 as f64;
    let Some(known) = sums.get_mut(from) else {
        let received = ReceivedSum {
            sum,
            previous_load: load,
        };
        sums.insert(from.clone(), received);
        return;
    };
    if known.sum.as_of < sum.as_of {
        let each = known.sum.load.0 as f64 / f64::from(known.sum.endpoints.max(1));
        known.previous_load = each * f64::from(sum.endpoints);
        known.sum = sum;
    }
}

/// Remaining part of the load of a sum of this age, from 1 down to 0.
fn decay(age: Millis) -> f64 {
    age.since(STALE_AGE).decay_factor(HALF_LIFE)
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
            sent_since: Millis::ZERO,
        }
    }

    fn score(&self, chat: ChatHash) -> f64 {
        score(chat.0, self.seed, self.weight)
    }

    /// Whether this daemon is the endpoint's home.
    pub fn is_own(&self) -> bool {
        self.own
    }

    /// Whether the endpoint is known to take work.
    pub fn takes_work(&self) -> bool {
        self.state == EndpointState::Ready
    }

    /// Whether one more request would run without queueing, as far as is known.
    pub fn has_room(&self) -> bool {
        self.room
    }

    /// Estimated work in flight and queued, in generated tokens. Where the known load is stale, the
    /// larger of the pool's mean and half of that load is used.
    pub fn estimate(&self, mean: f64, now: Millis) -> f64 {
        let sent = (self.sent + self.sent_before).0 as f64;
        let load = (self.load + self.waiting).0 as f64;
        let fresh = |as_of: Millis| now.since(as_of) <= STALE_AGE;
        if self.own {
            load
        } else if self.as_of.is_some_and(fresh) {
            load + sent
        } else {
            mean.max(load * 0.5) + sent
        }
    }
}
