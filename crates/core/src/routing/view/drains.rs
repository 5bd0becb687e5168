//! Data centres that are drained.

use std::sync::Arc;

use derive_more::Debug;

use super::View;
use crate::clock::Millis;
use crate::ids::{DataCentreId, PoolId};
use crate::routing::endpoint::Endpoint;

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
            self.slow_starts
                .begin_full(&endpoint.id, &endpoint.pool, now);
        }
        true
    }

    /// Data centres that are drained.
    pub fn drains(&self) -> usize {
        self.drained.len()
    }

    pub(super) fn is_drained(&self, endpoint: &Endpoint) -> bool {
        self.drained.contains(&endpoint.data_centre)
    }

    /// Whether an endpoint takes new work, be it little.
    pub(super) fn takes_work(&self, endpoint: &Endpoint) -> bool {
        !endpoint.leaving && !self.is_drained(endpoint)
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
            let left = pool.iter().filter(|e| self.takes_work(e));
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
