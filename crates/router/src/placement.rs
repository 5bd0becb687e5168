//! The daemon's routing state, shared by its tasks: endpoints, drains, retry budgets, quarantine.

mod in_flight;
mod listing;
mod losses;
mod outcomes;
mod peers;
mod quarantine;
mod streams;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use derive_more::Debug;
use medlarrill_core::clock::Millis;
use medlarrill_core::ids::{DataCentreId, PoolId};
use medlarrill_core::routing::budget;
use medlarrill_core::routing::choose::Choice;
use medlarrill_core::routing::endpoint::InstanceId;
use medlarrill_core::routing::plan::RetryPlan;
use medlarrill_core::routing::request::SharedPrefix;
use medlarrill_core::routing::view::{Result, View};
use tokio::sync::Notify;

pub use in_flight::{InFlight, SentMarker};

/// Routing state behind a lock that is held for a few instructions, never across an `await`.
#[derive(Debug)]
pub struct Placement {
    view: Mutex<View>,
    /// Told when this daemon saw what the others are to hear of at once.
    untold: Notify,
}

impl Placement {
    /// Creates the state of a daemon in data centre `near`, which knows no endpoints yet.
    pub fn new(near: DataCentreId, retries: budget::Settings, seed: u64, now: Millis) -> Self {
        Self {
            view: Mutex::new(View::new(near, retries, seed, now)),
            untold: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, View> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Draws a random number from 0 to 1.
    pub fn random(&self) -> f64 {
        self.lock().random()
    }

    /// Sets the retry budget of the fleet.
    pub fn configure_retries(&self, retries: budget::Settings) {
        self.lock().budget().configure(retries);
    }

    /// Counts a caller's request towards the retry budget of its pool.
    pub fn record_request(&self, pool: &PoolId, now: Millis) {
        self.lock().budget().record_request(pool, now);
    }

    /// Whether a pool has another endpoint than this one that takes new work and wasn't tried.
    pub fn has_alternative(
        &self,
        pool: &PoolId,
        plan: &RetryPlan,
        id: &InstanceId,
        now: Millis,
    ) -> bool {
        self.lock().has_other(pool, plan, id, now)
    }

    /// Takes one retry from a pool's budget; returns whether the budget allowed it.
    pub fn spend_retry(&self, pool: &PoolId, now: Millis) -> bool {
        self.lock().budget().try_spend(pool, now)
    }

    /// State of a pool's retry budget, for logs.
    pub fn retry_budget(&self, pool: &PoolId, now: Millis) -> budget::State {
        self.lock().budget().state(pool, now)
    }

    /// Chooses an endpoint that takes new work, and counts the request there.
    ///
    /// # Errors
    ///
    /// When there is no such endpoint, the pool is overloaded, or the request is quarantined.
    pub fn choose(
        self: &Arc<Self>,
        pool: &PoolId,
        prefix: Option<&SharedPrefix>,
        plan: &RetryPlan,
        now: Millis,
    ) -> Result<(Choice, InFlight)> {
        let mut view = self.lock();
        let choice = view.choose(pool, prefix, plan, now)?;
        let (id, build) = (choice.endpoint.id.clone(), &choice.endpoint.build);
        let run_id = view.runs().begin(&id, build, plan.causes().clone(), now);
        view.begin_work(run_id, &choice, now);
        drop(view);
        let in_flight = InFlight::new(Arc::clone(self), id, run_id);
        Ok((choice, in_flight))
    }

    /// Removes the record that a prefix was sent to an endpoint, which didn't process it.
    pub fn retract_prefix(&self, prefix: &SharedPrefix, id: &InstanceId) {
        self.lock().retract_prefix(prefix, id);
    }

    /// How long a pool will take no work, if none of its endpoints takes any now.
    pub fn closed_for(&self, pool: &PoolId, now: Millis) -> Option<Millis> {
        self.lock().closed_for(pool, now)
    }
}
