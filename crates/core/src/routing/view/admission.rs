//! Admission of requests to pools of plain services.

use rand::RngExt;

use super::{Overload, View};
use crate::clock::Millis;
use crate::ids::PoolId;
use crate::routing::ablation::{Mechanism, is_on};
use crate::routing::choose::Choice;
use crate::routing::endpoint::InstanceId;
use crate::routing::overload;
use crate::routing::plan::RetryPlan;
use crate::routing::room::demand::{Demand, STALE_AFTER};
use crate::routing::room::{Caller, Offer, PoolState};

impl View {
    /// Details of the refusal if the pool is overloaded and this request is refused.
    pub(super) fn check_overload(
        &mut self,
        pool: &PoolId,
        choice: &Choice,
        plan: &RetryPlan,
        now: Millis,
    ) -> Option<Overload> {
        let target = plan.queue_target().filter(|_| is_on(Mechanism::Valve))?;
        if let Some(caller) = plan.caller().filter(|_| is_on(Mechanism::FairShares)) {
            let left = plan.deadline().since(now);
            return self.check_share(pool, choice, caller, (target, left), now);
        }
        let expected = self
            .response_rates
            .response_time(&choice.endpoint.id, choice.load, now)?;
        let controller = self.admission.entry(pool.clone()).or_default();
        let share = controller.update(expected, target, now);
        let may_refuse = overload::may_refuse(choice.load, choice.endpoint.slots);
        if !may_refuse || self.rng.random::<f64>() < share {
            return None;
        }
        Some(Overload {
            choice: choice.clone(),
            expected,
            share,
            wait: overload::retry_after(target, self.rng.random()),
            refused: None,
        })
    }

    /// The same by the caller's share of the pool.
    fn check_share(
        &mut self,
        pool: &PoolId,
        choice: &Choice,
        caller: Caller,
        (target, left): (Millis, Millis),
        now: Millis,
    ) -> Option<Overload> {
        let expected = self
            .response_rates
            .response_time(&choice.endpoint.id, choice.load, now);
        let offer = Offer {
            caller,
            target,
            left,
            has_slot: self.has_slot(choice, now),
            expected,
            draw: self.rng.random(),
        };
        let mut room = std::mem::take(&mut self.room);
        let admitted = room.admit(pool, offer, || self.pool_state(pool, now), now);
        self.room = room;
        let refused = admitted.err()?;
        Some(Overload {
            choice: choice.clone(),
            expected: expected.unwrap_or_default(),
            share: refused.share,
            wait: refused.wait,
            refused: Some(refused),
        })
    }

    /// Whether an endpoint has a free slot. If nothing was heard of others' requests there, this
    /// daemon's own may take its part of the slots.
    fn has_slot(&self, choice: &Choice, now: Millis) -> bool {
        let id = &choice.endpoint.id;
        let slots = f64::from(choice.endpoint.slots.max(1));
        let is_heard = self.loads.age(id, now).is_some_and(|age| age < STALE_AFTER);
        match is_heard || self.is_sole() {
            true => choice.load < slots,
            false => f64::from(self.loads.own(id)) < slots * self.fleet.share(1.0),
        }
    }

    fn is_sole(&self) -> bool {
        self.fleet.share(1.0) >= 1.0
    }

    fn pool_state(&self, pool: &PoolId, now: Millis) -> PoolState {
        let listed = self.directory.get_pool(pool);
        let endpoints = listed.into_iter().flat_map(|pool| pool.endpoints());
        let mut state = PoolState {
            load: 0.0,
            slots: 0.0,
            part: self.fleet.share(1.0),
            is_sole: self.is_sole(),
        };
        for endpoint in endpoints.filter(|endpoint| !endpoint.leaving) {
            state.slots += f64::from(endpoint.slots);
            state.load += self.loads.estimate(&endpoint.id, now).reported;
        }
        state
    }

    /// Counts a response of an endpoint.
    pub(super) fn count_response(&mut self, id: &InstanceId, now: Millis) {
        self.response_rates.record(id, 1, now);
        if let Some(endpoint) = self.directory.get(id) {
            self.room.record_response(&endpoint.pool, now);
        }
    }

    /// What this daemon's callers ask of busy pools, for the others.
    pub fn observed_demand(&mut self, now: Millis) -> Option<Demand> {
        self.room.observed(now)
    }
}
