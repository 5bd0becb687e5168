//! Baselines: policies without daemons, which see more than a fleet can.
//!
//! Each endpoint has one queue, run by the core's admission with exact counts and, where the policy keeps the
//! bound, with the exact mean.

use std::collections::HashMap;

use medlarrill_core::admission::{
    Action, Ending, Event, Home, Mean, Offer, Report, Settings, State,
};
use medlarrill_core::clock::Millis;
use medlarrill_core::config::{Pool, PoolKind};
use medlarrill_core::ids::EndpointId;
use medlarrill_core::placement::{Group, Node, prompt_work};
use medlarrill_core::reason::Reason;
use medlarrill_core::units::Tokens;
use rand::{RngExt, SeedableRng};
use rand_pcg::{Pcg32, Pcg64Mcg};

use super::engine::Start;
use super::plant::{Plant, Truth};
use super::world::PATIENCE;

/// The load bound, where it is kept.
const BOUND: f64 = 1.25;
/// A mean that bounds nothing.
const UNBOUNDED: Tokens = Tokens(1 << 40);
/// Delay with which an endpoint's state is known, in milliseconds.
const STATE_LAG: u64 = 500;
/// Endpoints that a request is offered to, where the policy passes on.
const MAX_TRIED: usize = 8;

/// Which baseline.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum Rule {
    /// Each entry deals its requests to all endpoints in turn.
    RoundRobin,
    /// The least load known to the entry, which lags.
    LeastKnown,
    /// The chat's first-ranked endpoint.
    Rendezvous,
    /// The chat's first-ranked endpoint under the bound, by exact loads.
    Bounded,
    /// The longest cached prefix under the bound, by exact caches and loads.
    AllKnowing,
}

enum Task {
    Place(u32),
    Act { endpoint: usize, action: Action },
}

struct Change {
    at: u64,
    endpoint: usize,
    state: State,
}

pub(super) struct Central {
    rule: Rule,
    homes: Vec<Home>,
    known: Vec<bool>,
    changes: Vec<Change>,
    tasks: Vec<Task>,
    /// Where each entry's turn is, for the round robin.
    turns: Vec<usize>,
    /// What each entry knows of loads, by region.
    loads: Vec<Vec<f64>>,
    group: Group<usize>,
    /// Endpoints that have served a chat, for the all-knowing.
    served: HashMap<u64, Vec<u16>>,
    rng: Pcg64Mcg,
}

impl Central {
    pub(super) fn new(rule: Rule, plant: &Plant, seed: u64) -> Self {
        let count = plant.engines.len();
        let slots = plant.size.engine.slots;
        let pool = Pool {
            slots,
            queue: slots * 4,
            load_bound: BOUND,
            ..Pool::new(PoolKind::Model)
        };
        let home = |n: usize| {
            let rng = Pcg32::seed_from_u64(seed ^ n as u64);
            let mut home = Home::new(Settings::new(&pool), rng, Millis::ZERO);
            let report = Report {
                as_of: Millis(1),
                slots,
                ..Report::default()
            };
            home.handle(Event::Report(report), Millis(1));
            home
        };
        let node = |(n, id): (usize, &EndpointId)| Node::new(n, id.as_str());
        let daemons = plant.size.daemons();
        Self {
            rule,
            homes: (0..count).map(home).collect(),
            known: vec![true; count],
            changes: Vec::new(),
            tasks: Vec::new(),
            turns: (0..daemons).collect(),
            loads: vec![vec![0.0; count]; daemons],
            group: Group::new(plant.names.endpoints.iter().enumerate().map(node).collect()),
            served: HashMap::new(),
            rng: Pcg64Mcg::seed_from_u64(seed ^ 3),
        }
    }

    const fn keeps_bound(&self) -> bool {
        matches!(self.rule, Rule::Bounded | Rule::AllKnowing)
    }

    pub(super) fn submit(&mut self, plant: &mut Plant, job: u32, now: u64) {
        self.tasks.push(Task::Place(job));
        self.work(plant, now);
    }

    fn work(&mut self, plant: &mut Plant, now: u64) {
        while let Some(task) = self.tasks.pop() {
            match task {
                Task::Place(job) => self.place(plant, job, now),
                Task::Act { endpoint, action } => self.act(plant, endpoint, action, now),
            }
        }
    }

    fn place(&mut self, plant: &mut Plant, id: u32, now: u64) {
        let Some(job) = plant.jobs.get(&id) else {
            return;
        };
        let (chat, tried) = (job.request.chat, job.tried.clone());
        let open = |n: &usize| self.known[*n] && !tried.contains(n);
        let chosen = match self.rule {
            Rule::RoundRobin => self.next_in_turn(&tried),
            Rule::LeastKnown => self.least_known(&tried),
            Rule::Rendezvous => {
                let mut ranked = self.group.top(chat, MAX_TRIED).into_iter().copied();
                ranked.find(open)
            }
            Rule::Bounded => self.first_open(plant, chat, &tried, now),
            Rule::AllKnowing => self.most_cached(plant, id, &tried, now),
        };
        let Some(endpoint) = chosen else {
            plant.refuse(id, Reason::NoEndpoint, Millis(1000), now);
            return;
        };
        self.offer(plant, id, endpoint, now);
    }

    fn next_in_turn(&mut self, tried: &[usize]) -> Option<usize> {
        let entry = self.rng.random_range(0..self.turns.len());
        let count = self.homes.len();
        for _ in 0..count {
            self.turns[entry] = (self.turns[entry] + 1) % count;
            let endpoint = self.turns[entry];
            if self.known[endpoint] && !tried.contains(&endpoint) {
                return Some(endpoint);
            }
        }
        None
    }

    fn least_known(&mut self, tried: &[usize]) -> Option<usize> {
        let entry = self.rng.random_range(0..self.loads.len());
        let loads = &mut self.loads[entry];
        let known = &self.known;
        let open = |n: &usize| known[*n] && !tried.contains(n);
        let all = (0..loads.len()).filter(open);
        let least = all.min_by(|a, b| loads[*a].total_cmp(&loads[*b]))?;
        loads[least] += 1.0;
        Some(least)
    }

    fn has_room(&self, endpoint: usize, now: u64) -> bool {
        let home = &self.homes[endpoint];
        let now = Millis(now);
        home.queued() == 0 && home.in_flight() < home.slots() && home.load(now) <= home.limit(now)
    }

    fn first_open(&self, plant: &Plant, chat: u64, tried: &[usize], now: u64) -> Option<usize> {
        let ranked = self.group.rank(chat);
        let takes = |n: &usize| self.known[*n] && plant.ready(*n);
        let open = |n: &usize| takes(n) && !tried.contains(n);
        let room = ranked.iter().copied().copied();
        let room = room.filter(open).find(|n| self.has_room(*n, now));
        room.or_else(|| ranked.into_iter().copied().find(open))
    }

    fn most_cached(&self, plant: &Plant, id: u32, tried: &[usize], now: u64) -> Option<usize> {
        let request = plant.jobs.get(&id)?.request;
        let open = |n: &usize| plant.ready(*n) && !tried.contains(n);
        let served = self.served.get(&request.chat);
        let served = served.into_iter().flatten().map(|n| usize::from(*n));
        let cached = |n: &usize| plant.engines[*n].cached(&request);
        let best = served
            .filter(open)
            .filter(|n| self.has_room(*n, now) && cached(n) > request.shared)
            .max_by_key(cached);
        let load = |n: &usize| self.homes[*n].load(Millis(now)) + self.homes[*n].queued_work();
        let all = || (0..self.homes.len()).filter(open);
        let least = || all().filter(|n| self.has_room(*n, now)).min_by_key(load);
        let cost = |n: &usize| load(n) + prompt_work(Tokens(u64::from(request.prompt - cached(n))));
        best.or_else(least).or_else(|| all().min_by_key(cost))
    }

    fn offer(&mut self, plant: &mut Plant, id: u32, endpoint: usize, now: u64) {
        let attempt = plant.attempt(id, endpoint);
        let cached = match self.rule {
            Rule::AllKnowing => {
                let request = plant.jobs.get(&id).map(|job| job.request);
                request.map_or(0, |request| plant.engines[endpoint].cached(&request))
            }
            _ => 0,
        };
        let Some(job) = plant.jobs.get_mut(&id) else {
            return;
        };
        job.cached = cached.into();
        if self.rule == Rule::AllKnowing {
            let served = self.served.entry(job.request.chat).or_default();
            if !served.contains(&(endpoint as u16)) {
                served.push(endpoint as u16);
            }
        }
        let request = &job.request;
        let institution = usize::from(request.institution);
        let offer = Offer {
            id: attempt,
            institution: plant.names.institutions[institution].clone(),
            share: plant.names.shares[institution],
            account: plant.names.accounts[usize::from(request.account)].clone(),
            prompt: prompt_work(Tokens(u64::from(request.prompt - cached))),
            output: Tokens(plant.size.output as u64),
            patience: PATIENCE,
            movable: self.keeps_bound() && job.tried.len() < MAX_TRIED,
            keep_local: false,
        };
        self.tell(endpoint, Event::Offer(offer), now);
    }

    fn tell(&mut self, endpoint: usize, event: Event, now: u64) {
        let actions = self.homes[endpoint].handle(event, Millis(now));
        for action in actions.into_iter().rev() {
            self.tasks.push(Task::Act { endpoint, action });
        }
    }

    fn act(&mut self, plant: &mut Plant, endpoint: usize, action: Action, now: u64) {
        let id = action.id().request.0 as u32;
        match action {
            Action::Dispatch { .. } => {
                if !plant.start(id, endpoint, endpoint, now) {
                    self.failed(plant, id, endpoint, now);
                }
            }
            Action::Refuse {
                reason,
                retry_after,
                ..
            } => plant.refuse(id, reason, retry_after, now),
            Action::PassOn { .. } => {
                if let Some(job) = plant.jobs.get_mut(&id) {
                    job.tried.push(endpoint);
                    job.number += 1;
                    self.tasks.push(Task::Place(id));
                }
            }
        }
    }

    fn failed(&mut self, plant: &mut Plant, id: u32, endpoint: usize, now: u64) {
        let attempt = plant.attempt(id, endpoint);
        let ending = Ending::Failed;
        self.tell(
            endpoint,
            Event::Finished {
                id: attempt,
                ending,
            },
            now,
        );
        if let Some(job) = plant.jobs.get_mut(&id) {
            job.tried.push(endpoint);
        }
        if plant.may_retry(id, now) {
            self.tasks.push(Task::Place(id));
        }
    }

    pub(super) fn lost(&mut self, plant: &mut Plant, starts: &[Start], endpoint: usize, now: u64) {
        for start in starts {
            self.failed(plant, start.job, endpoint, now);
            self.work(plant, now);
        }
    }

    pub(super) fn done(&mut self, plant: &mut Plant, start: &Start, endpoint: usize, now: u64) {
        let id = plant.attempt(start.job, endpoint);
        let ending = Ending::Done;
        plant.done(start, now);
        self.tell(endpoint, Event::Finished { id, ending }, now);
        self.work(plant, now);
    }

    pub(super) fn progress(&mut self, plant: &mut Plant, endpoint: usize, now: u64) {
        let engine = &plant.engines[endpoint];
        let told = |running: &super::engine::Running| {
            let output = Tokens(engine.generated(running) as u64);
            (plant.attempt(running.start.job, endpoint), output)
        };
        let told: Vec<_> = engine.running().iter().map(told).collect();
        for (id, output) in told {
            self.tell(endpoint, Event::Progress { id, output }, now);
        }
        self.work(plant, now);
    }

    /// The entries see the engines' loads anew.
    pub(super) fn report(&mut self, plant: &mut Plant, endpoint: usize) {
        plant.engines[endpoint].cache.evicted.clear();
        let load = plant.engines[endpoint].snapshot();
        for loads in &mut self.loads {
            loads[endpoint] = f64::from(load.running + load.waiting);
        }
    }

    pub(super) fn endpoint_changed(&mut self, endpoint: usize, truth: Truth, now: u64) {
        let state = match truth {
            Truth::Ready => State::Ready,
            Truth::Leaving => State::Leaving,
            Truth::Down => State::Unreachable,
        };
        let at = now + if now == 0 { 0 } else { STATE_LAG };
        self.changes.push(Change {
            at,
            endpoint,
            state,
        });
    }

    pub(super) fn tick(&mut self, plant: &mut Plant, now: u64) {
        let changes = std::mem::take(&mut self.changes);
        let (due, later): (Vec<_>, Vec<_>) = changes.into_iter().partition(|c| c.at <= now);
        self.changes = later;
        for change in due {
            self.known[change.endpoint] = change.state == State::Ready;
            self.tell(change.endpoint, Event::State(change.state), now);
            self.work(plant, now);
        }
        if now.is_multiple_of(100) {
            self.refresh(plant, now);
        }
    }

    fn refresh(&mut self, plant: &mut Plant, now: u64) {
        let ready = (0..self.homes.len()).filter(|n| plant.ready(*n));
        let loads: Vec<_> = ready.map(|n| self.homes[n].load(Millis(now)).0).collect();
        let mean = loads.iter().sum::<u64>() / loads.len().max(1) as u64;
        let load = if self.keeps_bound() {
            Tokens(mean)
        } else {
            UNBOUNDED
        };
        let mean = Mean {
            as_of: Millis(now),
            load,
            endpoints: loads.len() as u32,
        };
        for endpoint in 0..self.homes.len() {
            self.tell(endpoint, Event::Mean(mean), now);
        }
        self.work(plant, now);
    }
}
