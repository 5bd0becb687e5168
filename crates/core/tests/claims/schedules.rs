//! Seeded schedules of requests and faults, against the properties of the oracle.
//!
//! `MEDLARRILL_SCHEDULES` sets how many run; `MEDLARRILL_SEED` the first seed.

use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::counts::Counts;
use crate::fleet::Fleet;
use crate::steps::{Odds, Step};

/// Schedules unless set.
const SCHEDULES: u64 = 1000;

/// Length of a schedule, before all faults end.
const LENGTH: u64 = 20_000;

fn setting(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn odds(rng: &mut Pcg64) -> Odds {
    let mut pick = |choices: [u32; 4]| choices[rng.random_range(0..choices.len())];
    Odds {
        lose_reply: pick([0, 2, 10, 30]),
        lose_call: pick([0, 1, 5, 15]),
        late: pick([0, 2, 10, 30]),
        lose_message: pick([0, 0, 5, 20]),
        repeat_message: pick([0, 0, 5, 20]),
    }
}

/// Adds a fault that begins at `at` and its end.
fn fault(fleet: &mut Fleet, rng: &mut Pcg64, daemons: usize, at: Millis) {
    let daemon = rng.random_range(0..daemons);
    let other = rng.random_range(0..daemons);
    let end = at + Millis(rng.random_range(1..12_000));
    match rng.random_range(0..8) {
        0 => fleet.step_at(at, Step::Crash(daemon)),
        1 => fleet.step_at(at, Step::Stop(daemon)),
        2 => {
            fleet.step_at(at, Step::Outage(true));
            fleet.step_at(end, Step::Outage(false));
        }
        3 => {
            let cut = |on| Step::Cut {
                from: daemon,
                to: other,
                on,
            };
            fleet.step_at(at, cut(true));
            fleet.step_at(end, cut(false));
        }
        4 | 5 => {
            fleet.step_at(at, Step::Pause(daemon));
            fleet.step_at(end, Step::Resume(daemon));
        }
        _ => fleet.step_at(at, Step::Place(daemon)),
    }
}

fn schedule(seed: u64) -> Fleet {
    let mut rng = Pcg64::seed_from_u64(seed);
    let daemons = rng.random_range(2..=3);
    let mut fleet = Fleet::new(seed, daemons, odds(&mut rng));
    let keys = rng.random_range(1..=8);
    fleet.step_at(Millis::ZERO, Step::Place(0));
    for _ in 0..rng.random_range(20..60) {
        let step = Step::Request {
            daemon: rng.random_range(0..daemons),
            key: rng.random_range(0..keys),
            body: u8::from(rng.random_range(0..20) == 0),
        };
        fleet.step_at(Millis(rng.random_range(0..LENGTH)), step);
    }
    for _ in 0..rng.random_range(2..14) {
        let at = Millis(rng.random_range(0..LENGTH));
        fault(&mut fleet, &mut rng, daemons, at);
    }
    for at in (0..LENGTH).step_by(1000) {
        fleet.step_at(Millis(at), Step::Audit);
    }
    fleet.run(Millis(LENGTH));
    fleet.heal();
    fleet
}

#[gtest]
fn no_second_run_no_false_not_run_no_lost_grant() {
    let count = setting("MEDLARRILL_SCHEDULES", SCHEDULES);
    let first = setting("MEDLARRILL_SEED", 1);
    let mut counts = Counts::default();
    let mut violations = Vec::new();
    for seed in first..first + count {
        let fleet = schedule(seed);
        counts.add(&fleet.counts);
        let found = fleet.oracle.violations.into_iter();
        violations.extend(found.map(|violation| format!("seed {seed}: {violation}")));
    }
    println!("{count} schedules from seed {first}: {counts:#?}");
    violations.truncate(10);
    expect_that!(violations, is_empty());
}
