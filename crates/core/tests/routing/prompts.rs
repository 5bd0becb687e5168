//! Simulates engines with empty prefix caches behind many daemons, and measures the time to the
//! first event.
//!
//! An engine reads prompts one after the other and caches the shared prefixes that it has read.
//! Long summaries, questions and short labels arrive together, at rates that keep five or six of
//! them at each engine.

use std::collections::{HashSet, VecDeque};

use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::config::RetryPolicy;
use medlarrill_core::routing::endpoint::InstanceId;
use medlarrill_core::routing::plan::RetryPlan;
use medlarrill_core::routing::request::SharedPrefix;
use medlarrill_core::routing::view::View;
use medlarrill_core::units::Tokens;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use super::support::{SimulatedHub, endpoint, pool, prefix, route, view};

const DAEMONS: usize = 60;
const ENGINES: usize = 60;
/// Interval between reports of a daemon, and between summaries of the hub, in milliseconds like
/// all times here.
const TICK: u64 = 200;
/// Prompt tokens that an engine reads in a millisecond, besides running its streams.
const READ_RATE: f64 = 38.0;
/// Time to fetch a prefix from another engine.
const FETCH_TIME: f64 = 30.0;
/// Target time to the first event.
const TARGET: u64 = 1000;
/// Mean number of requests for one prefix.
const REQUESTS_PER_PREFIX: f64 = 4.5;
/// The first seconds, in which caches are nearly empty.
const COLD_PERIOD: u64 = 3000;
const DURATION: u64 = 20_000;

/// A kind of request.
#[derive(Clone, Copy)]
struct Kind {
    /// Requests a second for each engine.
    rate: f64,
    /// Tokens of the prefix that it shares with a few others.
    shared: f64,
    /// Tokens that no other request shares.
    own: f64,
    /// Time from the first event to the last.
    stream: u64,
}

const KINDS: [Kind; 3] = [
    Kind {
        rate: 1.3,
        shared: 10_500.0,
        own: 1300.0,
        stream: 1100,
    },
    Kind {
        rate: 2.2,
        shared: 700.0,
        own: 130.0,
        stream: 900,
    },
    Kind {
        rate: 1.9,
        shared: 2000.0,
        own: 360.0,
        stream: 100,
    },
];

struct Run {
    arrived: u64,
    daemon: usize,
    kind: Kind,
    key: u64,
    /// Whether the prefix is fetched from another engine.
    fetched: bool,
    /// Tokens still to be read; unknown before reading begins.
    remaining: Option<f64>,
}

struct Engine {
    id: InstanceId,
    cached: HashSet<u64>,
    waiting: VecDeque<Run>,
    running: Vec<(u64, usize)>,
}

impl Engine {
    /// Reads prompts for a millisecond; returns the requests whose first event is due.
    fn read(&mut self) -> Vec<Run> {
        let mut budget = READ_RATE;
        let mut read = Vec::new();
        while budget > 0.0
            && let Some(run) = self.waiting.front_mut()
        {
            let shared = match (self.cached.contains(&run.key), run.fetched) {
                (true, _) => 0.0,
                (false, true) => FETCH_TIME * READ_RATE,
                (false, false) => run.kind.shared,
            };
            let remaining = run.remaining.get_or_insert(run.kind.own + shared);
            let step = remaining.min(budget);
            *remaining -= step;
            budget -= step;
            if *remaining <= 0.0 {
                self.cached.insert(run.key);
                read.extend(self.waiting.pop_front());
            }
        }
        read
    }
}

/// Measured results.
#[derive(Clone, Copy, Default, Debug)]
struct Results {
    /// Share of first events in time, of requests of the cold period.
    cold: f64,
    /// The same, of all later requests.
    warm: f64,
    /// Mean number of times that engines read each prefix; at least one.
    readings: f64,
}

struct Simulation {
    rng: Pcg32,
    engines: Vec<Engine>,
    daemons: Vec<View>,
    hub: SimulatedHub,
    /// Requests, and those of them in time, of the cold period and of the time after it.
    counts: [(f64, f64); 2],
    /// Requests whose engine had to read their shared prefix.
    readings: f64,
    /// Requested prefixes.
    prefixes: HashSet<u64>,
}

impl Simulation {
    fn new() -> Self {
        let name = |number: usize| format!("e{number}");
        let daemon = |number: usize| {
            let mut view = view("near", number as u64);
            (0..ENGINES).for_each(|at| {
                view.upsert(endpoint(&name(at)), Millis(0));
            });
            view
        };
        let engine = |number: usize| Engine {
            id: endpoint(&name(number)).id,
            cached: HashSet::new(),
            waiting: VecDeque::new(),
            running: Vec::new(),
        };
        Self {
            rng: Pcg32::seed_from_u64(3),
            engines: (0..ENGINES).map(engine).collect(),
            daemons: (0..DAEMONS).map(daemon).collect(),
            hub: SimulatedHub::new(TICK),
            counts: [(0.0, 0.0); 2],
            readings: 0.0,
            prefixes: HashSet::new(),
        }
    }

    fn step_engine(&mut self, at: usize, now: u64) {
        let engine = &mut self.engines[at];
        for run in engine.read() {
            engine.running.push((now + run.kind.stream, run.daemon));
            let counts = &mut self.counts[usize::from(run.arrived >= COLD_PERIOD)];
            counts.0 += 1.0;
            counts.1 += f64::from(u8::from(now - run.arrived <= TARGET));
        }
        let is_over = |run: &mut (u64, usize)| run.0 <= now;
        for (_, daemon) in engine.running.extract_if(.., is_over) {
            let view = &mut self.daemons[daemon];
            view.end(&engine.id);
            view.record_success(&engine.id, Millis(now));
        }
    }

    fn arrive(&mut self, kind: Kind, keys: std::ops::Range<u64>, now: u64) {
        let daemon = self.rng.random_range(0..DAEMONS);
        let key = self.rng.random_range(keys);
        let shared = SharedPrefix {
            tokens: Tokens(kind.shared as u64),
            ..prefix(key)
        };
        let plan = RetryPlan::new(&route(RetryPolicy::Resume, 2), Millis(now + 10_000));
        let view = &mut self.daemons[daemon];
        let choice = view.choose(&pool(), Some(&shared), &plan, Millis(now));
        let choice = choice.expect("an engine");
        let holds = |id: &InstanceId| {
            let mut engines = self.engines.iter();
            engines.any(|engine| engine.id == *id && engine.cached.contains(&key))
        };
        let fetched = choice
            .source
            .as_ref()
            .is_some_and(|source| holds(&source.id));
        if !fetched && !holds(&choice.endpoint.id) {
            self.readings += 1.0;
        }
        self.prefixes.insert(key);
        let is_picked = |engine: &&mut Engine| engine.id == choice.endpoint.id;
        let engine = self.engines.iter_mut().find(is_picked).expect("an engine");
        engine.waiting.push_back(Run {
            arrived: now,
            daemon,
            kind,
            key,
            fetched,
            remaining: None,
        });
    }

    /// Runs the simulation at `scale` times the usual request rates.
    fn simulate(mut self, scale: f64) -> Results {
        for now in 0..DURATION {
            (0..ENGINES).for_each(|at| self.step_engine(at, now));
            self.hub.exchange_reports(&mut self.daemons, now);
            let mut first = 0;
            for kind in KINDS {
                let per_ms = scale * kind.rate * ENGINES as f64 / 1000.0;
                let keys = first..first + (per_ms * DURATION as f64 / REQUESTS_PER_PREFIX) as u64;
                first = keys.end;
                if self.rng.random::<f64>() < per_ms {
                    self.arrive(kind, keys, now);
                }
            }
        }
        let [cold, warm] = self.counts.map(|(all, in_time)| in_time / all);
        Results {
            cold,
            warm,
            readings: self.readings / self.prefixes.len() as f64,
        }
    }
}

/// At twice the usual load 946 in 1,000 first events of the first three seconds are in time, and
/// 998 in 1,000 later on.
#[gtest]
fn a_cold_pool_at_twice_its_usual_load_keeps_few_callers_waiting() {
    let got = Simulation::new().simulate(2.0);
    expect_that!(got.cold, gt(0.93), "{got:?}");
    expect_that!(got.warm, gt(0.99), "{got:?}");
    expect_that!(got.readings, lt(1.15), "{got:?}");
}
