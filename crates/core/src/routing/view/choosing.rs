//! The choice of an endpoint for a request.

use std::collections::HashSet;
use std::sync::Arc;

use rand::RngExt;

use super::silence::with_silence;
use super::streams::Doubts;
use super::{ChooseError, Overload, Result, View};
use crate::clock::Millis;
use crate::ids::{DataCentreId, PoolId};
use crate::routing::ablation::{Mechanism, is_on};
use crate::routing::brittle::Brittle;
use crate::routing::choose::{
    Candidate, Choice, LazyPool, LoadSum, choose, choose_lazily, is_worth_fetching,
};
use crate::routing::directory::{Directory, Listed, Pool};
use crate::routing::endpoint::{Build, Endpoint, InstanceId};
use crate::routing::exchange;
use crate::routing::fleet::Fleet;
use crate::routing::health::{Health, PoolFailures};
use crate::routing::load::{Estimate, LoadTracker};
use crate::routing::notices::Notices;
use crate::routing::overload;
use crate::routing::plan::RetryPlan;
use crate::routing::prefix_index::PrefixIndex;
use crate::routing::request::SharedPrefix;
use crate::routing::silence::SilentEndpoints;
use crate::routing::slow_start::{Allowance, SlowStarts};

/// Share of a pool's endpoints up to which those of new software versions wait for their first
/// stream.
const MAX_PAUSED: f64 = 0.25;

/// Software versions and endpoints that a request avoids.
#[derive(Clone, Copy, Default)]
struct Caution<'a> {
    /// Software versions to which it isn't sent whatever else there is.
    refused: &'a [Build],
    /// Software versions at which streams don't begin yet.
    paused: &'a [Build],
    /// Whether endpoints are avoided whose software version is in doubt.
    avoids_doubts: bool,
}

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
        let begins_resumable = plan.begins_resumable();
        let caution = Caution {
            refused,
            paused: &paused,
            avoids_doubts: begins_resumable,
        };
        let choice = self.pick_with(pool, shared, share, plan, caution, now);
        if choice.is_some() || !begins_resumable {
            return choice;
        }
        let caution = Caution {
            refused,
            ..Caution::default()
        };
        self.pick_with(pool, shared, share, plan, caution, now)
    }

    /// The software versions at which a stream isn't begun yet. Those that have served for longer
    /// take their requests meanwhile, unless few of their endpoints are left.
    fn paused_builds(&self, pool: &PoolId, plan: &RetryPlan, now: Millis) -> Vec<Build> {
        if !plan.begins_resumable() {
            return Vec::new();
        }
        let new = self.directory.builds().new_builds(pool, now);
        let Some(listed) = self.directory.get_pool(pool).filter(|_| !new.is_empty()) else {
            return Vec::new();
        };
        let staying = listed.staying();
        let paused: usize = new.iter().map(|build| listed.staying_of(build)).sum();
        match paused as f64 <= MAX_PAUSED * staying as f64 {
            true => new,
            false => Vec::new(),
        }
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
        let listed = self.directory.get_pool(pool)?;
        let (notices, fleet) = (&self.notices, &self.fleet);
        let is_brittle = self.brittle.limit(pool, now).is_some();
        let mut source = CandidateSource {
            loads: &self.loads,
            health: &self.health,
            silent: (!is_common).then_some(&self.silent),
            prefix_index: &self.prefix_index,
            drained: &self.drained,
            brittle: is_brittle.then_some(&mut self.brittle),
            allowances: Allowances::new(pool, notices, &mut self.slow_starts, fleet, now),
            daemons: self.daemons,
            plan,
            refused: caution.refused,
            paused: caution.paused,
            doubts: (caution.avoids_doubts || plan.build().is_some())
                .then(|| Doubts::new(&self.doubts, now)),
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

    /// Records where a prefix was sent, and queues a report if other daemons can't derive it.
    fn record_prefix(&mut self, prefix: &SharedPrefix, choice: &Choice, now: Millis) {
        if !is_worth_fetching(prefix) || !is_on(Mechanism::ToldPrefixes) {
            return;
        }
        let prefix = exchange::short_key(prefix.key);
        let endpoint = exchange::short_id(&choice.endpoint.id);
        let is_new = self.prefix_index.record(prefix, endpoint, now);
        if is_new && choice.moved && self.prefix_moves.len() < exchange::MOVES_MAX {
            self.prefix_moves
                .push(exchange::PrefixMove { prefix, endpoint });
        }
    }

    /// Records that an endpoint to which a prefix was sent hasn't processed it.
    pub fn retract_prefix(&mut self, prefix: &SharedPrefix, id: &InstanceId) {
        let prefix = exchange::short_key(prefix.key);
        self.prefix_index.remove(prefix, exchange::short_id(id));
    }

    /// Counts a request with a shared prefix; returns the prefix's share of the fleet's traffic, 0
    /// to 1.
    fn count_prefix(&mut self, prefix: &SharedPrefix) -> f64 {
        let key = exchange::short_key(prefix.key);
        *self.prefix_counts.entry(key).or_default() += 1;
        self.hot_shares.get(&key).copied().unwrap_or_default()
    }

    /// Details of the refusal if the pool is overloaded and this request is refused.
    fn check_overload(
        &mut self,
        pool: &PoolId,
        choice: &Choice,
        plan: &RetryPlan,
        now: Millis,
    ) -> Option<Overload> {
        let target = plan.queue_target().filter(|_| is_on(Mechanism::Valve))?;
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
        })
    }
}

/// The endpoints of a pool that were sent a prefix.
fn locations<'a>(
    index: &'a PrefixIndex,
    directory: &'a Directory,
    pool: &'a Pool,
    prefix: &SharedPrefix,
) -> impl Iterator<Item = &'a Listed> {
    let short_ids = index.locations(exchange::short_key(prefix.key));
    let endpoints = short_ids.flat_map(|short| directory.with_short_id(short));
    endpoints.filter_map(|endpoint| pool.get(&endpoint.id))
}

/// What may be sent to the endpoints of a pool now.
struct Allowances<'a> {
    pool: &'a PoolId,
    notices: &'a Notices,
    slow_starts: &'a mut SlowStarts,
    fleet: &'a Fleet,
    now: Millis,
    has_pauses: bool,
    is_limited: bool,
}

impl<'a> Allowances<'a> {
    fn new(
        pool: &'a PoolId,
        notices: &'a Notices,
        slow_starts: &'a mut SlowStarts,
        fleet: &'a Fleet,
        now: Millis,
    ) -> Self {
        Self {
            has_pauses: notices.has_pauses(now),
            is_limited: slow_starts.may_limit(pool, fleet, now),
            pool,
            notices,
            slow_starts,
            fleet,
            now,
        }
    }

    fn get(&mut self, id: &InstanceId) -> Allowance {
        if self.has_pauses && self.notices.pause(id, self.now) > Millis::ZERO {
            return Allowance::Nothing;
        }
        match self.is_limited {
            true => self
                .slow_starts
                .allowance(id, self.pool, self.fleet, self.now),
            false => Allowance::All,
        }
    }
}

/// Builds the candidates for one request.
struct CandidateSource<'a> {
    loads: &'a LoadTracker,
    health: &'a Health,
    /// Endpoints that are avoided for their silence.
    silent: Option<&'a SilentEndpoints>,
    prefix_index: &'a PrefixIndex,
    drained: &'a HashSet<DataCentreId>,
    allowances: Allowances<'a>,
    /// Limits of a pool whose endpoints fail if they turn many requests away.
    brittle: Option<&'a mut Brittle>,
    /// Live daemons, which share the probes of an avoided endpoint.
    daemons: u32,
    plan: &'a RetryPlan,
    /// Software versions that requests like it have crashed.
    refused: &'a [Build],
    /// Software versions at which the request isn't begun.
    paused: &'a [Build],
    /// Instances to which it isn't sent, since their software version is in doubt.
    doubts: Option<Doubts<'a>>,
    shared: Option<&'a SharedPrefix>,
    failures: PoolFailures,
    now: Millis,
}

impl CandidateSource<'_> {
    fn candidate(&mut self, listed: &Listed) -> Candidate {
        let (endpoint, now) = (&listed.endpoint, self.now);
        let id = &endpoint.id;
        let estimate = self.loads.estimate(id, now);
        let health = self.health.snapshot(id, now);
        let others = self.failures.mean_of_others(health.failures);
        let health = health.status(others, self.daemons, now);
        Candidate {
            load: self.load(estimate),
            load_age: estimate.age,
            health: match self.silent {
                Some(silent) => with_silence(health, silent, id, now),
                None => health,
            },
            tried: self.plan.has_tried(id),
            drained: self.drained.contains(&endpoint.data_centre),
            allowance: self.allowance(endpoint, estimate.extrapolated),
            age: now.since(listed.since),
            prefix_age: self.prefix_age(endpoint),
            endpoint: Arc::clone(endpoint),
        }
    }

    fn allowance(&mut self, endpoint: &Endpoint, load: f64) -> Allowance {
        if !self.fits_version(endpoint) {
            return Allowance::Nothing;
        }
        let (fleet, now) = (self.allowances.fleet, self.now);
        let brittle = self.brittle.as_mut();
        match brittle.is_none_or(|brittle| brittle.accepts(endpoint, load, fleet, now)) {
            true => self.allowances.get(&endpoint.id),
            false => Allowance::Nothing,
        }
    }

    /// Whether the request may run at the endpoint's software version.
    fn fits_version(&self, endpoint: &Endpoint) -> bool {
        let doubts = self.doubts.as_ref();
        let is_doubtful = doubts.is_some_and(|doubts| doubts.contain(&endpoint.id));
        let is_paused =
            self.paused.contains(&endpoint.build) || self.refused.contains(&endpoint.build);
        self.plan.accepts(&endpoint.build) && !is_doubtful && !is_paused
    }

    /// The load to compare. Requests without a shared prefix are placed by load: if all daemons
    /// extrapolated random changes of load, they would avoid and fill the same endpoints together.
    const fn load(&self, estimate: Estimate) -> f64 {
        match self.shared {
            Some(_) => estimate.extrapolated,
            None => estimate.reported,
        }
    }

    fn prefix_age(&self, endpoint: &Endpoint) -> Option<Millis> {
        let prefix = exchange::short_key(self.shared?.key);
        if !self.prefix_index.is_known(prefix) {
            return None;
        }
        let short = exchange::short_id(&endpoint.id);
        self.prefix_index.age(prefix, short, self.now)
    }
}
