//! Retries of a fleet as its endpoints count them, in simulated time: daemons are cut off, killed
//! and stopped in series, and callers move between them.

use std::net::SocketAddr;

use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::budget::Settings;
use medlarrill_core::routing::exchange::PeerUpdate;
use medlarrill_core::routing::view::View;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use super::support::pool;

const WINDOW: u64 = 10_000;
/// Requests a second of the fleet.
const RATE: f64 = 72.0;
const STEP: u64 = 5;
/// Time at which daemons begin to fail, in milliseconds like all times here.
const DISRUPTION_START: u64 = 30_000;
const END: u64 = 70_000;
/// Longest delay of a request to an endpoint.
const MAX_DELAY: u64 = 40;
/// Time from the start of a daemon until it knows which others are live.
const DISCOVERY_TIME: u64 = 300;
const SEEDS: u64 = 12;

const FLEET: Settings = Settings {
    ratio: 0.2,
    window: Millis(WINDOW),
    slack: 58.0,
};

/// Disruptions of daemons.
#[derive(Clone, Copy)]
struct Disruption {
    /// Greatest number of groups of daemons that are cut off from each other.
    groups: usize,
    /// Time between two series of kills; 0 for none.
    kills: u64,
    /// Time between two stops, each of the next daemon in turn; 0 for none.
    stops: u64,
    /// Whether daemons that start while cut off can't reach the platform either.
    lacks_platform: bool,
}

const NO_DISRUPTION: Disruption = Disruption {
    groups: 1,
    kills: 0,
    stops: 0,
    lacks_platform: false,
};

/// Counts of the endpoints.
#[derive(Default)]
struct Counts {
    requests: Vec<u64>,
    retries: Vec<u64>,
    /// Retries that daemons requested from their budgets.
    requested: usize,
}

impl Counts {
    fn between(times: &[u64], from: u64, to: u64) -> usize {
        let before = |end: u64| times.partition_point(|at| *at < end);
        before(to) - before(from)
    }

    /// Most retries above the allowed number, in any window.
    fn excess(&self) -> f64 {
        let half = WINDOW / 2;
        let over = |from: &u64| {
            let ends = [from + WINDOW, from + half, *from];
            let requests = ends.map(|end| Self::between(&self.requests, end - WINDOW, end));
            let most = requests.into_iter().max().unwrap_or_default() as f64;
            let retries = Self::between(&self.retries, *from, from + WINDOW) as f64;
            retries - (FLEET.ratio * most + FLEET.slack)
        };
        self.retries.iter().map(over).fold(f64::MIN, f64::max)
    }

    fn granted(&self) -> f64 {
        self.retries.len() as f64 / self.requested as f64
    }
}

struct Daemon {
    view: View,
    started: u64,
    /// Daemons of the same group reach each other.
    group: usize,
    /// Time until which it is down.
    down: u64,
}

struct Fleet {
    daemons: Vec<Daemon>,
    /// Daemon to which each caller is connected.
    callers: Vec<usize>,
    disruption: Disruption,
    rng: Pcg32,
}

impl Fleet {
    fn new(size: usize, disruption: Disruption, seed: u64) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        let callers = (0..size * 5).map(|_| rng.random_range(0..size)).collect();
        let mut fleet = Self {
            daemons: Vec::new(),
            callers,
            disruption,
            rng,
        };
        for number in 0..size {
            let started = fleet.rng.random_range(0..300);
            let mut view = new_view(started);
            set_listed(&mut view, number, size);
            fleet.daemons.push(Daemon {
                view,
                started,
                group: 0,
                down: 0,
            });
        }
        fleet
    }

    /// Ends a daemon, which starts again after 400 ms.
    fn restart(&mut self, number: usize, now: u64) {
        let (size, lacks_platform) = (self.daemons.len(), self.disruption.lacks_platform);
        let daemon = &mut self.daemons[number];
        daemon.down = now + 400;
        daemon.started = daemon.down;
        daemon.view = new_view(daemon.down);
        if !lacks_platform || daemon.group == 0 {
            set_listed(&mut daemon.view, number, size);
        }
    }

    fn disrupt(&mut self, now: u64) {
        let Disruption {
            groups,
            kills,
            stops,
            ..
        } = self.disruption;
        let size = self.daemons.len();
        if groups > 1 && now.is_multiple_of(9000) {
            for daemon in &mut self.daemons {
                daemon.group = self.rng.random_range(0..groups);
            }
        }
        if kills > 0 && now.is_multiple_of(kills) {
            for number in 0..size {
                if self.rng.random::<f64>() < 0.6 {
                    self.restart(number, now);
                }
            }
        }
        if stops > 0 && now.is_multiple_of(stops) {
            let number = (now / stops) as usize % size;
            self.restart(number, now);
            self.daemons[number].down = now + 3000;
        }
        for caller in 0..self.callers.len() {
            let is_up = |daemon: &Daemon| now >= daemon.down;
            let others = (0..size).filter(|other| is_up(&self.daemons[*other]));
            if !is_up(&self.daemons[self.callers[caller]])
                && let Some(other) = others.choose(&mut self.rng)
            {
                self.callers[caller] = other;
            }
        }
    }

    /// Updates the number of live daemons that each daemon sees.
    fn update_live(&mut self, now: u64) {
        for number in 0..self.daemons.len() {
            let group = self.daemons[number].group;
            let others = self.daemons.iter().enumerate();
            let reachable = others.filter(|(other, daemon)| {
                *other == number || daemon.group == group && now >= daemon.down + DISCOVERY_TIME
            });
            let live = reachable.count();
            let daemon = &mut self.daemons[number];
            if now >= daemon.started + DISCOVERY_TIME {
                daemon
                    .view
                    .update_peers(PeerUpdate::default(), live, Millis(now));
                daemon.view.set_live(live, Millis(now));
            }
        }
    }

    /// Runs the simulation, with disruptions from `DISRUPTION_START` on; `failing` gives the share
    /// of attempts that fail at a time.
    fn simulate(mut self, failing: impl Fn(u64) -> f64) -> Counts {
        let mut counted = Counts::default();
        for now in (0..END).step_by(STEP as usize) {
            if now >= DISRUPTION_START {
                self.disrupt(now);
            }
            if now.is_multiple_of(100) {
                self.update_live(now);
            }
            if self.rng.random::<f64>() < RATE * STEP as f64 / 1000.0 {
                self.request(now, failing(now), &mut counted);
            }
        }
        counted.retries.sort_unstable();
        counted
    }

    fn request(&mut self, now: u64, failing: f64, counted: &mut Counts) {
        let caller = self.rng.random_range(0..self.callers.len());
        let daemon = &mut self.daemons[self.callers[caller]];
        counted.requests.push(now);
        if now < daemon.down {
            return;
        }
        let budget = daemon.view.budget();
        budget.record_request(&pool(), Millis(now));
        while self.rng.random::<f64>() < failing {
            counted.requested += 1;
            if !budget.try_spend(&pool(), Millis(now)) {
                break;
            }
            counted
                .retries
                .push(now + self.rng.random_range(0..MAX_DELAY));
        }
    }
}

fn new_view(now: u64) -> View {
    let near = "near".parse().expect("a name");
    let mut view = View::new(near, FLEET, now, Millis(now));
    view.update_peers(PeerUpdate::default(), 1, Millis(now));
    view
}

fn address(number: usize) -> SocketAddr {
    ([10, 0, 0, number as u8], 7340).into()
}

/// Gives a daemon the platform's list of daemons.
fn set_listed(view: &mut View, number: usize, size: usize) {
    let all = (0..size).map(address).collect();
    view.set_daemons(address(number), "near", all);
}

/// Most retries above the allowed number over all seeds, with half of all attempts failing.
fn worst_excess(size: usize, disruption: Disruption) -> f64 {
    let failing = |now: u64| if now < DISRUPTION_START { 0.0 } else { 0.5 };
    let excess = |seed| {
        Fleet::new(size, disruption, seed)
            .simulate(failing)
            .excess()
    };
    (0..SEEDS).map(excess).fold(f64::MIN, f64::max)
}

#[gtest]
fn daemons_that_hear_no_others_keep_to_their_part_of_the_repeats() {
    for groups in [2, 3, 9] {
        expect_that!(
            worst_excess(
                9,
                Disruption {
                    groups,
                    ..NO_DISRUPTION
                }
            ),
            le(0.0),
            "{groups} groups"
        );
    }
}

#[gtest]
fn daemons_killed_again_and_again_dont_begin_with_new_repeats() {
    for kills in [1500, 2200, 5000] {
        expect_that!(
            worst_excess(
                9,
                Disruption {
                    kills,
                    ..NO_DISRUPTION
                }
            ),
            le(0.0),
            "every {kills} ms"
        );
    }
}

#[gtest]
fn callers_of_daemons_that_stop_in_turn_bring_no_repeats_of_before() {
    for stops in [500, 1000, 2000] {
        expect_that!(
            worst_excess(
                9,
                Disruption {
                    stops,
                    ..NO_DISRUPTION
                }
            ),
            le(0.0),
            "every {stops} ms"
        );
    }
}

#[gtest]
fn daemons_that_start_while_cut_off_from_all_have_no_part_of_the_slack() {
    let disruption = Disruption {
        groups: 4,
        kills: 2200,
        stops: 0,
        lacks_platform: true,
    };
    expect_that!(worst_excess(9, disruption), le(0.0));
    expect_that!(worst_excess(40, disruption), le(0.0));
}

#[gtest]
fn a_calm_fleet_repeats_nearly_all_that_fails_now_and_then() {
    let failing = |now: u64| if now < DISRUPTION_START { 0.0 } else { 0.08 };
    for seed in 0..SEEDS {
        let granted = Fleet::new(9, NO_DISRUPTION, seed)
            .simulate(failing)
            .granted();
        expect_that!(granted, gt(0.97), "seed {seed}");
    }
}

#[gtest]
fn a_calm_fleet_repeats_what_a_crash_fails_at_once() {
    // A third of the attempts fails for half a second.
    let crash = |now: u64| {
        if (DISRUPTION_START..DISRUPTION_START + 500).contains(&now) {
            0.33
        } else {
            0.0
        }
    };
    for seed in 0..SEEDS {
        let counted = Fleet::new(9, NO_DISRUPTION, seed).simulate(crash);
        expect_that!(counted.granted(), gt(0.9), "seed {seed}");
    }
}

#[gtest]
fn a_daemon_told_of_no_others_has_the_whole_slack_until_it_hears_of_one() {
    let mut view = new_view(0);
    view.set_sole();
    let slack = |view: &mut View| view.budget().state(&pool(), Millis(1000)).slack;
    expect_that!(slack(&mut view), eq(FLEET.slack));
    view.set_live(1, Millis(1000));
    expect_that!(slack(&mut view), eq(FLEET.slack));
    view.set_live(2, Millis(1000));
    expect_that!(slack(&mut view), eq(0.0));
    set_listed(&mut view, 0, 4);
    expect_that!(slack(&mut view), eq(FLEET.slack / 4.0));
}
