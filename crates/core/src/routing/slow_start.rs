//! Slow start: endpoints that bear few requests a second for a while.
//!
//! The rate that such an endpoint bears holds for the whole fleet, within each
//! second. Its units are dealt to the daemons by rank ([`Fleet`]): as many
//! daemons as the endpoint bears requests a second may send it one each, the
//! others none.

use std::collections::{HashMap, VecDeque};

use derive_more::Debug;

use crate::clock::Millis;
use crate::ids::PoolId;
use crate::routing::endpoint::InstanceId;
use crate::routing::fleet::Fleet;
use crate::routing::request::SharedPrefix;
use crate::units::Rate;

/// Time in which a daemon sends its share: a second, and what the ways of two requests usually
/// differ by.
const WINDOW: Millis = Millis(1020);

/// How endpoints of a pool are spared.
#[derive(Clone, Copy, PartialEq)]
#[derive(Debug)]
pub struct SlowStart {
    /// Requests that a starting endpoint bears from the whole fleet.
    pub rate: Rate,
    /// How long it is spared after a start.
    pub duration: Millis,
}

/// What a daemon may send to an endpoint now.
#[derive(Clone, Copy, PartialEq)]
#[derive(Debug)]
pub enum Allowance {
    /// Anything.
    All,
    /// This part of all prefixes, since it has started a short time ago.
    Part(f64),
    /// One request.
    One,
    /// Nothing.
    Nothing,
}

impl Allowance {
    /// Whether a request may be sent that could go elsewhere as well. What a starting endpoint is
    /// given should fill its cache; short prompts go elsewhere.
    pub fn accepts(
        self,
        shared: Option<&SharedPrefix>,
        is_long: impl Fn(&SharedPrefix) -> bool,
    ) -> bool {
        match (self, shared) {
            (Self::All, _) | (Self::Part(_), None) => true,
            (Self::Part(part), Some(prefix)) => part >= fraction(prefix.key),
            (Self::One, Some(prefix)) => is_long(prefix),
            (Self::One, None) | (Self::Nothing, _) => false,
        }
    }

    /// Whether a request may be sent at all.
    pub const fn is_open(self) -> bool {
        !matches!(self, Self::Nothing)
    }
}

/// A key's place among all keys, 0 to 1.
fn fraction(key: u64) -> f64 {
    key as f64 / u64::MAX as f64
}

/// Endpoints that are spared, as one daemon sees it.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct SlowStarts {
    pools: HashMap<PoolId, SlowStart>,
    /// Until when each endpoint is spared.
    spared: HashMap<InstanceId, Millis>,
    /// When this daemon sent to endpoints that were spared, within the window.
    sent: HashMap<InstanceId, VecDeque<Millis>>,
    /// Requests that this daemon may send to each endpoint in a window, as far as they were
    /// reckoned since the list of daemons changed.
    shares: HashMap<InstanceId, usize>,
}

impl SlowStarts {
    /// Sets which pools have a slow start.
    pub fn configure(&mut self, pools: HashMap<PoolId, SlowStart>) {
        self.pools = pools;
        self.shares.clear();
    }

    /// Notes that the list of daemons has changed.
    pub fn clear_shares(&mut self) {
        self.shares.clear();
    }

    /// Spares an endpoint for some time. What was known of a longer time stays, since word of it
    /// may be late.
    pub fn begin(&mut self, id: &InstanceId, left: Millis, now: Millis) {
        if left == Millis::ZERO {
            return;
        }
        let until = self.spared.entry(id.clone()).or_default();
        *until = (*until).max(now + left);
    }

    /// Spares an endpoint of a pool for as long as after a start.
    pub fn begin_full(&mut self, id: &InstanceId, pool: &PoolId, now: Millis) {
        if let Some(slow) = self.pools.get(pool) {
            let span = slow.duration;
            self.begin(id, span, now);
        }
    }

    /// Forgets an endpoint.
    pub fn forget(&mut self, id: &InstanceId) {
        self.spared.remove(id);
        self.sent.remove(id);
        self.shares.remove(id);
    }

    /// Endpoints that are spared now.
    pub fn active(&self, now: Millis) -> impl Iterator<Item = &InstanceId> {
        let spared = self.spared.iter().filter(move |(_, until)| now < **until);
        spared.map(|(id, _)| id)
    }

    /// Whether there may be an endpoint of a pool to which not all may be sent.
    pub fn may_limit(&self, pool: &PoolId, fleet: &Fleet, now: Millis) -> bool {
        let is_any = !self.spared.is_empty() || fleet.is_isolated(now);
        is_any && self.pools.contains_key(pool)
    }

    /// What may be sent to an endpoint of a pool. A daemon that is alone takes each as starting,
    /// since its list of endpoints may be out of date.
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
        let until = self.spared.get(id).copied();
        if until.is_some_and(|until| now < until) || fleet.is_isolated(now) {
            return match self.has_left(id, slow.rate, fleet, now) {
                true => Allowance::One,
                false => Allowance::Nothing,
            };
        }
        match until.map(|until| now.since(until)) {
            Some(warm) if warm < slow.duration => {
                Allowance::Part(warm.as_secs_f64() / slow.duration.as_secs_f64())
            }
            _ => Allowance::All,
        }
    }

    /// Notes that a request is sent to an endpoint that is spared.
    pub fn record_sent(&mut self, id: &InstanceId, now: Millis) {
        self.sent.entry(id.clone()).or_default().push_back(now);
    }

    /// Drops what has no effect any more.
    pub fn prune(&mut self, now: Millis) {
        let spans = self.pools.values().map(|slow| slow.duration).max();
        let windows = self.pools.values().map(|slow| window(slow.rate)).max();
        let (span, window) = (spans.unwrap_or_default(), windows.unwrap_or_default());
        self.spared.retain(|_, until| now < *until + span);
        for sent in self.sent.values_mut() {
            sent.retain(|at| now.since(*at) < window);
        }
        self.sent.retain(|_, sent| !sent.is_empty());
    }

    /// Whether this daemon's share of an endpoint's rate isn't used up.
    fn has_left(&mut self, id: &InstanceId, rate: Rate, fleet: &Fleet, now: Millis) -> bool {
        let window = window(rate);
        // What an earlier process of this daemon has sent isn't known.
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

/// The time in which a share is sent; longer where an endpoint bears less than one a second.
fn window(rate: Rate) -> Millis {
    Millis((WINDOW.0 as f64 / rate.0.min(1.0)) as u64)
}
