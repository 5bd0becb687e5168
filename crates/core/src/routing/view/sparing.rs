//! Endpoints that are spared after a start.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use derive_more::Debug;

use super::View;
use crate::clock::Millis;
use crate::ids::PoolId;
use crate::routing::endpoint::{Endpoint, InstanceId};
use crate::routing::slow_start::{Allowance, SlowStart};

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
    /// Sets which pools have a slow start.
    pub fn configure(&mut self, pools: HashMap<PoolId, SlowStart>) {
        self.slow_starts.configure(pools);
    }

    /// Spares a listed endpoint for the time that it or its entry tells.
    pub fn spare(&mut self, id: &InstanceId, left: Millis, now: Millis) {
        if self.directory.is_listed(id) {
            self.slow_starts.begin(id, left, now);
        }
    }

    /// Endpoints whose sparing began or ended since this was last asked.
    pub fn review_spared(&mut self, now: Millis) -> Spared {
        self.slow_starts.prune(now);
        let spared: HashSet<InstanceId> = self.slow_starts.active(now).cloned().collect();
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
            self.slow_starts.begin_full(id, &pool, now);
        }
    }

    /// What may be sent to each endpoint of a pool, in their order.
    pub(super) fn allowances(&mut self, pool: &PoolId, now: Millis) -> Vec<Allowance> {
        let listed = self.directory.pool(pool).iter();
        let (slow_starts, fleet) = (&mut self.slow_starts, &self.fleet);
        let is_limited = slow_starts.may_limit(pool, fleet, now);
        let has_pauses = self.notices.has_pauses(now);
        if !is_limited && !has_pauses {
            return vec![Allowance::All; listed.len()];
        }
        let allowance = |endpoint: &Arc<Endpoint>| {
            let id = &endpoint.id;
            match has_pauses && self.notices.pause(id, now) > Millis::ZERO {
                true => Allowance::Nothing,
                false if is_limited => slow_starts.allowance(id, pool, fleet, now),
                false => Allowance::All,
            }
        };
        listed.map(allowance).collect()
    }
}
