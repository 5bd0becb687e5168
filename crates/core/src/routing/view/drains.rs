//! Data centres that are drained, and endpoints that are spared after a start.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use derive_more::Debug;

use super::View;
use crate::clock::Millis;
use crate::ids::{DataCentreId, PoolId};
use crate::routing::endpoint::{Endpoint, InstanceId};
use crate::routing::slow_start::{Allowance, SlowStart};

/// What the drain of a data centre takes from its pools.
#[derive(Clone, PartialEq)]
#[derive(Debug)]
pub struct Drain {
    /// Endpoints there.
    pub endpoints: usize,
    /// Pools that have no endpoint left which takes new work.
    pub emptied: Vec<PoolId>,
    /// Requests in flight at endpoints of the pools that lost some, over the slots that are left
    /// there.
    pub busy: f64,
}

/// Endpoints that are spared from now on, or no more.
#[derive(Clone, PartialEq, Eq, Default)]
#[derive(Debug)]
pub struct Spared {
    /// From now on.
    pub begins: Vec<InstanceId>,
    /// No more.
    pub ends: Vec<InstanceId>,
}

impl View {
    /// Gives endpoints of a data centre no new work; says what that takes, if it is news.
    pub fn drain(&mut self, data_centre: DataCentreId, now: Millis) -> Option<Drain> {
        if !self.drained.insert(data_centre.clone()) {
            return None;
        }
        Some(self.effect(&data_centre, now))
    }

    /// Ends the drain of a data centre; says whether there was one. Its endpoints may have started
    /// meanwhile.
    pub fn restore(&mut self, data_centre: &DataCentreId, now: Millis) -> bool {
        if !self.drained.remove(data_centre) {
            return false;
        }
        let there = |endpoint: &&Arc<Endpoint>| endpoint.data_centre == *data_centre;
        for endpoint in self.directory.all().filter(there) {
            self.slow_starts.presume(&endpoint.id, &endpoint.pool, now);
        }
        true
    }

    /// Data centres that are drained.
    pub fn drains(&self) -> usize {
        self.drained.len()
    }

    /// Sets which pools have a slow start.
    pub fn configure(&mut self, pools: HashMap<PoolId, SlowStart>) {
        self.slow_starts.configure(pools);
    }

    /// Whether any pool has a slow start.
    pub fn has_slow_starts(&self) -> bool {
        self.slow_starts.is_needed()
    }

    /// Sets the daemons that a part of the platform's list names; all on the list share the rate of
    /// endpoints that are spared.
    pub fn deal(&mut self, me: SocketAddr, part: &str, daemons: Vec<SocketAddr>) {
        self.slow_starts.deal(me, part, daemons);
    }

    /// Those of some daemons that the platform doesn't list.
    pub fn unlisted(&self, daemons: &[SocketAddr]) -> Vec<SocketAddr> {
        let mut unlisted = daemons.to_vec();
        unlisted.retain(|daemon| !self.slow_starts.is_listed(daemon));
        unlisted
    }

    /// Notes how many daemons live, this one included.
    pub fn hear(&mut self, live: usize, now: Millis) {
        self.slow_starts.hear(live, now);
    }

    /// Spares a listed endpoint for the time that it or its entry tells.
    pub fn spare(&mut self, id: &InstanceId, left: Millis, now: Millis) {
        if self.directory.is_listed(id) {
            self.slow_starts.spare(id, left, now);
        }
    }

    /// Endpoints whose sparing began or ended since this was last asked.
    pub fn review_spared(&mut self, now: Millis) -> Spared {
        self.slow_starts.tidy(now);
        let spared: HashSet<InstanceId> = self.slow_starts.spared(now).cloned().collect();
        let changes = Spared {
            begins: spared.difference(&self.spared).cloned().collect(),
            ends: self.spared.difference(&spared).cloned().collect(),
        };
        self.spared = spared;
        changes
    }

    /// Endpoints that are spared, as of the last review.
    pub fn spared(&self) -> usize {
        self.spared.len()
    }

    /// Spares an endpoint that may have started again.
    pub(super) fn presume_started(&mut self, id: &InstanceId, now: Millis) {
        if let Some(endpoint) = self.directory.get(id) {
            let pool = endpoint.pool.clone();
            self.slow_starts.presume(id, &pool, now);
        }
    }

    pub(super) fn is_drained(&self, endpoint: &Endpoint) -> bool {
        self.drained.contains(&endpoint.data_centre)
    }

    /// What may be sent to each endpoint of a pool, in their order.
    pub(super) fn allowances(&mut self, pool: &PoolId, now: Millis) -> Vec<Allowance> {
        let listed = self.directory.pool(pool).iter();
        let slow_starts = &mut self.slow_starts;
        if !slow_starts.limits(pool, now) {
            return vec![Allowance::All; listed.len()];
        }
        let allowance = |endpoint: &Arc<Endpoint>| slow_starts.allowance(&endpoint.id, pool, now);
        listed.map(allowance).collect()
    }

    fn effect(&self, data_centre: &DataCentreId, now: Millis) -> Drain {
        let mut effect = Drain {
            endpoints: 0,
            emptied: Vec::new(),
            busy: 0.0,
        };
        for pool in self.directory.pools() {
            let lost = pool.iter().filter(|e| e.data_centre == *data_centre);
            let lost = lost.count();
            effect.endpoints += lost;
            let left = pool.iter().filter(|e| !e.leaving && !self.is_drained(e));
            let slots: u32 = left.map(|endpoint| endpoint.slots).sum();
            match pool.first() {
                Some(first) if lost > 0 && slots == 0 => effect.emptied.push(first.pool.clone()),
                Some(_) if lost > 0 => {
                    let load: f64 = pool.iter().map(|e| self.loads.total(&e.id, now)).sum();
                    effect.busy = effect.busy.max(load / f64::from(slots));
                }
                _ => {}
            }
        }
        effect
    }
}
