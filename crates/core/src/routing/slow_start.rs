//! Slow start: limits the request rate of endpoints that have just started.
//!
//! The limit applies to all daemons together, in each second. It is divided
//! among them by rank ([`Fleet`]): with a limit of n requests a second, n
//! daemons may send one request each, the others none.

use std::collections::{HashMap, VecDeque};

use derive_more::Debug;

use crate::clock::Millis;
use crate::ids::PoolId;
use crate::routing::endpoint::InstanceId;
use crate::routing::fleet::Fleet;
use crate::routing::request::SharedPrefix;
use crate::units::Rate;

/// Time in which a daemon may send its share: a second, plus the usual difference between the
/// transmission times of two requests.
const WINDOW: Millis = Millis(1020);

/// Slow-start settings of a pool.
#[derive(Clone, Copy, PartialEq)]
#[derive(Debug)]
pub struct SlowStart {
    /// Request rate that a starting endpoint accepts from all daemons together.
    pub rate: Rate,
    /// How long the slow start lasts.
    pub duration: Millis,
}

/// What a daemon may send to an endpoint at the moment.
#[derive(Clone, Copy, PartialEq)]
#[derive(Debug)]
pub enum Allowance {
    /// All requests.
    All,
    /// Requests with this fraction of all prefixes, since its slow start ended a short time ago.
    Part(f64),
    /// A single request.
    One,
    /// Nothing.
    Nothing,
}

impl Allowance {
    /// Whether a request that could also go to another endpoint may be sent here. The few requests
    /// to a starting endpoint should fill its cache, so that only long prefixes are accepted.
    pub fn accepts(
        self,
        shared: Option<&SharedPrefix>,
        is_long: impl Fn(&SharedPrefix) -> bool,
    ) -> bool {
        match (self, shared) {
            (Self::All, _) | (Self::Part(_), None) => true,
            (Self::Part(fraction), Some(prefix)) => fraction >= position(prefix.key),
            (Self::One, Some(prefix)) => is_long(prefix),
            (Self::One, None) | (Self::Nothing, _) => false,
        }
    }

    /// Whether any request may be sent.
    pub const fn is_open(self) -> bool {
        !matches!(self, Self::Nothing)
    }
}

/// Position of a key in the range of all keys, 0 to 1.
fn position(key: u64) -> f64 {
    key as f64 / u64::MAX as f64
}

/// Endpoints in slow start, as one daemon sees them.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct SlowStarts {
    pools: HashMap<PoolId, SlowStart>,
    /// When the slow start of each endpoint ends.
    ends: HashMap<InstanceId, Millis>,
    /// When this daemon sent requests to endpoints in slow start, within the window.
    sent: HashMap<InstanceId, VecDeque<Millis>>,
    /// Cached number of requests that this daemon may send to each endpoint in a window; cleared
    /// when the list of daemons changes.
    shares: HashMap<InstanceId, usize>,
}

impl SlowStarts {
    /// Sets which pools have a slow start.
    pub fn configure(&mut self, pools: HashMap<PoolId, SlowStart>) {
        self.pools = pools;
        self.shares.clear();
    }

    /// Clears the cached shares, since the list of daemons has changed.
    pub fn clear_shares(&mut self) {
        self.shares.clear();
    }

    /// Puts an endpoint in slow start for the time `remaining`, or extends its slow start. A
    /// shorter time doesn't shorten it, since reports may be late.
    pub fn begin(&mut self, id: &InstanceId, remaining: Millis, now: Millis) {
        if remaining == Millis::ZERO {
            return;
        }
        let end = self.ends.entry(id.clone()).or_default();
        *end = (*end).max(now + remaining);
    }

    /// Puts an endpoint of a pool in slow start for the pool's complete duration.
    pub fn begin_full(&mut self, id: &InstanceId, pool: &PoolId, now: Millis) {
        if let Some(slow) = self.pools.get(pool) {
            let duration = slow.duration;
            self.begin(id, duration, now);
        }
    }

    /// Removes an endpoint.
    pub fn forget(&mut self, id: &InstanceId) {
        self.ends.remove(id);
        self.sent.remove(id);
        self.shares.remove(id);
    }

    /// Endpoints that are in slow start now.
    pub fn active(&self, now: Millis) -> impl Iterator<Item = &InstanceId> {
        let active = self.ends.iter().filter(move |(_, end)| now < **end);
        active.map(|(id, _)| id)
    }

    /// Whether requests to some endpoint of a pool may be limited.
    pub fn may_limit(&self, pool: &PoolId, fleet: &Fleet, now: Millis) -> bool {
        let is_any = !self.ends.is_empty() || fleet.is_isolated(now);
        is_any && self.pools.contains_key(pool)
    }

    /// What may be sent to an endpoint of a pool. An isolated daemon treats every endpoint as
    /// starting, since its list of endpoints may be out of date.
    pub fn allowance(
        &mut self,
        id: &InstanceId,
        pool: &PoolId,
        fleet: &Fleet,
        now: Millis,
    ) -> Allowance {
        let Some(slow) = self.pools.get(pool).copied() else {
            return Allowance::All;
        };
        let end = self.ends.get(id).copied();
        if end.is_some_and(|end| now < end) || fleet.is_isolated(now) {
            return match self.has_share_left(id, slow.rate, fleet, now) {
                true => Allowance::One,
                false => Allowance::Nothing,
            };
        }
        match end.map(|end| now.since(end)) {
            Some(elapsed) if elapsed < slow.duration => {
                Allowance::Part(elapsed.as_secs_f64() / slow.duration.as_secs_f64())
            }
            _ => Allowance::All,
        }
    }

    /// Records that a request is sent to an endpoint in slow start.
    pub fn record_sent(&mut self, id: &InstanceId, now: Millis) {
        self.sent.entry(id.clone()).or_default().push_back(now);
    }

    /// Removes records that no longer have any effect.
    pub fn prune(&mut self, now: Millis) {
        let durations = self.pools.values().map(|slow| slow.duration).max();
        let windows = self.pools.values().map(|slow| window(slow.rate)).max();
        let (duration, window) = (durations.unwrap_or_default(), windows.unwrap_or_default());
        self.ends.retain(|_, end| now < *end + duration);
        for sent in self.sent.values_mut() {
            sent.retain(|at| now.since(*at) < window);
        }
        self.sent.retain(|_, sent| !sent.is_empty());
    }

    /// Whether this daemon may still send a request within its share of an endpoint's rate.
    fn has_share_left(&mut self, id: &InstanceId, rate: Rate, fleet: &Fleet, now: Millis) -> bool {
        let window = window(rate);
        // Requests sent by an earlier process of this daemon aren't known.
        if fleet.age(now) < window {
            return false;
        }
        let sent = self.sent.get(id);
        let recent = sent.into_iter().flatten();
        let recent = recent.filter(|at| now.since(**at) < window).count();
        if let Some(share) = self.shares.get(id) {
            return recent < *share;
        }
        let share = fleet.unit_share(&id.to_string(), (rate.0 as usize).max(1));
        self.shares.insert(id.clone(), share);
        recent < share
    }
}

/// The window for a rate; longer than usual for rates below one request a second.
fn window(rate: Rate) -> Millis {
    Millis((WINDOW.0 as f64 / rate.0.min(1.0)) as u64)
}
