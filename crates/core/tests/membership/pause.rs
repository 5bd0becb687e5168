//! A daemon that was paused doesn't act until peers have answered again.

use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use medlarrill_core::freshness::Freshness;
use medlarrill_core::membership::Action;

use crate::fleet::{Fleet, Health};

fn joined() -> Fleet {
    let mut fleet = Fleet::new(9, 3, 20);
    assert!(fleet.until(20_000, Fleet::agreed).is_some());
    fleet.run(5000);
    fleet
}

fn fresh(fleet: &Fleet, at: usize) -> bool {
    fleet.nodes[at].machine.is_fresh(fleet.clock(at))
}

#[gtest]
fn a_stopped_process_is_stale_before_its_first_tick_and_until_three_answer() {
    let mut fleet = joined();
    fleet.set(3, Health::Paused);
    fleet.run(5000);
    expect_that!(fresh(&fleet, 3), is_false());
    // Messages that waited in its buffers are from before the pause and don't end the stale period.
    fleet.cuts.extend((0..9).map(|from| (from, 3)));
    fleet.resume(3);
    fleet.run(2000);
    expect_that!(fresh(&fleet, 3), is_false());
    fleet.cuts.clear();
    expect_that!(fleet.until(5000, |f| fresh(f, 3)), some(le(2000)));
    let reported = fleet.nodes[3].seen.iter().rev().map(|(_, action)| action);
    let reported = reported.filter(|a| matches!(a, Action::Stale | Action::Fresh));
    expect_that!(
        reported.take(2).collect::<Vec<_>>(),
        elements_are![eq(&&Action::Fresh), eq(&&Action::Stale)]
    );
}

#[gtest]
fn a_stopped_vm_is_stale_by_its_wall_clock() {
    let mut fleet = joined();
    let before = fleet.clock(4);
    fleet.suspend(4);
    fleet.run(3000);
    fleet.cuts.extend((0..9).map(|from| (from, 4)));
    fleet.resume(4);
    fleet.run(200);
    expect_that!(fleet.clock(4), le(before + Millis(200)));
    expect_that!(fresh(&fleet, 4), is_false());
    fleet.cuts.clear();
    expect_that!(fleet.until(5000, |f| fresh(f, 4)), some(le(2000)));
    expect_that!(fleet.nodes[4].machine.pauses(), eq(1));
}

#[gtest]
fn a_paused_daemon_suspects_nobody_for_its_own_silence() {
    let mut fleet = joined();
    for _ in 0..10 {
        fleet.set(2, Health::Paused);
        fleet.run(4000);
        let before = fleet.nodes[2].seen.len();
        fleet.resume(2);
        fleet.run(6000);
        let suspected = fleet.nodes[2].seen[before..].iter().filter(|(_, action)| {
            let own = fleet.nodes[2].machine.own();
            matches!(action, Action::Changed(m) if m.daemon != own.daemon && !m.is_eligible())
        });
        expect_that!(suspected.count(), eq(0));
        expect_that!(fleet.until(20_000, Fleet::agreed), some(anything()));
    }
}

#[gtest]
fn one_that_is_left_alone_goes_on_once_the_others_are_gone() {
    let mut fleet = joined();
    for at in 1..9 {
        fleet.set(at, Health::Vanished);
    }
    fleet.set(0, Health::Paused);
    fleet.run(3000);
    fleet.resume(0);
    fleet.run(500);
    expect_that!(fresh(&fleet, 0), is_false());
    expect_that!(fleet.until(30_000, |f| fresh(f, 0)), some(le(15_000)));
}

#[gtest]
fn a_wall_clock_set_back_is_no_pause() {
    let mut freshness = Freshness::new(Millis(0));
    freshness.tick(Millis(100), Millis(900_100));
    freshness.try_confirm(0);
    expect_that!(freshness.tick(Millis(200), Millis(500_200)), is_false());
    expect_that!(freshness.tick(Millis(300), Millis(500_300)), is_false());
    expect_that!(freshness.is_fresh(Millis(300)), is_true());
    expect_that!(freshness.valid_until(), some(eq(Millis(1300))));
    expect_that!(freshness.is_fresh(Millis(1301)), is_false());
    freshness.tick(Millis(1400), Millis(501_400));
    expect_that!(freshness.valid_until(), none());
}
