//! One daemon's view of the endpoints, and the choice of one for each request.
//!
//! Endpoints come from the platform's list, loads and outcomes from this
//! daemon's own requests and from other daemons ([`exchange`]). All state
//! belongs to one instance of an endpoint and is discarded when the endpoint
//! restarts.

mod drains;
mod health;
mod listing;
mod notices;
mod sharing;
mod slow_starts;

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use derive_more::{Debug, Display, Error};
use rand::RngExt;
use rand_pcg::Pcg32;

use crate::clock::Millis;
use crate::ids::{DataCentreId, PoolId};
use crate::routing::ablation::{Mechanism, is_on};
use crate::routing::attempt::Fault;
use crate::routing::budget::{self, RetryBudget};
use crate::routing::choose::{Candidate, Choice, choose, is_worth_fetching};
use crate::routing::directory::Directory;
use crate::routing::endpoint::{Endpoint, InstanceId};
use crate::routing::exchange;
use crate::routing::fleet::Fleet;
use crate::routing::health::{Health, HealthSnapshot, PoolFailures};
use crate::routing::instance::InstanceTracker;
use crate::routing::load::{LoadReport, LoadTracker};
use crate::routing::notices::Notices;
use crate::routing::overload::{self, AdmissionControl, ResponseRates};
use crate::routing::plan::RetryPlan;
use crate::routing::prefix_index::PrefixIndex;
use crate::routing::quarantine::{Change, Quarantine};
use crate::routing::request::SharedPrefix;
use crate::routing::slow_start::{Allowance, SlowStarts};

pub use drains::Drain;
pub use health::HealthChange;
pub use listing::ListingChange;
pub use slow_starts::SlowStartChanges;

/// Result of choosing an endpoint.
pub type Result<T> = std::result::Result<T, ChooseError>;

/// One daemon's view of all endpoints.
#[derive(Debug)]
pub struct View {
    /// Data centre of this daemon.
    data_centre: DataCentreId,
    directory: Directory,
    start_times: InstanceTracker,
    loads: LoadTracker,
    health: Health,
    /// Endpoints that were avoided at the last review.
    avoided: HashSet<InstanceId>,
    /// Live daemons as of the last update, this one included.
    daemons: u32,
    budget: RetryBudget,
    response_rates: ResponseRates,
    /// Admission to pools of plain services.
    admission: HashMap<PoolId, AdmissionControl>,
    outcomes: HashMap<InstanceId, Outcomes>,
    /// Requests sent with each shared prefix since the last report.
    prefix_counts: HashMap<u32, u32>,
    prefix_index: PrefixIndex,
    /// Prefixes sent elsewhere than to the endpoint that rank and age give, since the last report.
    prefix_moves: Vec<exchange::PrefixMove>,
    /// Shares of hot prefixes in the fleet's traffic, 0 to 1.
    hot_shares: HashMap<u32, f64>,
    quarantine: Quarantine,
    notices: Notices,
    /// Drained data centres: their endpoints take no new work.
    drained: HashSet<DataCentreId>,
    /// The daemons that share the fleet's limits.
    fleet: Fleet,
    slow_starts: SlowStarts,
    /// Endpoints in slow start at the last review.
    in_slow_start: HashSet<InstanceId>,
    #[debug(skip)]
    rng: Pcg32,
}

/// Outcomes of this daemon's requests since the last report.
#[derive(Clone, Copy, Default)]
#[derive(Debug)]
struct Outcomes {
    good: u32,
    bad: u32,
}

/// Why no endpoint was chosen for a request.
#[derive(Debug, Display, Error)]
pub enum ChooseError {
    /// Its pool is overloaded.
    #[display("overloaded")]
    Overloaded(#[error(not(source))] Box<Overload>),
    /// Requests with the same fingerprint have crashed the endpoints that ran them.
    #[display("quarantined")]
    Quarantined {
        /// Time left until it may be sent again.
        wait: Millis,
    },
    /// No untried endpoint may be sent the request.
    #[display("no endpoint")]
    Nothing,
}

/// Details of a request that was refused because its pool is overloaded.
#[derive(Debug)]
pub struct Overload {
    /// The endpoint that would have got the request.
    pub choice: Choice,
    /// Expected time of the request there, in milliseconds.
    pub expected: f64,
    /// Share of the pool's requests that are admitted, 0 to 1.
    pub share: f64,
    /// Time after which the caller may retry.
    pub wait: Millis,
}

impl View {
    /// An empty view for a daemon in `data_centre`; `retries` limits the fleet's retries.
    pub fn new(
        data_centre: DataCentreId,
        retries: budget::Settings,
        seed: u64,
        now: Millis,
    ) -> Self {
        Self {
            data_centre,
            directory: Directory::default(),
            start_times: InstanceTracker::default(),
            loads: LoadTracker::default(),
            health: Health::default(),
            avoided: HashSet::new(),
            daemons: 1,
            budget: RetryBudget::new(retries, now),
            response_rates: ResponseRates::default(),
            admission: HashMap::new(),
            outcomes: HashMap::new(),
            prefix_counts: HashMap::new(),
            prefix_index: PrefixIndex::default(),
            prefix_moves: Vec::new(),
            hot_shares: HashMap::new(),
            quarantine: Quarantine::default(),
            notices: Notices::default(),
            drained: HashSet::new(),
            fleet: Fleet::new(now),
            slow_starts: SlowStarts::default(),
            in_slow_start: HashSet::new(),
            rng: Pcg32::new(seed, seed),
        }
    }

    /// A random number from 0 to 1.
    pub fn random(&mut self) -> f64 {
        self.rng.random()
    }

    /// Number of listed endpoints.
    pub fn endpoints(&self) -> usize {
        self.directory.len()
    }

    /// Number of daemons that are live or listed by the platform, whichever is more.
    pub fn daemons(&self) -> usize {
        self.fleet.size().max(self.daemons as usize)
    }

    /// This daemon's retry budget.
    pub const fn budget(&mut self) -> &mut RetryBudget {
        &mut self.budget
    }

    /// Whether a pool has an untried endpoint other than `id` that takes new work.
    pub fn has_other(
        &mut self,
        pool: &PoolId,
        plan: &RetryPlan,
        id: &InstanceId,
        now: Millis,
    ) -> bool {
        let allowances = self.allowances(pool, now);
        let ready = |(endpoint, allowance): &(&Arc<Endpoint>, Allowance)| {
            self.takes_work(endpoint) && allowance.is_open()
        };
        let listed = self.directory.pool(pool).iter().zip(allowances);
        let mut ready = listed.filter(ready).map(|(endpoint, _)| endpoint);
        ready.any(|endpoint| endpoint.id != *id && !plan.has_tried(&endpoint.id))
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
        let request = plan.fingerprint();
        if let Some(wait) = request.and_then(|request| self.quarantine.remaining(request, now)) {
            return Err(ChooseError::Quarantined { wait });
        }
        let candidates = self.candidates(pool, shared, plan, now);
        let probe = plan.is_idempotent();
        let share = shared.map_or(0.0, |prefix| self.count_prefix(prefix));
        let rng = &mut self.rng;
        let choice = choose(&candidates, shared, share, &self.data_centre, probe, rng);
        let choice = choice.ok_or(ChooseError::Nothing)?;
        if let Some(overload) = self.check_overload(pool, &choice, plan, now) {
            return Err(ChooseError::Overloaded(Box::new(overload)));
        }
        if let Some(prefix) = shared {
            self.record_prefix(prefix, &choice, now);
        }
        let id = &choice.endpoint.id;
        self.loads.begin(id);
        if choice.allowance == Allowance::One {
            self.slow_starts.record_sent(id, now);
        }
        if choice.probe {
            self.health.record_probe(id, now);
        }
        Ok(choice)
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

    /// Ends the count of a request at an endpoint that [`Self::choose`] started.
    pub fn end(&mut self, id: &InstanceId) {
        self.loads.end(id);
    }

    /// Applies an endpoint's report of its load.
    pub fn report(&mut self, id: &InstanceId, report: LoadReport, now: Millis) {
        if self.directory.is_listed(id) {
            self.loads.report(id, report, now);
        }
    }

    /// Records a successful attempt.
    pub fn record_success(&mut self, id: &InstanceId, now: Millis) {
        if !self.directory.is_listed(id) {
            return;
        }
        self.health.record_success(id, now);
        self.response_rates.record(id, 1, now);
        self.outcomes.entry(id.clone()).or_default().good += 1;
    }

    /// Records a failed attempt.
    pub fn record_failure(&mut self, id: &InstanceId, fault: Fault, now: Millis) {
        if !self.directory.is_listed(id) {
            return;
        }
        self.health.record_failure(id, fault, now);
        if fault.is_loss() || fault == Fault::NotSent {
            // It may have restarted.
            self.presume_restart(id, now);
        }
        if fault == Fault::Failed {
            self.response_rates.record(id, 1, now);
        }
        if fault.is_failure() {
            self.outcomes.entry(id.clone()).or_default().bad += 1;
        }
    }

    /// Records that an endpoint was lost with a request, even if it isn't listed any more. Returns
    /// changes of the quarantine.
    pub fn record_loss(&mut self, plan: &RetryPlan, id: &InstanceId, now: Millis) -> Vec<Change> {
        let lost = plan.fingerprint();
        let lost = lost.map(|lost| {
            self.quarantine
                .record_loss(lost, exchange::short_id(id), now)
        });
        lost.unwrap_or_default()
    }

    /// Evidence against requests, and the requests that are quarantined.
    pub const fn quarantine(&mut self) -> &mut Quarantine {
        &mut self.quarantine
    }

    /// This daemon's report for the others: requests in flight, and outcomes since the last report.
    pub fn take_report(&mut self, cut_off: bool) -> exchange::Report {
        let mut outcomes = std::mem::take(&mut self.outcomes);
        let sent = std::mem::take(&mut self.prefix_counts).into_iter();
        let sent = sent.map(|(prefix, count)| exchange::PrefixCount { prefix, count });
        let entry = |(id, in_flight): (&InstanceId, u32)| {
            let Outcomes { good, bad } = outcomes.remove(id).unwrap_or_default();
            exchange::ReportEntry {
                endpoint: exchange::short_id(id),
                in_flight,
                good,
                bad,
            }
        };
        let entries = self.loads.in_flight().map(entry);
        let entries = entries.filter(|entry| entry.in_flight + entry.good + entry.bad > 0);
        exchange::Report {
            entries: entries.collect(),
            cut_off,
            sent: sent.collect(),
            moved: std::mem::take(&mut self.prefix_moves),
            ..exchange::Report::default()
        }
    }

    /// Applies the sum of what the other daemons have at endpoints; `daemons` counts the live ones,
    /// this one included.
    pub fn update_peers(&mut self, update: exchange::PeerUpdate, daemons: usize, now: Millis) {
        let daemons = u32::try_from(daemons).unwrap_or(u32::MAX);
        self.daemons = daemons;
        self.hot_shares = update.hot;
        for exchange::PrefixMove { prefix, endpoint } in update.moved {
            self.prefix_index.record(prefix, endpoint, now);
        }
        let directory = &self.directory;
        let rows = || {
            update.endpoints.iter().flat_map(|(short, others)| {
                let endpoints = directory.with_short_id(*short);
                endpoints.map(move |endpoint| (&endpoint.id, *others))
            })
        };
        for (id, others) in rows() {
            self.health.record_others(id, others.good, others.bad, now);
            self.response_rates
                .record(id, others.good + others.bad, now);
        }
        if is_on(Mechanism::ToldLoads) {
            let busy = rows().map(|(id, others)| (id, others.in_flight));
            self.loads.set_all_others(busy, now);
        }
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

    /// Time since an instance was first listed.
    fn age(&self, id: &InstanceId, now: Millis) -> Millis {
        let listed_since = self.directory.listed_since(id);
        listed_since.map_or(Millis::MAX, |since| now.since(since))
    }

    fn candidates(
        &mut self,
        pool: &PoolId,
        shared: Option<&SharedPrefix>,
        plan: &RetryPlan,
        now: Millis,
    ) -> Vec<Candidate> {
        let allowances = self.allowances(pool, now);
        let prefix = shared.map(|prefix| exchange::short_key(prefix.key));
        let prefix = prefix.filter(|prefix| self.prefix_index.is_known(*prefix));
        let prefix_age = |id: &InstanceId| {
            let prefix = prefix?;
            self.prefix_index.age(prefix, exchange::short_id(id), now)
        };
        let listed = self.directory.pool(pool);
        let snapshots: Vec<HealthSnapshot> = listed
            .iter()
            .map(|endpoint| self.health.snapshot(&endpoint.id, now))
            .collect();
        let ready = listed.iter().zip(&snapshots).filter(|(e, _)| !e.leaving);
        let failures: PoolFailures = ready.map(|(_, snapshot)| *snapshot).collect();
        let candidate =
            |((endpoint, snapshot), allowance): ((&Arc<Endpoint>, &HealthSnapshot), Allowance)| {
                let estimate = self.loads.estimate(&endpoint.id, now);
                // Requests without a shared prefix are placed by load. If all daemons extrapolated
                // random changes of load, they would avoid and fill the same endpoints together.
                let load = match shared {
                    Some(_) => estimate.extrapolated,
                    None => estimate.reported,
                };
                let others = failures.mean_of_others(snapshot.failures);
                Candidate {
                    load,
                    load_age: estimate.age,
                    health: snapshot.status(others, self.daemons, now),
                    tried: plan.has_tried(&endpoint.id),
                    drained: self.is_drained(endpoint),
                    allowance,
                    age: self.age(&endpoint.id, now),
                    prefix_age: prefix_age(&endpoint.id),
                    endpoint: Arc::clone(endpoint),
                }
            };
        let listed = listed.iter().zip(&snapshots).zip(allowances);
        listed.map(candidate).collect()
    }
}
