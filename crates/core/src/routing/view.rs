//! What one daemon knows of endpoints, and where the next request goes.
//!
//! Entries come from the platform's list, loads and outcomes from this
//! daemon's own requests and from the others ([`exchange`]). All that is known
//! belongs to one instance of an endpoint: when that starts again, it is known
//! anew.

mod drains;
mod entries;
mod judge;
mod notices;
mod sharing;
mod sparing;

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
pub use entries::Listed;
pub use judge::Verdict;
pub use sparing::Spared;

/// Result of looking for an endpoint.
pub type Result<T> = std::result::Result<T, NoPlace>;

/// All of it.
#[derive(Debug)]
pub struct View {
    near: DataCentreId,
    directory: Directory,
    births: InstanceTracker,
    loads: LoadTracker,
    health: Health,
    /// Endpoints that are avoided, as last logged.
    avoided: HashSet<InstanceId>,
    /// Daemons that live.
    daemons: u32,
    budget: RetryBudget,
    paces: ResponseRates,
    /// Admission to plain pools.
    valves: HashMap<PoolId, AdmissionControl>,
    outcomes: HashMap<InstanceId, Outcomes>,
    /// Requests sent with each shared prefix since the last report.
    sent: HashMap<u32, u32>,
    holders: PrefixIndex,
    /// Prefixes that went elsewhere than rank and age say, since the last report.
    moved: Vec<exchange::Moved>,
    /// Shares of hot prefixes in the fleet's traffic.
    hot: HashMap<u32, f64>,
    quarantine: Quarantine,
    notices: Notices,
    /// Data centres whose endpoints take no new work.
    drained: HashSet<DataCentreId>,
    /// Who shares what the fleet may send.
    fleet: Fleet,
    slow_starts: SlowStarts,
    /// Endpoints that are spared, as last logged.
    spared: HashSet<InstanceId>,
    #[debug(skip)]
    rng: Pcg32,
}

/// How this daemon's requests ended since the last report.
#[derive(Clone, Copy, Default)]
#[derive(Debug)]
struct Outcomes {
    good: u32,
    bad: u32,
}

/// Why a request is given to no endpoint.
#[derive(Debug, Display, Error)]
pub enum NoPlace {
    /// Its pool is asked for too much.
    #[display("overloaded")]
    Overloaded(#[error(not(source))] Box<Overload>),
    /// Requests that ask for the same have ended the endpoints that ran them.
    #[display("quarantined")]
    Quarantined {
        /// For how long no endpoint is sent it.
        wait: Millis,
    },
    /// There is no endpoint that wasn't tried.
    #[display("no endpoint")]
    Nothing,
}

/// Why a request isn't given to a pool.
#[derive(Debug)]
pub struct Overload {
    /// The endpoint that would have got it.
    pub choice: Choice,
    /// How long it would have taken there, in milliseconds.
    pub expected: f64,
    /// The share of requests that are taken.
    pub share: f64,
    /// When the caller may come back.
    pub wait: Millis,
}

impl View {
    /// Nothing is known yet.
    pub fn new(near: DataCentreId, repeats: budget::Settings, seed: u64, now: Millis) -> Self {
        Self {
            near,
            directory: Directory::default(),
            births: InstanceTracker::default(),
            loads: LoadTracker::default(),
            health: Health::default(),
            avoided: HashSet::new(),
            daemons: 1,
            budget: RetryBudget::new(repeats, now),
            paces: ResponseRates::default(),
            valves: HashMap::new(),
            outcomes: HashMap::new(),
            sent: HashMap::new(),
            holders: PrefixIndex::default(),
            moved: Vec::new(),
            hot: HashMap::new(),
            quarantine: Quarantine::default(),
            notices: Notices::default(),
            drained: HashSet::new(),
            fleet: Fleet::new(now),
            slow_starts: SlowStarts::default(),
            spared: HashSet::new(),
            rng: Pcg32::new(seed, seed),
        }
    }

    /// A random number from 0 to 1.
    pub fn draw(&mut self) -> f64 {
        self.rng.random()
    }

    /// How many endpoints are known.
    pub fn endpoints(&self) -> usize {
        self.directory.len()
    }

    /// Daemons that live, or may.
    pub fn daemons(&self) -> usize {
        self.fleet.size().max(self.daemons as usize)
    }

    /// Repeats that the fleet may send.
    pub const fn budget(&mut self) -> &mut RetryBudget {
        &mut self.budget
    }

    /// Whether a pool has an endpoint that takes new work and wasn't tried, other than this one.
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

    /// Picks an endpoint that takes new work, and counts the request there until [`Self::end`].
    ///
    /// # Errors
    ///
    /// When there is none, its pool is asked for too much, or the request is quarantined.
    pub fn choose(
        &mut self,
        pool: &PoolId,
        shared: Option<&SharedPrefix>,
        plan: &RetryPlan,
        now: Millis,
    ) -> Result<Choice> {
        // Asked before each attempt: the first one may have been the loss that was missing.
        let held = plan.fingerprint();
        if let Some(wait) = held.and_then(|held| self.quarantine.wait(held, now)) {
            return Err(NoPlace::Quarantined { wait });
        }
        let candidates = self.candidates(pool, shared, plan, now);
        let trial = plan.is_idempotent();
        let share = shared.map_or(0.0, |prefix| self.count(prefix));
        let rng = &mut self.rng;
        let choice = choose(&candidates, shared, share, &self.near, trial, rng);
        let choice = choice.ok_or(NoPlace::Nothing)?;
        if let Some(overload) = self.overload(pool, &choice, plan, now) {
            return Err(NoPlace::Overloaded(Box::new(overload)));
        }
        if let Some(prefix) = shared {
            self.note_sent(prefix, &choice, now);
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

    /// Remembers where a prefix goes, and tells of it where others can't know.
    fn note_sent(&mut self, prefix: &SharedPrefix, choice: &Choice, now: Millis) {
        if !is_worth_fetching(prefix) || !is_on(Mechanism::ToldPrefixes) {
            return;
        }
        let prefix = exchange::short_key(prefix.key);
        let endpoint = exchange::short_id(&choice.endpoint.id);
        let is_new = self.holders.record(prefix, endpoint, now);
        if is_new && choice.moved && self.moved.len() < exchange::MOVES {
            self.moved.push(exchange::Moved { prefix, endpoint });
        }
    }

    /// Notes that an endpoint to which a prefix was sent hasn't read it.
    pub fn take_back(&mut self, prefix: &SharedPrefix, id: &InstanceId) {
        let prefix = exchange::short_key(prefix.key);
        self.holders.remove(prefix, exchange::short_id(id));
    }

    /// Counts a request at an endpoint no more.
    pub fn end(&mut self, id: &InstanceId) {
        self.loads.end(id);
    }

    /// Takes what an endpoint tells of its work.
    pub fn report(&mut self, id: &InstanceId, report: LoadReport, now: Millis) {
        if self.directory.is_listed(id) {
            self.loads.report(id, report, now);
        }
    }

    /// Notes a good answer.
    pub fn good(&mut self, id: &InstanceId, now: Millis) {
        if !self.directory.is_listed(id) {
            return;
        }
        self.health.record_success(id, now);
        self.paces.record(id, 1, now);
        self.outcomes.entry(id.clone()).or_default().good += 1;
    }

    /// Notes a failed attempt.
    pub fn bad(&mut self, id: &InstanceId, fault: Fault, now: Millis) {
        if !self.directory.is_listed(id) {
            return;
        }
        self.health.record_failure(id, fault, now);
        if fault.is_loss() || fault == Fault::NotSent {
            // It may have started again.
            self.presume_started(id, now);
        }
        if fault == Fault::Failed {
            self.paces.record(id, 1, now);
        }
        if fault.is_failure() {
            self.outcomes.entry(id.clone()).or_default().bad += 1;
        }
    }

    /// Notes that an endpoint was lost with a request. It counts also where the endpoint isn't
    /// listed any more.
    pub fn lost(&mut self, plan: &RetryPlan, id: &InstanceId, now: Millis) -> Vec<Change> {
        let lost = plan.fingerprint();
        let lost = lost.map(|lost| self.quarantine.lost(lost, exchange::short_id(id), now));
        lost.unwrap_or_default()
    }

    /// Evidence against requests, and who is quarantined by it.
    pub const fn quarantine(&mut self) -> &mut Quarantine {
        &mut self.quarantine
    }

    /// What other daemons are told: requests in flight, and outcomes since the last report.
    pub fn own_report(&mut self, cut_off: bool) -> exchange::Report {
        let mut outcomes = std::mem::take(&mut self.outcomes);
        let sent = std::mem::take(&mut self.sent).into_iter();
        let sent = sent.map(|(prefix, count)| exchange::Sent { prefix, count });
        let entry = |(id, in_flight): (&InstanceId, u32)| {
            let Outcomes { good, bad } = outcomes.remove(id).unwrap_or_default();
            exchange::Entry {
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
            moved: std::mem::take(&mut self.moved),
            ..exchange::Report::default()
        }
    }

    /// Takes what the other daemons have at endpoints, all of them together.
    pub fn others(&mut self, heard: exchange::Heard, daemons: usize, now: Millis) {
        let daemons = u32::try_from(daemons).unwrap_or(u32::MAX);
        self.daemons = daemons;
        self.hot = heard.hot;
        for exchange::Moved { prefix, endpoint } in heard.moved {
            self.holders.record(prefix, endpoint, now);
        }
        for endpoint in self.directory.all() {
            let short = exchange::short_id(&endpoint.id);
            let others = heard.endpoints.get(&short).copied().unwrap_or_default();
            if is_on(Mechanism::ToldLoads) {
                self.loads.set_others(&endpoint.id, others.in_flight, now);
            }
            let health = &mut self.health;
            health.record_others(&endpoint.id, others.good, others.bad, now);
            let answers = others.good + others.bad;
            self.paces.record(&endpoint.id, answers, now);
        }
    }

    /// Counts a request with a shared prefix; returns the prefix's share of the fleet's traffic.
    fn count(&mut self, prefix: &SharedPrefix) -> f64 {
        let key = exchange::short_key(prefix.key);
        *self.sent.entry(key).or_default() += 1;
        self.hot.get(&key).copied().unwrap_or_default()
    }

    /// Whether a pool is asked for more than it can run, so that this request isn't taken.
    fn overload(
        &mut self,
        pool: &PoolId,
        choice: &Choice,
        plan: &RetryPlan,
        now: Millis,
    ) -> Option<Overload> {
        let target = plan.queue_target().filter(|_| is_on(Mechanism::Valve))?;
        let expected = self
            .paces
            .response_time(&choice.endpoint.id, choice.load, now)?;
        let valve = self.valves.entry(pool.clone()).or_default();
        let share = valve.update(expected, target, now);
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

    fn age(&self, id: &InstanceId, now: Millis) -> Millis {
        let joined = self.directory.listed_since(id);
        joined.map_or(Millis::MAX, |joined| now.since(joined))
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
        let prefix = prefix.filter(|prefix| self.holders.is_known(*prefix));
        let sent = |id: &InstanceId| {
            let prefix = prefix?;
            self.holders.age(prefix, exchange::short_id(id), now)
        };
        let listed = self.directory.pool(pool);
        let looks: Vec<HealthSnapshot> = listed
            .iter()
            .map(|endpoint| self.health.snapshot(&endpoint.id, now))
            .collect();
        let ready = listed.iter().zip(&looks).filter(|(e, _)| !e.leaving);
        let failures: PoolFailures = ready.map(|(_, look)| *look).collect();
        let candidate =
            |((endpoint, look), allowance): ((&Arc<Endpoint>, &HealthSnapshot), Allowance)| {
                let estimate = self.loads.estimate(&endpoint.id, now);
                // Where requests are drawn by load, all daemons would carry on each chance of others'
                // choices, and shun and fill the same endpoints together.
                let load = match shared {
                    Some(_) => estimate.extrapolated,
                    None => estimate.reported,
                };
                let others = failures.mean_of_others(look.failures);
                Candidate {
                    load,
                    load_age: estimate.age,
                    health: look.status(others, self.daemons, now),
                    tried: plan.has_tried(&endpoint.id),
                    drained: self.is_drained(endpoint),
                    allowance,
                    age: self.age(&endpoint.id, now),
                    prefix_age: sent(&endpoint.id),
                    endpoint: Arc::clone(endpoint),
                }
            };
        let listed = listed.iter().zip(&looks).zip(allowances);
        listed.map(candidate).collect()
    }
}
