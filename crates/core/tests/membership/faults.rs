//! Fleets under faults: all daemons agree in the end, and none is considered gone for long without cause.

use std::collections::BTreeMap;

use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use medlarrill_core::ids::{DaemonId, Incarnation};
use medlarrill_core::membership::{Action, Announced, Event, Member, Scope, State};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::fleet::{Fleet, Health, address, listed};

/// Maximum time, in milliseconds, until no daemon considers a killed process eligible.
const KILLED: u64 = 3500;
/// Maximum time, in milliseconds, until no daemon considers a lost VM eligible.
const VANISHED: u64 = 9000;
/// Maximum time, in milliseconds, until all daemons agree after the last fault.
const AGREED: u64 = 6000;
/// Maximum time, in milliseconds, that a daemon considers a reachable one gone while faults go on.
const FALSELY_GONE: u64 = 6000;

fn joined(size: usize, centres: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(size, centres, seed);
    assert!(fleet.until(20_000, Fleet::agreed).is_some());
    fleet.run(10_000);
    fleet
}

/// How often the machine of `at` reported that a `wanted` member is not live.
fn count_not_live(fleet: &Fleet, at: usize, wanted: impl Fn(&Member) -> bool) -> usize {
    let not_live =
        |a: &Action| matches!(a, Action::Changed(m) if wanted(m) && m.state() != State::Live);
    let seen = &fleet.nodes[at].seen;
    seen.iter().filter(|(_, action)| not_live(action)).count()
}

#[gtest]
fn daemons_join_by_seeds() {
    let mut fleet = Fleet::new(9, 3, 1);
    expect_that!(fleet.until(20_000, Fleet::agreed), some(le(5000)));
}

#[gtest]
fn a_lost_daemon_is_gone_everywhere() {
    for (size, seed) in [(3, 2), (9, 3), (40, 4)] {
        let mut fleet = joined(size, 3, seed);
        fleet.set(2, Health::Killed);
        let killed = fleet.until(30_000, |f| f.removed(2));
        expect_that!(killed, some(le(KILLED)), "{size} daemons");
        fleet.set(1, Health::Vanished);
        let vanished = fleet.until(30_000, |f| f.removed(1));
        expect_that!(vanished, some(le(VANISHED)), "{size} daemons");
    }
}

#[gtest]
fn a_daemon_lost_soon_after_its_start_is_gone_as_fast() {
    let mut fleet = joined(100, 3, 13);
    for at in [20, 25] {
        fleet.restart(at);
        assert_that!(fleet.until(20_000, Fleet::agreed), some(le(5000)));
        fleet.run(2000);
        fleet.set(at, Health::Vanished);
        let vanished = fleet.until(60_000, |f| f.removed(at));
        expect_that!(vanished, some(le(VANISHED)));
    }
}

#[gtest]
fn a_new_process_replaces_the_old_one_of_its_name() {
    let mut fleet = joined(9, 3, 5);
    fleet.restart(4);
    expect_that!(fleet.until(20_000, Fleet::agreed), some(le(5000)));
}

#[gtest]
fn a_new_process_acts_only_once_it_knows_the_others() {
    let mut fleet = joined(100, 3, 14);
    for at in [30, 60, 90] {
        fleet.restart(at);
        let fresh = |f: &Fleet| f.nodes[at].machine.is_fresh(f.clock(at));
        assert_that!(fleet.until(20_000, fresh), some(le(3000)));
        let known = fleet.nodes[at].machine.eligible(&Scope::Fleet).count();
        expect_that!(known, eq(100));
    }
}

#[gtest]
fn both_sides_of_a_partition_go_on_and_find_each_other_again() {
    let mut fleet = joined(12, 3, 6);
    let (left, right): (Vec<_>, Vec<_>) = (0..12).partition(|at| at % 3 == 0);
    fleet.partition(&left, &right);
    fleet.run(300_000);
    for (at, live) in [(0, left.len()), (1, right.len())] {
        let seen = fleet.nodes[at].machine.eligible(&Scope::Fleet).count();
        expect_that!(seen, eq(live));
    }
    fleet.cuts.clear();
    fleet.nodes.iter_mut().for_each(|node| node.seen.clear());
    expect_that!(fleet.until(60_000, Fleet::agreed), some(le(15_000)));
    // The other side's view makes no daemon suspect a member of its own side.
    for side in [left, right] {
        let names: Vec<_> = side.iter().map(|at| fleet.peer(*at).daemon).collect();
        for at in side {
            let suspected = count_not_live(&fleet, at, |member| names.contains(&member.daemon));
            expect_that!(suspected, eq(0));
        }
    }
}

#[gtest]
fn a_cut_between_two_daemons_makes_neither_suspect() {
    let mut fleet = joined(9, 3, 7);
    fleet.partition(&[3], &[4]);
    for _ in 0..600 {
        fleet.run(100);
        let states = [fleet.state(3, 4), fleet.state(4, 3)];
        assert_that!(states, each(some(eq(State::Live))));
    }
}

#[gtest]
fn a_refusal_met_by_one_daemon_alone_makes_nobody_suspect() {
    let mut fleet = joined(9, 3, 15);
    fleet.partition(&[3], &[4]);
    for _ in 0..300 {
        fleet.give(3, Event::Refused(address(4)));
        fleet.run(100);
        assert_that!(fleet.state(3, 4), some(eq(State::Live)));
    }
}

#[gtest]
fn a_daemon_that_nothing_reaches_is_gone_though_it_is_heard() {
    let mut fleet = joined(9, 3, 8);
    fleet.cuts.extend((0..8).map(|from| (from, 8)));
    let others_agree = |f: &Fleet| (0..8).all(|at| f.state(at, 8) == Some(State::Gone));
    expect_that!(fleet.until(30_000, others_agree), some(le(VANISHED)));
    fleet.run(30_000);
    expect_that!(others_agree(&fleet), is_true());
    fleet.cuts.clear();
    expect_that!(fleet.until(60_000, Fleet::agreed), some(le(15_000)));
}

#[gtest]
fn wrong_lists_make_nobody_live_or_gone() {
    let mut fleet = joined(9, 3, 9);
    fleet.nodes.iter_mut().for_each(|node| node.seen.clear());
    // Each list lacks some existing VMs and names some that don't exist.
    for step in 0..60 {
        for at in 0..9 {
            let present = (0..9).filter(|of| (of + at + step) % 3 != 0);
            fleet.give(at, listed(present.chain([200, 201]).map(address)));
        }
        fleet.run(20_000);
        assert_that!(fleet.agreed(), is_true());
    }
    for at in 0..9 {
        expect_that!(count_not_live(&fleet, at, |_| true), eq(0));
    }
    let known = fleet.nodes[0].machine.members().count();
    expect_that!(known, eq(9));
}

#[gtest]
fn a_gone_daemon_is_forgotten_only_once_it_is_long_unlisted() {
    let mut fleet = joined(5, 1, 10);
    fleet.set(4, Health::Vanished);
    let name = fleet.peer(4).daemon;
    let known = |f: &Fleet| {
        let known = |at: &usize| f.nodes[*at].machine.get(&name).is_some();
        (0..4).filter(known).count()
    };
    let lists = |f: &mut Fleet, end: usize| {
        for at in 0..4 {
            f.give(at, listed((0..end).map(address)));
        }
        f.run(60_000);
    };
    (0..15).for_each(|_| lists(&mut fleet, 5));
    expect_that!(known(&fleet), eq(4));
    (0..15).for_each(|_| lists(&mut fleet, 4));
    expect_that!(known(&fleet), eq(0));
}

/// The order of the last reported member of each name, at one daemon.
type LastSeen = BTreeMap<DaemonId, (u32, Incarnation, u32)>;

/// Checks that no name goes back to an earlier process, and no process to a lower heartbeat number.
fn check_order(last_seen: &mut LastSeen, seen: &[(Millis, Action)]) {
    for (_, action) in seen {
        let Action::Changed(member) = action else {
            continue;
        };
        let order = (member.epoch, member.incarnation, member.heartbeat);
        let last = last_seen.insert(member.daemon.clone(), order);
        assert!(last.is_none_or(|last| last <= order), "{member:?} {last:?}");
    }
}

struct Schedule {
    fleet: Fleet,
    rng: Pcg64Mcg,
    last_seen: Vec<LastSeen>,
    /// Since when each daemon has considered another gone.
    gone_since: BTreeMap<(usize, usize), u64>,
    /// Since when each daemon is up, fresh and not cut off.
    healthy_since: Vec<u64>,
    worst: u64,
}

impl Schedule {
    fn fault(&mut self) {
        let size = self.fleet.nodes.len();
        let at = self.rng.random_range(2..size);
        let other = self.rng.random_range(0..size);
        match self.rng.random_range(0..6) {
            0 => self.fleet.set(at, Health::Killed),
            1 => self.fleet.set(at, Health::Paused),
            2 => drop(self.fleet.cuts.insert((at, other))),
            3 => self.fleet.suspend(at),
            4 => self.restart(at),
            _ => {
                let wrong = (0..size + 3).filter(|_| self.rng.random_bool(0.7));
                let wrong = listed(wrong.map(address));
                self.fleet.give(at, wrong);
            }
        }
    }

    fn restart(&mut self, at: usize) {
        self.fleet.restart(at);
        self.last_seen[at].clear();
    }

    fn repair(&mut self) {
        self.fleet.cuts.clear();
        for at in 0..self.fleet.nodes.len() {
            match self.fleet.nodes[at].health {
                Health::Killed | Health::Vanished => self.restart(at),
                Health::Paused => self.fleet.resume(at),
                Health::Up => {}
            }
        }
    }

    fn run(&mut self, span: u64) {
        for _ in 0..span / 200 {
            self.fleet.run(200);
            self.check();
        }
    }

    fn check(&mut self) {
        let now = self.fleet.now;
        for at in 0..self.fleet.nodes.len() {
            let seen = std::mem::take(&mut self.fleet.nodes[at].seen);
            check_order(&mut self.last_seen[at], &seen);
            let cut = self.fleet.cuts.iter().any(|(a, b)| *a == at || *b == at);
            let machine = &self.fleet.nodes[at].machine;
            let fresh = machine.is_fresh(self.fleet.clock(at));
            if cut || self.fleet.nodes[at].health != Health::Up || !fresh {
                self.healthy_since[at] = now;
            }
        }
        let size = self.healthy_since.len();
        for (at, of) in (0..size).flat_map(|at| (0..size).map(move |of| (at, of))) {
            let gone = self.fleet.state(at, of).is_none_or(|s| s == State::Gone);
            let since = self.gone_since.entry((at, of)).or_insert(now);
            if !gone {
                *since = now;
            }
            let begun = self.healthy_since[at]
                .max(self.healthy_since[of])
                .max(*since);
            self.worst = self.worst.max(now - begun);
            assert!(
                now - begun <= FALSELY_GONE,
                "{at} considers {of} gone at {now}"
            );
        }
    }
}

#[gtest]
fn under_seeded_faults_nobody_is_wronged_and_all_agree_in_the_end() {
    let mut worst = 0;
    let mut slowest = 0;
    // Can be set for longer manual runs.
    let schedules = std::env::var("SCHEDULES").map_or(40, |text| text.parse().unwrap());
    for seed in 0..schedules {
        let size = [5, 9, 16][seed as usize % 3];
        let mut fleet = joined(size, 3, 100 + seed);
        fleet.loss = 0.1;
        let mut schedule = Schedule {
            rng: Pcg64Mcg::seed_from_u64(seed),
            last_seen: vec![LastSeen::new(); size],
            gone_since: BTreeMap::new(),
            healthy_since: vec![fleet.now; size],
            worst: 0,
            fleet,
        };
        for _ in 0..12 {
            schedule.fault();
            let span = schedule.rng.random_range(200..8000);
            schedule.run(span);
            if schedule.rng.random_bool(0.4) {
                schedule.repair();
            }
        }
        schedule.repair();
        schedule.fleet.loss = 0.02;
        let agreed = schedule.fleet.until(120_000, Fleet::agreed);
        assert_that!(agreed, some(le(AGREED)), "seed {seed}");
        worst = worst.max(schedule.worst);
        slowest = slowest.max(agreed.unwrap_or(0));
    }
    println!(
        "{schedules} schedules: falsely gone for at most {worst} ms, agreed after at most {slowest} ms"
    );
}

#[gtest]
fn a_daemon_that_leaves_is_no_place_at_once_and_is_gone_when_it_departs() {
    let mut fleet = joined(9, 3, 11);
    fleet.loss = 0.3;
    fleet.give(5, Event::Leave);
    let heard = |f: &Fleet, wanted: fn(&Action) -> bool| {
        f.nodes[5].seen.iter().any(|(_, action)| wanted(action))
    };
    let left = |a: &Action| matches!(a, Action::LeaveAcknowledged { peers } if *peers >= 3);
    expect_that!(fleet.until(5000, |f| heard(f, left)), some(le(2000)));
    expect_that!(fleet.until(5000, |f| f.removed(5)), some(le(2000)));
    fleet.run(30_000);
    // Message loss may raise a suspicion, but no daemon considers it gone or eligible again.
    for at in 0..9 {
        let known = fleet.nodes[at].machine.get(&fleet.peer(5).daemon);
        expect_that!(known.unwrap().announced, eq(Announced::Leaving));
        expect_that!(fleet.state(at, 5), not(some(eq(State::Gone))));
    }
    expect_that!(fleet.removed(5), is_true());
    fleet.give(5, Event::Depart);
    let departed = |a: &Action| matches!(a, Action::Departed { peers } if *peers >= 3);
    expect_that!(fleet.until(5000, |f| heard(f, departed)), some(le(2000)));
    fleet.set(5, Health::Killed);
    let gone = |f: &Fleet| f.up().iter().all(|at| f.state(*at, 5) == Some(State::Gone));
    expect_that!(fleet.until(5000, gone), some(le(2000)));
}

#[gtest]
fn live_members_are_listed_by_name_and_scope() {
    let fleet = joined(9, 3, 12);
    let machine = &fleet.nodes[0].machine;
    let own: &Member = machine.own();
    let scopes = [
        (Scope::Fleet, 9),
        (Scope::Region(own.region.clone()), 9),
        (Scope::DataCentre(own.data_centre.clone()), 3),
    ];
    for (scope, count) in scopes {
        let live: Vec<_> = machine.eligible(&scope).map(|m| &m.daemon).collect();
        expect_that!(live.len(), eq(count));
        expect_that!(live.is_sorted(), is_true());
    }
}
