//! Drained data centres.

use std::sync::Arc;

use derive_more::Debug;

use super::View;
use crate::clock::Millis;
use crate::ids::{DataCentreId, PoolId};
use crate::routing::endpoint::Endpoint;

/// Effect of a data centre's drain on its pools.
#[derive(Clone, PartialEq)]
#[derive(Debug)]
pub struct Drain {
    /// Number of endpoints in the data centre.
    pub endpoints: usize,
    /// Pools without any endpoint left that takes new work.
    pub emptied: Vec<PoolId>,
    /// Requests in flight in an affected pool divided by its remaining slots; the largest ratio of
    /// all affected pools.
    pub busy: f64,
}

impl View {
    /// Sends no new work to endpoints of a data centre; returns the effect, or `None` if the data
    /// centre was drained already.
    pub fn drain(&mut self, data_centre: DataCentreId, now: Millis) -> Option<Drain> {
        if !self.drained.insert(data_centre.clone()) {
            return None;
        }
        Some(self.drain_effect(&data_centre, now))
    }

    /// Ends the drain of a data centre; returns whether it was drained. Its endpoints may have
    /// restarted meanwhile.
    pub fn undrain(&mut self, data_centre: &DataCentreId, now: Millis) -> bool {
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

    /// Number of drained data centres.
    pub fn drained_count(&self) -> usize {
        self.drained.len()
    }

    pub(super) fn is_drained(&self, endpoint: &Endpoint) -> bool {
        self.drained.contains(&endpoint.data_centre)
    }

    /// Whether an endpoint takes new work, even if little.
    pub(super) fn takes_work(&self, endpoint: &Endpoint) -> bool {
        !endpoint.leaving && !self.is_drained(endpoint)
    }

    fn drain_effect(&self, data_centre: &DataCentreId, now: Millis) -> Drain {
        let mut effect = Drain {
            endpoints: 0,
            emptied: Vec::new(),
            busy: 0.0,
        };
        for (name, pool) in self.directory.pools() {
            let lost = pool.endpoints().filter(|e| e.data_centre == *data_centre);
            let lost = lost.count();
            if lost == 0 {
                continue;
            }
            effect.endpoints += lost;
            let left = pool.endpoints().filter(|e| self.takes_work(e));
            let slots: f64 = left.map(|endpoint| f64::from(endpoint.slots)).sum();
            if slots == 0.0 {
                effect.emptied.push(name.clone());
                continue;
            }
            let loads = pool.endpoints().map(|e| self.loads.total(&e.id, now));
            effect.busy = effect.busy.max(loads.sum::<f64>() / slots);
        }
        effect
    }
}
