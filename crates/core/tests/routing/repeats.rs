//! Repeats of a whole fleet as its endpoints count them, in model time: daemons are cut off,
//! killed and stopped in series, and callers move between them.

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
/// Requests a second of the whole fleet.
const RATE: f64 = 72.0;
const STEP: u64 = 5;
/// When daemons begin to fail.
const TROUBLE: u64 = 30_000;
const END: u64 = 70_000;
/// Longest way of a request to an endpoint.
const WAY: u64 = 40;
/// Time from the start of a daemon until it is told of the others.
const HEARD: u64 = 300;
const SEEDS: u64 = 12;

const FLEET: Settings = Settings {
    ratio: 0.2,
    window: Millis(WINDOW),
    slack: 58.0,
};

/// What happens to daemons.
#[derive(Clone, Copy)]
struct Trouble {
    /// Most groups of daemons that hear only each other.
    groups: usize,
    /// Time between two series of kills; 0 for none.
    kills: u64,
    /// Time between two stops, each of the next daemon in turn; 0 for none.
    stops: u64,
    /// Whether daemons that start while they are cut off can't reach the platform either.
    is_dark: bool,
}

const CALM: Trouble = Trouble {
    groups: 1,
    kills: 0,
    stops: 0,
    is_dark: false,
};

/// What endpoints count.
#[derive(Default)]
struct Counted {
    requests: Vec<u64>,
    repeats: Vec<u64>,
    /// Repeats that daemons asked for.
    wanted: usize,
}

impl Counted {
    fn between(times: &[u64], from: u64, to: u64) -> usize {
        let before = |end: u64| times.partition_point(|at| *at < end);
        before(to) - before(from)
    }

    /// Most repeats over what is allowed, in any window.
    fn excess(&self) -> f64 {
        let half = WINDOW / 2;
        let over = |from: &u64| {
            let ends = [from + WINDOW, from + half, *from];
            let requests = ends.map(|end| Self::between(&self.requests, end - WINDOW, end));
            let most = requests.into_iter().max().unwrap_or_default() as f64;
            let repeats = Self::between(&self.repeats, *from, from + WINDOW) as f64;
            repeats - (FLEET.ratio * most + FLEET.slack)
        };
        self.repeats.iter().map(over).fold(f64::MIN, f64::max)
    }

    fn granted(&self) -> f64 {
        self.repeats.len() as f64 / self.wanted as f64
    }
}

struct Daemon {
    view: View,
    started: u64,
    /// Daemons that hear each other have the same one.
    group: usize,
    /// When it runs again.
    down: u64,
}

struct Fleet {
    daemons: Vec<Daemon>,
    /// The daemon of each caller.
    callers: Vec<usize>,
    trouble: Trouble,
    rng: Pcg32,
}

impl Fleet {
    fn new(size: usize, trouble: Trouble, seed: u64) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        let callers = (0..size * 5).map(|_| rng.random_range(0..size)).collect();
        let mut fleet = Self {
            daemons: Vec::new(),
            callers,
            trouble,
            rng,
        };
        for number in 0..size {
            let started = fleet.rng.random_range(0..300);
            let mut view = new_view(started);
            deal(&mut view, number, size);
            fleet.daemons.push(Daemon {
                view,
                started,
                group: 0,
                down: 0,
            });
        }
        fleet
    }

    /// Starts a daemon again some time after it has ended.
    fn restart(&mut self, number: usize, now: u64) {
        let (size, is_dark) = (self.daemons.len(), self.trouble.is_dark);
        let daemon = &mut self.daemons[number];
        daemon.down = now + 400;
        daemon.started = daemon.down;
        daemon.view = new_view(daemon.down);
        if !is_dark || daemon.group == 0 {
            deal(&mut daemon.view, number, size);
        }
    }

    fn trouble(&mut self, now: u64) {
        let Trouble {
            groups,
            kills,
            stops,
            ..
        } = self.trouble;
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

    /// Tells daemons whom they hear.
    fn tell(&mut self, now: u64) {
        for number in 0..self.daemons.len() {
            let group = self.daemons[number].group;
            let others = self.daemons.iter().enumerate();
            let heard = others.filter(|(other, daemon)| {
                *other == number || daemon.group == group && now >= daemon.down + HEARD
            });
            let live = heard.count();
            let daemon = &mut self.daemons[number];
            if now >= daemon.started + HEARD {
                daemon
                    .view
                    .update_peers(PeerUpdate::default(), live, Millis(now));
                daemon.view.set_live(live, Millis(now));
            }
        }
    }

    /// Plays a day on which this part of the requests fails from `TROUBLE` on.
    fn play(mut self, failing: impl Fn(u64) -> f64) -> Counted {
        let mut counted = Counted::default();
        for now in (0..END).step_by(STEP as usize) {
            if now >= TROUBLE {
                self.trouble(now);
            }
            if now.is_multiple_of(100) {
                self.tell(now);
            }
            if self.rng.random::<f64>() < RATE * STEP as f64 / 1000.0 {
                self.request(now, failing(now), &mut counted);
            }
        }
        counted.repeats.sort_unstable();
        counted
    }

    fn request(&mut self, now: u64, failing: f64, counted: &mut Counted) {
        let caller = self.rng.random_range(0..self.callers.len());
        let daemon = &mut self.daemons[self.callers[caller]];
        counted.requests.push(now);
        if now < daemon.down {
            return;
        }
        let budget = daemon.view.budget();
        budget.record_request(&pool(), Millis(now));
        while self.rng.random::<f64>() < failing {
            counted.wanted += 1;
            if !budget.try_spend(&pool(), Millis(now)) {
                break;
            }
            counted.repeats.push(now + self.rng.random_range(0..WAY));
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

/// Gives a daemon the list that the platform keeps.
fn deal(view: &mut View, number: usize, size: usize) {
    let all = (0..size).map(address).collect();
    view.set_daemons(address(number), "near", all);
}

/// Plays days with many failures; most repeats over what is allowed.
fn worst(size: usize, trouble: Trouble) -> f64 {
    let failing = |now: u64| if now < TROUBLE { 0.0 } else { 0.5 };
    let excess = |seed| Fleet::new(size, trouble, seed).play(failing).excess();
    (0..SEEDS).map(excess).fold(f64::MIN, f64::max)
}

#[gtest]
fn daemons_that_hear_no_others_keep_to_their_part_of_the_repeats() {
    for groups in [2, 3, 9] {
        expect_that!(
            worst(9, Trouble { groups, ..CALM }),
            le(0.0),
            "{groups} groups"
        );
    }
}

#[gtest]
fn daemons_killed_again_and_again_dont_begin_with_new_repeats() {
    for kills in [1500, 2200, 5000] {
        expect_that!(
            worst(9, Trouble { kills, ..CALM }),
            le(0.0),
            "every {kills} ms"
        );
    }
}

#[gtest]
fn callers_of_daemons_that_stop_in_turn_bring_no_repeats_of_before() {
    for stops in [500, 1000, 2000] {
        expect_that!(
            worst(9, Trouble { stops, ..CALM }),
            le(0.0),
            "every {stops} ms"
        );
    }
}

#[gtest]
fn daemons_that_start_while_cut_off_from_all_have_no_part_of_the_slack() {
    let trouble = Trouble {
        groups: 4,
        kills: 2200,
        stops: 0,
        is_dark: true,
    };
    expect_that!(worst(9, trouble), le(0.0));
    expect_that!(worst(40, trouble), le(0.0));
}

#[gtest]
fn a_calm_fleet_repeats_nearly_all_that_fails_now_and_then() {
    let failing = |now: u64| if now < TROUBLE { 0.0 } else { 0.08 };
    for seed in 0..SEEDS {
        let granted = Fleet::new(9, CALM, seed).play(failing).granted();
        expect_that!(granted, gt(0.97), "seed {seed}");
    }
}

#[gtest]
fn a_calm_fleet_repeats_what_a_crash_fails_at_once() {
    // For half a second each third attempt fails.
    let crash = |now: u64| {
        if (TROUBLE..TROUBLE + 500).contains(&now) {
            0.33
        } else {
            0.0
        }
    };
    for seed in 0..SEEDS {
        let counted = Fleet::new(9, CALM, seed).play(crash);
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
    deal(&mut view, 0, 4);
    expect_that!(slack(&mut view), eq(FLEET.slack / 4.0));
}
