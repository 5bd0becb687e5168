//! Measures placement, bound and limits under load and faults, in model time.
//!
//! The core's own decisions run against a small model of engines, with modelled daemons whose views lag and differ.
//! Nothing here depends on the machine's time: the same seed gives the same figures.

mod cache;
mod central;
mod engine;
mod fleet;
mod measure;
mod plant;
pub mod plot;
pub mod report;
pub mod scenario;
pub mod size;
pub mod trace;
mod world;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock};

use derive_more::Display;
use serde::Serialize;

use self::measure::Measure;
use self::report::Row;
use self::scenario::Scenario;
use self::size::Size;
use self::trace::Trace;
use self::world::Setup;

/// Offered load of the calibration, as a multiple of the engines' slots in use.
const FLOOD: f64 = 1.6;

/// A policy.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
#[derive(Display, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// The fleet's own.
    #[display("fleet")]
    Fleet,
    /// Each entry in turn.
    #[display("round-robin")]
    RoundRobin,
    /// The least load known, which lags.
    #[display("least-known")]
    LeastKnown,
    /// The first-ranked endpoint.
    #[display("rendezvous")]
    Rendezvous,
    /// The first-ranked endpoint under the bound, without memory.
    #[display("bounded")]
    Bounded,
    /// Sees every cache and load at once.
    #[display("all-knowing")]
    AllKnowing,
}

/// All policies, the limit first.
pub const POLICIES: [Policy; 6] = [
    Policy::AllKnowing,
    Policy::Fleet,
    Policy::Bounded,
    Policy::Rendezvous,
    Policy::LeastKnown,
    Policy::RoundRobin,
];

/// Faults of what the fleet is told.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Switches {
    /// Lag of the engines' reports, in milliseconds.
    pub report_lag: u64,
    /// Whether cache events are used.
    pub hints: bool,
    /// Share of cache events that are lost.
    pub event_gaps: f64,
}

impl Default for Switches {
    fn default() -> Self {
        Self {
            report_lag: 500,
            hints: true,
            event_gaps: 0.1,
        }
    }
}

/// What to run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of traces and draws.
    pub seed: u64,
    /// Sizes.
    pub sizes: Vec<Size>,
    /// Scenarios, by name.
    pub scenarios: Vec<String>,
    /// Policies.
    pub policies: Vec<Policy>,
    /// Faults.
    pub switches: Switches,
    /// Threads.
    pub threads: usize,
}

struct Task {
    size: usize,
    scenario: Scenario,
    trace: Arc<OnceLock<Arc<Trace>>>,
    policy: Policy,
}

/// Runs everything; `progress` hears of each run that is over, of how many.
pub fn run(options: &Options, progress: &(dyn Fn(usize, usize) + Sync)) -> Vec<Row> {
    let capacities = in_parallel(options.threads, &options.sizes, |size| {
        capacity(size, options)
    });
    let tasks = tasks(options);
    let over = AtomicUsize::new(0);
    let rows = in_parallel(options.threads, &tasks, |task| {
        let (size, capacity) = (&options.sizes[task.size], &capacities[task.size]);
        let trace = task.trace.get_or_init(|| {
            let rate = capacity.requests * task.scenario.load;
            let bursts = &task.scenario.bursts;
            Arc::new(Trace::new(size, rate, bursts, options.seed))
        });
        let setup = Setup {
            size: size.clone(),
            scenario: task.scenario.clone(),
            policy: task.policy,
            trace: trace.clone(),
            switches: options.switches,
            seed: options.seed,
        };
        let measure = world::run(&setup);
        progress(over.fetch_add(1, Ordering::Relaxed) + 1, tasks.len());
        Row::new(&setup, capacity.tokens, measure)
    });
    report::compared(rows)
}

fn tasks(options: &Options) -> Vec<Task> {
    let mut tasks = Vec::new();
    for (number, size) in options.sizes.iter().enumerate().rev() {
        for name in &options.scenarios {
            let Some(scenario) = Scenario::named(name, size) else {
                continue;
            };
            let trace = Arc::new(OnceLock::new());
            for policy in &options.policies {
                tasks.push(Task {
                    size: number,
                    scenario: scenario.clone(),
                    trace: trace.clone(),
                    policy: *policy,
                });
            }
        }
    }
    tasks
}

/// What an installation completes at most, by the all-knowing placement under a flood.
#[derive(Clone, Copy, Debug)]
struct Capacity {
    /// Requests a second.
    requests: f64,
    /// Generated tokens a second.
    tokens: f64,
}

fn capacity(size: &Size, options: &Options) -> Capacity {
    let engine = &size.engine;
    let slots = f64::from(engine.slots);
    let step = engine.step + engine.step_each * slots;
    let rate = size.endpoints() as f64 * slots * 1000.0 / (step * size.output);
    let size = Size {
        measured: size.measured / 2,
        ..size.clone()
    };
    let scenario = Scenario::named("steady", &size).unwrap_or_else(|| unreachable!());
    let setup = Setup {
        trace: Arc::new(Trace::new(&size, rate * FLOOD, &[], options.seed ^ 9)),
        size,
        scenario,
        policy: Policy::AllKnowing,
        switches: options.switches,
        seed: options.seed,
    };
    let Measure {
        done, done_tokens, ..
    } = world::run(&setup);
    let seconds = setup.size.measured as f64;
    Capacity {
        requests: done as f64 / seconds,
        tokens: done_tokens as f64 / seconds,
    }
}

/// Applies a function to all items on some threads; results are in the items' order.
fn in_parallel<T: Sync, R: Send>(
    threads: usize,
    items: &[T],
    work: impl Fn(&T) -> R + Sync,
) -> Vec<R> {
    let next = AtomicUsize::new(0);
    let results = Mutex::new(BTreeMap::new());
    std::thread::scope(|scope| {
        for _ in 0..threads.clamp(1, items.len().max(1)) {
            scope.spawn(|| {
                while let Some((number, item)) = {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    items.get(number).map(|item| (number, item))
                } {
                    let result = work(item);
                    if let Ok(mut results) = results.lock() {
                        results.insert(number, result);
                    }
                }
            });
        }
    });
    let results = results.into_inner().unwrap_or_default();
    results.into_values().collect()
}
