//! Division of a bound among the listed daemons, and how long a silent daemon stays listed.

use std::net::SocketAddr;

use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::fleet::{Fleet, LastSeen};

const HOUR: Millis = Millis(3_600_000);

fn address(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 7340).into()
}

fn listed(count: u8) -> Vec<SocketAddr> {
    (0..count).map(address).collect()
}

fn fleet(me: u8, count: u8) -> Fleet {
    let mut fleet = Fleet::new(Millis(0));
    fleet.set_listed(address(me), "near", listed(count));
    fleet
}

#[gtest]
fn parts_of_all_daemons_make_the_bound_whomever_they_hear() {
    let shares = (0..9).map(|me| {
        let mut fleet = fleet(me, 9);
        fleet.set_live(usize::from(me % 3) + 1, Millis(100));
        fleet.share(58.0)
    });
    expect_that!(shares.sum::<f64>(), near(58.0, 1e-9));
    for units in [1, 8, 9, 20] {
        let all = (0..9).map(|me| fleet(me, 9).unit_share("e-1", units));
        expect_that!(all.sum::<usize>(), eq(units));
    }
}

#[gtest]
fn a_daemon_that_is_not_listed_has_no_part() {
    let unlisted = fleet(9, 9);
    expect_that!(unlisted.share(58.0), eq(0.0));
    expect_that!(unlisted.unit_share("e-1", 20), eq(0));
    expect_that!(Fleet::new(Millis(0)).share(58.0), eq(0.0));
}

#[gtest]
fn a_daemon_named_by_two_parts_of_the_list_counts_once() {
    let mut fleet = fleet(0, 3);
    fleet.set_listed(address(0), "far", vec![address(2), address(3)]);
    expect_that!(fleet.size(), eq(4));
}

#[gtest]
fn a_daemon_that_was_never_heard_stays_listed_for_an_hour_from_the_first_look() {
    // A daemon that becomes a hub after a long run doesn't know which daemons were live before.
    let start = Millis(10 * HOUR.0);
    let mut seen = LastSeen::default();
    expect_that!(seen.is_retained(address(1), start), eq(true));
    expect_that!(
        seen.is_retained(address(1), start + HOUR - Millis(1)),
        eq(true)
    );
    expect_that!(seen.is_retained(address(1), start + HOUR), eq(false));
}

#[gtest]
fn a_daemon_that_falls_silent_stays_listed_for_an_hour() {
    let mut seen = LastSeen::default();
    seen.mark_live(&[address(1)], Millis(0));
    seen.mark_live(&[address(1)], HOUR);
    expect_that!(
        seen.is_retained(address(1), HOUR + HOUR - Millis(1)),
        eq(true)
    );
    expect_that!(seen.is_retained(address(1), HOUR + HOUR), eq(false));
}
