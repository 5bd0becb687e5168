//! Endpoints that fail if they have to turn many requests away.
//!
//! A brittle endpoint says in its responses how many requests it may turn away
//! in a second, counted over all daemons. Each daemon has a share of them in
//! whole requests, by the platform's list of daemons, so that the limit holds
//! also for daemons that hear nothing of each other. Daemons don't fill the
//! endpoints of such a pool beyond their slots, and leave an endpoint alone that
//! has turned away their share. Those without a share fill it only to a half, and
//! stay away after one rejection for as long as all daemons take turns. What one
//! daemon learns of a pool it tells the others ([`BrittlePools`]), since those that
//! send little would learn late.

use std::collections::{HashMap, VecDeque};

use derive_more::Debug;
use foldhash::fast::RandomState;

use crate::clock::Millis;
use crate::ids::PoolId;
use crate::routing::endpoint::{Endpoint, InstanceId};
use crate::routing::exchange::{BrittlePools, pool_key};
use crate::routing::fleet::Fleet;

/// Time for which a pool counts as brittle after a response that says so; all its responses do.
const LIMIT_SPAN: Millis = Millis(3000);
/// Time in which endpoints count the requests that they turn away.
const WINDOW: Millis = Millis(1000);
/// Time for which rejections are remembered.
const REJECTED_SPAN: Millis = Millis::from_secs(60);
/// Slots of an endpoint that are left free for requests that other daemons send at the same time:
/// one, and one for each so many.
const SLOTS_PER_SPARE: f64 = 16.0;
/// Share of the slots up to which daemons without a share of the rejections fill an endpoint.
const CAREFUL_FILL: f64 = 0.5;

/// A pool's limit on requests that an endpoint turns away in a second.
#[derive(Clone, Copy, Default)]
#[derive(Debug)]
struct Limit {
    rejections: u32,
    until: Millis,
    /// Until when this daemon knows it of its own.
    own_until: Millis,
}

/// The brittle pools, and requests that their endpoints turned away.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct Brittle {
    /// By the short forms of the pools' ids.
    limits: HashMap<u32, Limit, RandomState>,
    /// Times of this daemon's requests that an endpoint turned away, as long as they count.
    rejected: HashMap<InstanceId, VecDeque<Millis>, RandomState>,
    /// This daemon's shares of the rejections, cached until the next [`Self::prune`].
    shares: HashMap<InstanceId, usize, RandomState>,
}

impl Brittle {
    /// Records that a response says that its endpoint is brittle.
    pub fn record_limit(&mut self, pool: &PoolId, rejections: u32, now: Millis) {
        let limit = self.limits.entry(pool_key(pool)).or_default();
        limit.rejections = rejections;
        limit.until = now + LIMIT_SPAN;
        limit.own_until = limit.until;
    }

    /// Records that an endpoint turned a request away, if its pool is brittle.
    pub fn record_rejection(&mut self, endpoint: &Endpoint, now: Millis) {
        if self.limit(&endpoint.pool, now).is_some() {
            let times = self.rejected.entry(endpoint.id.clone()).or_default();
            times.push_back(now);
        }
    }

    /// Applies what other daemons tell.
    pub fn merge(&mut self, brittle: &BrittlePools, now: Millis) {
        for (pool, rejections, left) in brittle.pools() {
            let limit = self.limits.entry(pool).or_default();
            limit.rejections = rejections;
            limit.until = limit.until.max(now + left.min(LIMIT_SPAN));
        }
    }

    /// What this daemon observed itself, for the others.
    pub fn observed(&self, now: Millis) -> BrittlePools {
        let mut brittle = BrittlePools::default();
        for (pool, limit) in &self.limits {
            brittle.add(*pool, limit.rejections, limit.own_until.since(now));
        }
        brittle
    }

    /// How many requests an endpoint of a pool may turn away in a second; `None` if any number.
    pub fn limit(&self, pool: &PoolId, now: Millis) -> Option<u32> {
        if self.limits.is_empty() {
            return None;
        }
        let limit = self.limits.get(&pool_key(pool));
        let limit = limit.filter(|limit| now < limit.until);
        limit.map(|limit| limit.rejections)
    }

    /// Whether an endpoint with a load may be sent a request: there should be room for it, and if
    /// there isn't, this daemon's share of the rejections must not be used up.
    pub fn accepts(&mut self, endpoint: &Endpoint, load: f64, fleet: &Fleet, now: Millis) -> bool {
        let Some(rejections) = self.limit(&endpoint.pool, now) else {
            return true;
        };
        let share = self.share(&endpoint.id, rejections, fleet);
        let slots = f64::from(endpoint.slots);
        let (room, window) = match share {
            0 => (slots * CAREFUL_FILL, turn(rejections, fleet)),
            _ => (slots - (slots / SLOTS_PER_SPARE).floor() - 1.0, WINDOW),
        };
        let recent = self.recent(&endpoint.id, window, now);
        load + 1.0 <= room.max(1.0) && recent < share.max(1)
    }

    /// This daemon's share of the requests that an endpoint may turn away in a second.
    fn share(&mut self, id: &InstanceId, rejections: u32, fleet: &Fleet) -> usize {
        let share = || fleet.unit_share(id.endpoint.as_str(), rejections as usize);
        *self.shares.entry(id.clone()).or_insert_with(share)
    }

    /// This daemon's requests that an endpoint turned away within a time.
    fn recent(&self, id: &InstanceId, window: Millis, now: Millis) -> usize {
        let times = self.rejected.get(id).into_iter().flatten();
        times.filter(|at| now.since(**at) < window).count()
    }

    /// Forgets what is over.
    pub fn prune(&mut self, now: Millis) {
        self.shares.clear();
        self.limits.retain(|_, limit| now < limit.until);
        self.rejected.retain(|_, times| {
            times.retain(|at| now.since(*at) < REJECTED_SPAN);
            !times.is_empty()
        });
    }
}

/// Time in which all daemons can have one request each turned away by an endpoint.
fn turn(rejections: u32, fleet: &Fleet) -> Millis {
    let daemons = fleet.size().max(1) as u64;
    Millis(WINDOW.0 * daemons / u64::from(rejections.max(1))).max(WINDOW)
}
