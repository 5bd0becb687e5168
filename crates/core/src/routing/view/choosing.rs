//! The choice of an endpoint for a request.

mod allowances;
mod candidates;
mod caution;

use super::prefixes::locations;
use super::work::cacheable_tokens;
use super::{ChooseError, Result, View};
use crate::clock::Millis;
use crate::ids::PoolId;
use crate::routing::choose::{Candidate, Choice, LazyPool, LoadSum, choose, choose_lazily};
use crate::routing::directory::Listed;
use crate::routing::endpoint::{Build, InstanceId};
use crate::routing::plan::RetryPlan;
use crate::routing::request::SharedPrefix;
use crate::routing::slow_start::Allowance;

use allowances::Allowances;
use candidates::CandidateSource;
use caution::Caution;

impl View {
    /// Whether a pool has an untried endpoint other than `id` that takes new work.
    pub fn has_other(
        &mut self,
        pool: &PoolId,
        plan: &RetryPlan,
        id: &InstanceId,
        now: Millis,
    ) -> bool {
        let Some(listed) = self.directory.get_pool(pool) else {
            return false;
        };
        let (notices, fleet) = (&self.notices, &self.fleet);
        let mut allowances = Allowances::new(pool, notices, &mut self.slow_starts, fleet, now);
        let drained = &self.drained;
        listed.endpoints().any(|endpoint| {
            let takes_work = !endpoint.leaving && !drained.contains(&endpoint.data_centre);
            let is_other = endpoint.id != *id && !plan.has_tried(&endpoint.id);
            let is_other = is_other && plan.accepts(&endpoint.build);
            takes_work && is_other && allowances.get(&endpoint.id).is_open()
        })
    }

    /// Chooses an endpoint that takes new work, and counts the request there until [`Self::end`].
    ///
    /// # Errors
    ///
    /// If there is none, the pool is overloaded, or the request is quarantined.
    pub fn choose(
        &mut self,
        pool: &PoolId,
        shared: Option<&SharedPrefix>,
        plan: &RetryPlan,
        now: Millis,
    ) -> Result<Choice> {
        // Checked before each attempt: the loss of the previous one may have reached the threshold.
        let verdict = self.check_quarantine(pool, plan, now)?;
        let choice = self.pick(pool, shared, plan, &verdict.refused, now);
        let choice = choice.ok_or(ChooseError::Nothing)?;
        if let Some(overload) = self.check_overload(pool, &choice, plan, now) {
            return Err(ChooseError::Overloaded(Box::new(overload)));
        }
        let cost = self.reading_cost(shared, plan, &choice.endpoint.id, now);
        let choice = Choice { cost, ..choice };
        if let Some(prefix) = shared {
            self.record_prefix(prefix, &choice, now);
        }
        self.record_trial(&verdict, &choice.endpoint.build, now);
        let id = &choice.endpoint.id;
        self.loads.begin(id);
        if choice.allowance == Allowance::One {
            self.slow_starts.record_sent(id, now);
        }
        if choice.probe {
            self.health.record_probe(id, now);
            self.silent.record_trial(id, now);
            self.record_loss_trial(id, now);
        }
        Ok(choice)
    }

    /// Chooses an endpoint by the state of this view; for a prefix without a look at each of them
    /// if that is possible.
    fn pick(
        &mut self,
        pool: &PoolId,
        shared: Option<&SharedPrefix>,
        plan: &RetryPlan,
        refused: &[Build],
        now: Millis,
    ) -> Option<Choice> {
        let share = shared.map_or(0.0, |prefix| self.count_prefix(prefix));
        let paused = self.paused_builds(pool, plan, now);
        let avoids_doubts = plan.begins_resumable() || plan.build().is_some();
        let caution = Caution {
            refused,
            paused: &paused,
            avoids_doubts,
        };
        let choice = self.pick_with(pool, shared, share, plan, caution, now);
        let may_doubt = plan.begins_resumable() || plan.confirms();
        if choice.is_some() || !avoids_doubts || !may_doubt {
            return choice;
        }
        let caution = Caution {
            refused,
            ..Caution::default()
        };
        self.pick_with(pool, shared, share, plan, caution, now)
    }

    /// Chooses an endpoint with some caution.
    fn pick_with(
        &mut self,
        pool: &PoolId,
        shared: Option<&SharedPrefix>,
        share: f64,
        plan: &RetryPlan,
        caution: Caution<'_>,
        now: Millis,
    ) -> Option<Choice> {
        let may_probe = plan.is_idempotent();
        let failures = self.failures(pool, now);
        let sums = shared.map(|_| self.load_sums(pool, now));
        let is_common = self.has_common_silence(pool);
        let losses = self.has_losses(pool, now);
        let listed = self.directory.get_pool(pool)?;
        let (notices, fleet) = (&self.notices, &self.fleet);
        let is_brittle = self.brittle.limit(pool, now).is_some();
        let work = self.work.of_pool(pool);
        let mut source = CandidateSource {
            loads: &self.loads,
            work,
            reading: work.time(cacheable_tokens(shared, plan)),
            health: &self.health,
            silent: (!is_common).then_some(&self.silent),
            losses: losses.then_some(&self.losses),
            prefix_index: &self.prefix_index,
            drained: &self.drained,
            brittle: is_brittle.then_some(&mut self.brittle),
            allowances: Allowances::new(pool, notices, &mut self.slow_starts, fleet, now),
            daemons: self.daemons,
            plan,
            refused: caution.refused,
            paused: caution.paused,
            doubts: caution.avoids_doubts.then_some(&self.doubts),
            shared,
            failures,
            now,
        };
        if let Some((prefix, (open, staying))) = shared.zip(sums) {
            let located = locations(&self.prefix_index, &self.directory, listed, prefix);
            let lazy = LazyPool {
                located: located.map(|located| source.candidate(located)).collect(),
                nodes: listed.listed().map(|listed| (&listed.node, listed)),
                candidate: |listed: &Listed| source.candidate(listed),
                open,
                staying,
                oldest: listed.oldest_age(now),
            };
            let choice = choose_lazily(lazy, prefix, share, may_probe, &mut self.rng);
            if choice.is_some() {
                return choice;
            }
        }
        let all = listed.listed().map(|listed| source.candidate(listed));
        let all: Vec<Candidate> = all.collect();
        let (local, rng) = (&self.data_centre, &mut self.rng);
        choose(&all, shared, share, local, may_probe, rng)
    }

    /// Loads of the endpoints of a pool that take work, and of all that aren't leaving.
    fn load_sums(&self, pool: &PoolId, now: Millis) -> (LoadSum, LoadSum) {
        let Some(listed) = self.directory.get_pool(pool) else {
            return Default::default();
        };
        let drained = self.drained.iter();
        let drained: usize = drained.map(|centre| listed.staying_in(centre)).sum();
        let mut staying = LoadSum {
            load: 0.0,
            count: listed.staying(),
        };
        let mut open = LoadSum {
            load: 0.0,
            count: staying.count - drained,
        };
        for (id, estimate) in self.loads.estimates(now) {
            let endpoint = self.directory.get(id);
            let Some(endpoint) = endpoint.filter(|e| e.pool == *pool && !e.leaving) else {
                continue;
            };
            staying.load += estimate.extrapolated;
            if !self.is_drained(endpoint) {
                open.load += estimate.extrapolated;
            }
        }
        (open, staying)
    }
}
