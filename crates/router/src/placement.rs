//! What is known of endpoints, and where the next request goes.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use derive_more::Debug;
use medlarrill_core::clock::Millis;
use medlarrill_core::ids::{DataCentreId, EndpointId, PoolId};
use medlarrill_core::routing::attempt::Fault;
use medlarrill_core::routing::budget::{self, Budget};
use medlarrill_core::routing::choose::{Candidate, Choice, choose};
use medlarrill_core::routing::directory::Directory;
use medlarrill_core::routing::endpoint::Endpoint;
use medlarrill_core::routing::exchange;
use medlarrill_core::routing::health::{Health, PoolFailures, Standing};
use medlarrill_core::routing::load::{Loads, Report};
use medlarrill_core::routing::overload::{self, Paces, Valve};
use medlarrill_core::routing::plan::Plan;
use medlarrill_core::routing::request::SharedPrefix;
use rand::RngExt;
use rand_pcg::Pcg32;

/// State behind a lock that is held for a few instructions, never while waiting.
#[derive(Debug)]
pub struct Placement {
    state: Mutex<State>,
    near: DataCentreId,
}

#[derive(Debug)]
struct State {
    directory: Directory,
    loads: Loads,
    health: Health,
    /// Endpoints that are avoided, as last logged.
    avoided: HashSet<EndpointId>,
    /// Daemons that live.
    daemons: u32,
    budget: Budget,
    paces: Paces,
    /// Admission to plain pools.
    valves: HashMap<PoolId, Valve>,
    outcomes: HashMap<EndpointId, Outcomes>,
    /// Requests sent with each shared prefix since the last report.
    sent: HashMap<u32, u32>,
    /// Shares of hot prefixes in the fleet's traffic.
    hot: HashMap<u32, f64>,
    #[debug(skip)]
    rng: Pcg32,
}

/// How an endpoint is judged.
#[derive(Debug)]
struct Verdict {
    endpoint: EndpointId,
    standing: Standing,
    /// Its failure share.
    failures: f64,
    /// The mean of its pool's others.
    others: f64,
}

/// How this daemon's requests ended since the last report.
#[derive(Clone, Copy, Default)]
#[derive(Debug)]
struct Outcomes {
    good: u32,
    bad: u32,
}

/// Where a request goes.
#[derive(Debug)]
pub enum Pick {
    /// To this endpoint.
    Endpoint(Choice, Flight),
    /// Nowhere, since its pool is asked for too much.
    Overloaded(Box<Overload>),
    /// Nowhere, since there is no endpoint that wasn't tried.
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

/// A request at an endpoint, counted until it is dropped.
#[derive(Debug)]
pub struct Flight {
    placement: Arc<Placement>,
    id: EndpointId,
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.placement.lock().loads.end(&self.id);
    }
}

impl Placement {
    /// Nothing is known yet.
    pub fn new(near: DataCentreId, repeats: budget::Settings, seed: u64, now: Millis) -> Self {
        Self {
            state: Mutex::new(State {
                directory: Directory::default(),
                loads: Loads::default(),
                health: Health::default(),
                avoided: HashSet::new(),
                daemons: 1,
                budget: Budget::new(repeats, now),
                paces: Paces::default(),
                valves: HashMap::new(),
                outcomes: HashMap::new(),
                sent: HashMap::new(),
                hot: HashMap::new(),
                rng: Pcg32::new(seed, seed),
            }),
            near,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A random number from 0 to 1.
    pub fn draw(&self) -> f64 {
        self.lock().rng.random()
    }

    /// Takes an endpoint's entry; says whether it is new or changed.
    pub fn list(&self, endpoint: Endpoint, now: Millis) -> bool {
        self.lock().directory.list(endpoint, now)
    }

    /// Drops an endpoint's entry; says whether it was there.
    pub fn remove(&self, id: &EndpointId) -> bool {
        let mut state = self.lock();
        state.loads.forget(id);
        state.health.forget(id);
        state.avoided.remove(id);
        state.paces.forget(id);
        state.directory.remove(id)
    }

    /// How many endpoints are known.
    pub fn endpoints(&self) -> usize {
        self.lock().directory.len()
    }

    /// Daemons that live.
    pub fn daemons(&self) -> u32 {
        self.lock().daemons
    }

    /// Sets the repeats that the fleet may send.
    pub fn configure(&self, repeats: budget::Settings) {
        self.lock().budget.configure(repeats);
    }

    /// Counts a caller's request.
    pub fn request(&self, pool: &PoolId, now: Millis) {
        self.lock().budget.request(pool, now);
    }

    /// Whether a pool has an endpoint that takes new work and wasn't tried, other than this one.
    pub fn has_other(&self, pool: &PoolId, plan: &Plan, id: &EndpointId) -> bool {
        let state = self.lock();
        let mut ready = state.directory.pool(pool).iter().filter(|e| !e.leaving);
        ready.any(|endpoint| endpoint.id != *id && !plan.has_tried(&endpoint.id))
    }

    /// Takes a repeat from the budget.
    pub fn spend(&self, pool: &PoolId, now: Millis) -> bool {
        self.lock().budget.spend(pool, now)
    }

    /// Picks an endpoint that takes new work, and counts the request there.
    pub fn choose(
        self: &Arc<Self>,
        pool: &PoolId,
        shared: Option<&SharedPrefix>,
        plan: &Plan,
        now: Millis,
    ) -> Pick {
        let mut state = self.lock();
        let state = &mut *state;
        let candidates = state.candidates(pool, plan, now);
        let trial = plan.is_idempotent();
        let share = shared.map_or(0.0, |prefix| state.count(prefix));
        let rng = &mut state.rng;
        let Some(choice) = choose(&candidates, shared, share, &self.near, trial, rng) else {
            return Pick::Nothing;
        };
        if let Some(overload) = state.overload(pool, &choice, plan, now) {
            return Pick::Overloaded(Box::new(overload));
        }
        let id = choice.endpoint.id.clone();
        state.loads.begin(&id);
        if choice.trial {
            state.health.trial(&id, now);
        }
        let placement = Arc::clone(self);
        Pick::Endpoint(choice, Flight { placement, id })
    }

    /// Takes what an endpoint tells of its work.
    pub fn report(&self, id: &EndpointId, report: Report, now: Millis) {
        self.lock().loads.report(id, report, now);
    }

    /// Notes a good answer.
    pub fn good(&self, id: &EndpointId, now: Millis) {
        let mut state = self.lock();
        state.health.good(id, now);
        state.paces.answers(id, 1, now);
        state.outcomes.entry(id.clone()).or_default().good += 1;
    }

    /// Notes a failed attempt.
    pub fn bad(&self, id: &EndpointId, fault: Fault, now: Millis) {
        let mut state = self.lock();
        state.health.bad(id, fault, now);
        if fault == Fault::Failed {
            state.paces.answers(id, 1, now);
        }
        if fault.is_failure() {
            state.outcomes.entry(id.clone()).or_default().bad += 1;
        }
    }

    /// What other daemons are told: requests in flight, and outcomes since the last report.
    pub fn own_report(&self, cut_off: bool) -> exchange::Report {
        let mut state = self.lock();
        let mut outcomes = std::mem::take(&mut state.outcomes);
        let sent = std::mem::take(&mut state.sent).into_iter();
        let sent = sent.map(|(prefix, count)| exchange::Sent { prefix, count });
        let entry = |(id, in_flight): (&EndpointId, u32)| {
            let Outcomes { good, bad } = outcomes.remove(id).unwrap_or_default();
            exchange::Entry {
                endpoint: exchange::short_id(id),
                in_flight,
                good,
                bad,
            }
        };
        let entries = state.loads.in_flight().map(entry);
        let entries = entries.filter(|entry| entry.in_flight + entry.good + entry.bad > 0);
        exchange::Report {
            entries: entries.collect(),
            cut_off,
            sent: sent.collect(),
            ..exchange::Report::default()
        }
    }

    /// Logs which endpoints are avoided from now on, and which no more.
    pub fn review(&self, now: Millis) {
        let changes = self.lock().review(now);
        for Verdict {
            endpoint,
            standing,
            failures,
            others,
        } in changes
        {
            let avoided = standing.is_avoided();
            log::info!(
                target: "placement", endpoint = endpoint.as_str(), avoided, standing:? = standing, failures, others;
                "placement: endpoint judged anew"
            );
        }
    }

    /// Takes what the other daemons have at endpoints, all of them together.
    pub fn others(&self, heard: exchange::Heard, daemons: usize, now: Millis) {
        let mut state = self.lock();
        let state = &mut *state;
        let daemons = u32::try_from(daemons).unwrap_or(u32::MAX);
        state.budget.share_with(daemons);
        state.daemons = daemons;
        state.hot = heard.hot;
        for endpoint in state.directory.all() {
            let short = exchange::short_id(&endpoint.id);
            let others = heard.endpoints.get(&short).copied().unwrap_or_default();
            state.loads.others(&endpoint.id, others.in_flight, now);
            let health = &mut state.health;
            health.others(&endpoint.id, others.good, others.bad, now);
            let answers = others.good + others.bad;
            state.paces.answers(&endpoint.id, answers, now);
        }
    }
}

impl State {
    /// Endpoints that are avoided from now on, or no more.
    fn review(&mut self, now: Millis) -> Vec<Verdict> {
        let mut changes = Vec::new();
        for pool in self.directory.pools() {
            let failures = self.failures(pool, now);
            for endpoint in pool {
                let id = &endpoint.id;
                let (standing, others) = self.standing(id, failures, now);
                if standing.is_avoided() == self.avoided.contains(id) {
                    continue;
                }
                changes.push(Verdict {
                    endpoint: id.clone(),
                    standing,
                    failures: self.health.failures(id, now),
                    others,
                });
            }
        }
        for verdict in &changes {
            match verdict.standing.is_avoided() {
                true => self.avoided.insert(verdict.endpoint.clone()),
                false => self.avoided.remove(&verdict.endpoint),
            };
        }
        changes
    }

    /// Failure shares of the endpoints of a pool that take new work.
    fn failures(&self, pool: &[Arc<Endpoint>], now: Millis) -> PoolFailures {
        let ready = pool.iter().filter(|endpoint| !endpoint.leaving);
        self.health.pool(ready.map(|endpoint| &endpoint.id), now)
    }

    /// How an endpoint stands, and the mean failure share of its pool's others.
    fn standing(&self, id: &EndpointId, pool: PoolFailures, now: Millis) -> (Standing, f64) {
        let others = pool.others(self.health.failures(id, now));
        let standing = self.health.standing(id, others, self.daemons, now);
        (standing, others)
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
        plan: &Plan,
        now: Millis,
    ) -> Option<Overload> {
        let target = plan.queue_target()?;
        let expected = self.paces.time(&choice.endpoint.id, choice.load, now)?;
        let valve = self.valves.entry(pool.clone()).or_default();
        let share = valve.take(expected, target, now);
        let may_refuse = overload::may_refuse(choice.load, choice.endpoint.slots);
        if !may_refuse || self.rng.random::<f64>() < share {
            return None;
        }
        Some(Overload {
            choice: choice.clone(),
            expected,
            share,
            wait: overload::come_back(target, self.rng.random()),
        })
    }

    fn age(&self, id: &EndpointId, now: Millis) -> Millis {
        let joined = self.directory.joined(id);
        joined.map_or(Millis::MAX, |joined| now.since(joined))
    }

    fn candidates(&self, pool: &PoolId, plan: &Plan, now: Millis) -> Vec<Candidate> {
        let listed = self.directory.pool(pool);
        let failures = self.failures(listed, now);
        let candidate = |endpoint: &Arc<Endpoint>| Candidate {
            load: self.loads.total(&endpoint.id, now),
            load_age: self.loads.age(&endpoint.id, now),
            standing: self.standing(&endpoint.id, failures, now).0,
            tried: plan.has_tried(&endpoint.id),
            age: self.age(&endpoint.id, now),
            endpoint: Arc::clone(endpoint),
        };
        listed.iter().map(candidate).collect()
    }
}
