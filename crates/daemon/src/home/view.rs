//! Updates slots and load view when the configuration or the fleet changes.

use medlarrill_core::admission::State;
use medlarrill_core::clock::Millis;
use medlarrill_core::ids::{DataCentreId, EndpointId, PoolId};
use medlarrill_core::placement::{Distance, EndpointState, PoolView};
use medlarrill_net::now::now;
use rand::RngExt;
use rand_pcg::Pcg32;

use super::gossip::NameHashes;
use super::slot::Slot;
use super::task::Task;

impl Task {
    /// Updates pools, endpoints and slots to the current configuration and fleet.
    pub(super) fn rebuild(&mut self) {
        self.rebuild_pools();
        self.names = NameHashes::new(&self.config.config);
        let endpoints: Vec<EndpointId> = self.config.config.endpoints.keys().cloned().collect();
        for endpoint in endpoints {
            self.update_role(&endpoint);
        }
        self.release_removed();
        self.start_handover();
    }

    fn rebuild_pools(&mut self) {
        let config = &self.config.config;
        self.loads
            .pools
            .retain(|id, _| config.pools.contains_key(id));
        for (id, pool) in &config.pools {
            let view = self.loads.pools.entry(id.clone());
            view.or_insert_with(|| PoolView::new(pool.load_bound));
        }
        for (id, view) in &mut self.loads.pools {
            let removed: Vec<EndpointId> = view
                .endpoints()
                .iter()
                .map(|endpoint| endpoint.id.clone())
                .filter(|endpoint| !is_in_pool(&self.config.config, endpoint, id))
                .collect();
            for endpoint in removed {
                view.remove_endpoint(&endpoint);
                self.directory.remove_endpoint(&endpoint);
            }
        }
    }

    /// Updates an endpoint's load view and slot, and whether this daemon is its home.
    fn update_role(&mut self, endpoint: &EndpointId) {
        let Some(settings) = self.config.endpoint(endpoint) else {
            return;
        };
        let (pool, drained) = (settings.pool.clone(), settings.drained);
        let distance = self.distance(&settings.data_centre);
        let own = self.home_of(endpoint).as_ref() == Some(&self.context.me.daemon);
        if let Some(view) = self.loads.pool_mut(&pool) {
            view.set_endpoint(endpoint, distance);
            let state = if drained {
                EndpointState::Drained
            } else {
                EndpointState::Ready
            };
            view.set_state(endpoint, state);
        }
        if own {
            self.ensure_slot(endpoint);
        }
        if let Some(slot) = self.slots.get_mut(endpoint) {
            slot.drained = drained;
            slot.set_own(own);
        }
        if !own {
            self.release_endpoint(endpoint, &pool);
        }
    }

    fn release_endpoint(&mut self, endpoint: &EndpointId, pool: &PoolId) {
        if let Some(view) = self.loads.pool_mut(pool) {
            view.release_own(endpoint);
        }
        self.refresh(endpoint);
    }

    /// Drains endpoints that are no longer configured; the tick drops their slots once idle.
    fn release_removed(&mut self) {
        let removed: Vec<EndpointId> = self
            .slots
            .keys()
            .filter(|id| !self.config.config.endpoints.contains_key(*id))
            .cloned()
            .collect();
        for endpoint in removed {
            if let Some(slot) = self.slots.get_mut(&endpoint) {
                slot.set_own(false);
                slot.drained = true;
            }
            self.refresh(&endpoint);
        }
    }

    pub(super) fn refresh(&mut self, endpoint: &EndpointId) {
        let now = now();
        let Some(slot) = self.slots.get_mut(endpoint) else {
            return;
        };
        let actions = slot.refresh(now);
        self.record_load(endpoint, now);
        self.apply(endpoint, actions);
    }

    /// Creates an endpoint's slot if it has none; false if the endpoint isn't configured.
    pub(super) fn ensure_slot(&mut self, endpoint: &EndpointId) -> bool {
        if self.slots.contains_key(endpoint) {
            return true;
        }
        let Some(settings) = self.config.endpoint(endpoint) else {
            return false;
        };
        let Some(pool) = self.config.pool(&settings.pool) else {
            return false;
        };
        let rng = Pcg32::new(self.rng.random(), self.rng.random());
        let mut slot = Slot::new(settings.pool.clone(), pool, settings.address, rng, now());
        slot.drained = settings.drained;
        slot.start_polling(&self.context, endpoint);
        self.slots.insert(endpoint.clone(), slot);
        true
    }

    pub(super) fn record_load(&mut self, endpoint: &EndpointId, now: Millis) {
        let Some(slot) = self.slots.get(endpoint) else {
            return;
        };
        let Some(view) = self.loads.pool_mut(&slot.pool) else {
            return;
        };
        if slot.own {
            view.set_own_load(endpoint, slot.occupancy(now), now);
        }
        let state = match slot.home.state() {
            State::Ready | State::Unconfirmed | State::Moved => EndpointState::Ready,
            State::Leaving if slot.drained => EndpointState::Drained,
            State::Leaving => EndpointState::Leaving,
            State::Unreachable => EndpointState::Unknown,
        };
        view.set_state(endpoint, state);
    }

    fn distance(&self, centre: &DataCentreId) -> Distance {
        let settings = &self.context.settings;
        if *centre == settings.data_centre {
            return Distance::SameDataCentre;
        }
        match self.fleet.regions.get(centre) {
            Some(region) if *region != settings.region => Distance::OtherRegion,
            _ => Distance::SameRegion,
        }
    }
}

fn is_in_pool(
    config: &medlarrill_core::config::Config,
    endpoint: &EndpointId,
    pool: &PoolId,
) -> bool {
    let settings = config.endpoints.get(endpoint);
    settings.is_some_and(|settings| settings.pool == *pool)
}
