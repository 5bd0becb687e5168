//! The work that requests bring, and how it falls.

use super::View;
use crate::clock::Millis;
use crate::routing::ablation::{Mechanism, is_on};
use crate::routing::choose::Choice;
use crate::routing::endpoint::InstanceId;
use crate::routing::exchange;
use crate::routing::plan::RetryPlan;
use crate::routing::request::SharedPrefix;
use crate::routing::runs::RunId;
use crate::routing::work::ReadingTime;
use crate::routing::work::cost::ReadingCost;
use crate::routing::work::pace::Pace;
use crate::units::Tokens;

impl View {
    /// Counts what is to be read for a request at its endpoint, until its first output or its end.
    pub fn begin_work(&mut self, run_id: RunId, choice: &Choice, now: Millis) {
        let endpoint = &choice.endpoint;
        self.work
            .begin(run_id, &endpoint.id, &endpoint.pool, choice.cost, now);
    }

    /// Records the first output of a request; returns how long its prompt took.
    pub fn record_output(
        &mut self,
        id: &InstanceId,
        run_id: RunId,
        now: Millis,
    ) -> Option<ReadingTime> {
        let pool = &self.directory.get(id)?.pool;
        self.work.record_output(run_id, pool, now)
    }

    /// Records that a request isn't waited for any more.
    pub fn end_work(&mut self, run_id: RunId, now: Millis) {
        self.work.forget_run(run_id, now);
    }

    /// Prepares what is told of this daemon's reading.
    pub fn confirm_reading(&mut self, now: Millis) {
        self.work.confirm(now);
    }

    /// Records the pace that an endpoint reported.
    pub fn record_pace(&mut self, id: &InstanceId, pace: Pace, now: Millis) {
        if self.directory.is_listed(id) && is_on(Mechanism::Work) {
            self.work.record_pace(id, pace, now);
        }
    }

    /// What is to be read for a request at an endpoint.
    pub(super) fn reading_cost(
        &self,
        shared: Option<&SharedPrefix>,
        plan: &RetryPlan,
        id: &InstanceId,
        now: Millis,
    ) -> ReadingCost {
        if !is_on(Mechanism::Work) {
            return ReadingCost::default();
        }
        let is_cached = shared.is_some_and(|prefix| {
            let prefix = exchange::short_key(prefix.key);
            let age = self.prefix_index.age(prefix, exchange::short_id(id), now);
            age.is_some()
        });
        plan.prompt().cost(is_cached)
    }
}

/// Tokens of a prompt that an endpoint may have cached; all of them if it shares none.
pub(super) fn cacheable_tokens(shared: Option<&SharedPrefix>, plan: &RetryPlan) -> Tokens {
    match shared {
        _ if !is_on(Mechanism::Work) => Tokens::ZERO,
        Some(prefix) => prefix.tokens,
        None => plan.prompt().cost(false).tokens(),
    }
}
