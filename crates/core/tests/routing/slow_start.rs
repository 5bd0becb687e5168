//! Slow start of endpoints that accept few requests a second, with daemons cut off from each other.

use std::net::SocketAddr;

use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::attempt::Fault;
use medlarrill_core::routing::choose::Choice;
use medlarrill_core::routing::config::RetryPolicy;
use medlarrill_core::routing::endpoint::InstanceId;
use medlarrill_core::routing::plan::RetryPlan;
use medlarrill_core::routing::request::SharedPrefix;
use medlarrill_core::routing::slow_start::{Allowance, SlowStart};
use medlarrill_core::routing::view::{Result, View};
use medlarrill_core::units::{Rate, Tokens};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use super::support::{FleetSlowStarts, endpoint, id, pool, prefix, route, view};

const START: Millis = Millis(60_000);
const DURATION: Millis = Millis(3000);
const RATE: f64 = 8.9;
/// Window in which an endpoint counts its requests, in milliseconds.
const SECOND: u64 = 1000;

fn slow(rate: f64) -> SlowStart {
    SlowStart {
        rate: Rate(rate),
        duration: DURATION,
    }
}

fn address(number: usize) -> SocketAddr {
    ([10, 0, (number / 200) as u8, (number % 200) as u8], 7340).into()
}

/// The daemons that the platform lists.
fn listed(count: usize) -> Vec<SocketAddr> {
    (0..count).map(address).collect()
}

fn starts(me: usize, listed: Vec<SocketAddr>, rate: f64) -> FleetSlowStarts {
    let mut starts = FleetSlowStarts::new(Millis(0));
    starts.configure([(pool(), slow(rate))].into());
    starts.set_daemons(address(me), "near", listed);
    starts
}

/// Sends as much as each daemon may for some seconds; returns the times.
fn flood(daemons: &mut [FleetSlowStarts], to: &InstanceId, from: Millis, seconds: u64) -> Vec<u64> {
    let mut rng = Pcg32::seed_from_u64(5);
    let mut sent = Vec::new();
    for now in (from.0..from.0 + seconds * SECOND).step_by(20) {
        // The first daemon differs from step to step.
        let first = rng.random_range(0..daemons.len());
        for number in 0..daemons.len() {
            let turn = (first + number) % daemons.len();
            let daemon = &mut daemons[turn];
            if daemon.allowance(to, &pool(), Millis(now)) == Allowance::One {
                daemon.record_sent(to, Millis(now));
                sent.push(now);
            }
        }
    }
    sent
}

/// Most requests in any second.
fn max_per_second(sent: &[u64]) -> usize {
    let from = |from: &u64| {
        let until = from + SECOND;
        sent.iter()
            .filter(|at| (*from..until).contains(*at))
            .count()
    };
    sent.iter().map(from).max().unwrap_or_default()
}

#[gtest]
fn daemons_that_hear_nothing_of_each_other_stay_within_the_rate_and_use_most_of_it() {
    for (count, rate) in [
        (1, 8.9),
        (3, 8.9),
        (9, 8.9),
        (68, 8.9),
        (350, 8.9),
        (68, 1.0),
        (68, 2.5),
    ] {
        let mut fleet: Vec<FleetSlowStarts> = (0..count)
            .map(|number| starts(number, listed(count), rate))
            .collect();
        for name in ["e-0", "e-1", "e-2"] {
            let to = id(name);
            for daemon in &mut fleet {
                daemon.begin(&to, Millis(20_000), START);
            }
            let sent = flood(&mut fleet, &to, START, 10);
            expect_that!(
                max_per_second(&sent) as f64,
                le(rate),
                "{count} daemons, {rate}/s"
            );
            let used = sent.len() as f64 / (10.0 * rate);
            expect_that!(used, ge(0.7), "{count} daemons, {rate}/s");
        }
    }
}

#[gtest]
fn less_than_one_request_a_second_is_borne_too() {
    let mut fleet: Vec<FleetSlowStarts> = (0..9)
        .map(|number| starts(number, listed(9), 0.25))
        .collect();
    let to = id("e-0");
    for daemon in &mut fleet {
        daemon.begin(&to, Millis(60_000), START);
    }
    let sent = flood(&mut fleet, &to, START, 40);
    expect_that!(sent.len(), all![ge(8), le(10)]);
    expect_that!(max_per_second(&sent), eq(1));
}

#[gtest]
fn a_daemon_that_the_platform_does_not_list_or_that_has_just_started_sends_nothing() {
    let to = id("e-0");
    let mut unlisted = starts(99, listed(9), RATE);
    unlisted.begin(&to, DURATION, START);
    expect_that!(
        unlisted.allowance(&to, &pool(), START),
        eq(Allowance::Nothing)
    );

    let mut without_list = FleetSlowStarts::new(Millis(0));
    without_list.configure([(pool(), slow(RATE))].into());
    without_list.begin(&to, DURATION, START);
    expect_that!(
        without_list.allowance(&to, &pool(), START),
        eq(Allowance::Nothing)
    );

    let mut alone = starts(0, listed(1), RATE);
    alone.begin(&to, Millis(5000), Millis(0));
    expect_that!(
        alone.allowance(&to, &pool(), Millis(900)),
        eq(Allowance::Nothing)
    );
    expect_that!(
        alone.allowance(&to, &pool(), Millis(1200)),
        eq(Allowance::One)
    );
}

#[gtest]
fn a_daemon_that_is_killed_and_starts_again_sends_no_more_than_its_share() {
    let to = id("e-0");
    let mut sent = Vec::new();
    let mut daemon = starts(0, listed(1), 1.0);
    daemon.begin(&to, Millis(60_000), START);
    let mut started = Millis(0);
    for now in START.0..START.0 + 10 * SECOND {
        if now % 700 == 0 {
            started = Millis(now);
            daemon = FleetSlowStarts::new(started);
            daemon.configure([(pool(), slow(1.0))].into());
            daemon.set_daemons(address(0), "near", listed(1));
            daemon.begin(&to, Millis(60_000), started);
        }
        if daemon.allowance(&to, &pool(), Millis(now)) == Allowance::One {
            daemon.record_sent(&to, Millis(now));
            sent.push(now);
        }
    }
    expect_that!(started, gt(START));
    expect_that!(max_per_second(&sent), le(1));
}

#[gtest]
fn lists_of_different_age_deal_no_more_than_the_daemons_by_which_they_differ() {
    for added in [1, 7, 13, 34] {
        let new = listed(68 + added);
        let mut fleet: Vec<FleetSlowStarts> = (0..68 + added)
            .map(|number| {
                // One in three of the older daemons still has the old list.
                let old = number < 68 && number % 3 == 0;
                starts(number, listed(if old { 68 } else { 68 + added }), RATE)
            })
            .collect();
        expect_that!(new.len(), eq(fleet.len()));
        for name in ["e-0", "e-1", "e-2", "e-3", "e-4", "e-5"] {
            let to = id(name);
            for daemon in &mut fleet {
                daemon.begin(&to, Millis(20_000), START);
            }
            let sent = flood(&mut fleet, &to, START, 3);
            let most = RATE as usize + added.min(RATE as usize);
            expect_that!(max_per_second(&sent), le(most), "{added} added");
        }
    }
}

#[gtest]
fn shares_are_spread_over_daemons() {
    let fleet: Vec<FleetSlowStarts> = (0..68)
        .map(|number| starts(number, listed(68), RATE))
        .collect();
    let shares = |mut daemon: FleetSlowStarts| {
        let endpoints = (0..60).map(|number| id(&format!("e-{number}")));
        let accepted = endpoints.filter(|to| {
            daemon.begin(to, DURATION, START);
            daemon.allowance(to, &pool(), START) == Allowance::One
        });
        accepted.count()
    };
    let shares: Vec<usize> = fleet.into_iter().map(shares).collect();
    expect_that!(shares.iter().sum::<usize>(), eq(60 * 8));
    let evenness = (shares.iter().min(), shares.iter().max());
    expect_that!(evenness, (some(ge(&1)), some(le(&16))));
}

#[gtest]
fn several_parts_of_the_list_count_each_daemon_once() {
    let to = id("e-0");
    let mut daemon = starts(0, listed(1), RATE);
    daemon.set_daemons(address(0), "far", listed(1));
    daemon.begin(&to, DURATION, START);
    let sent = flood(&mut [daemon], &to, START, 1);
    expect_that!(sent.len(), eq(8));
}

#[gtest]
fn prefixes_return_over_the_time_of_a_start_and_not_at_once() {
    let mut daemon = starts(0, listed(1), RATE);
    let to = id("e-0");
    daemon.begin(&to, DURATION, START);
    let mut share = |passed: u64| {
        let allowance = daemon.allowance(&to, &pool(), START + DURATION + Millis(passed));
        let is_accepted = |key: &u64| allowance.accepts(Some(&prefix(*key)), |_| true);
        (0..1000).filter(is_accepted).count()
    };
    expect_that!(share(300), all![ge(60), le(140)]);
    expect_that!(share(1500), all![ge(450), le(550)]);
    expect_that!(share(3000), eq(1000));
}

#[gtest]
fn a_longer_time_that_was_told_stays() {
    let mut daemon = starts(0, listed(68), RATE);
    let to = id("e-0");
    daemon.begin(&to, DURATION, START);
    daemon.begin(&to, Millis(200), START);
    let later = START + Millis(2900);
    expect_that!(daemon.active(later).count(), eq(1));
    expect_that!(daemon.active(START + DURATION).count(), eq(0));
}

#[gtest]
fn a_pool_without_slow_start_is_not_spared() {
    let mut daemon = FleetSlowStarts::new(Millis(0));
    daemon.begin(&id("e-0"), DURATION, START);
    expect_that!(
        daemon.allowance(&id("e-0"), &pool(), START),
        eq(Allowance::All)
    );
}

/// A view of endpoints `a`, `b` and `c` in a fleet of one daemon, or of many.
fn fleet_of(daemons: usize) -> View {
    let mut view = view("near", 7);
    for name in ["a", "b", "c"] {
        view.upsert(endpoint(name), Millis(0));
    }
    view.configure_slow_starts([(pool(), slow(RATE))].into());
    view.set_daemons(address(0), "near", listed(daemons));
    view
}

fn pick(view: &mut View, shared: Option<&SharedPrefix>, now: Millis) -> Result<Choice> {
    let plan = RetryPlan::new(&route(RetryPolicy::Always, 2), Millis(90_000));
    let choice = view.choose(&pool(), shared, &plan, now);
    if let Ok(choice) = &choice {
        view.end(&choice.endpoint.id);
    }
    choice
}

/// A prefix that ranks `a` first.
fn key_of_a() -> u64 {
    let mut view = fleet_of(1);
    let is_a = |key: &u64| {
        let choice = pick(&mut view, Some(&prefix(*key)), START);
        choice.expect("a place").endpoint.id == id("a")
    };
    (0..64).find(is_a).expect("a prefix")
}

#[gtest]
fn a_starting_endpoint_is_given_long_prefixes_and_the_rest_goes_elsewhere() {
    let mut view = fleet_of(1);
    let key = key_of_a();
    view.begin_slow_start(&id("a"), DURATION, START);
    let long = prefix(key);
    let short = SharedPrefix {
        tokens: Tokens(200),
        ..long
    };
    expect_that!(
        pick(&mut view, Some(&long), START)
            .expect("a place")
            .endpoint
            .id,
        eq(&id("a"))
    );
    for _ in 0..20 {
        let choice = pick(&mut view, Some(&short), START).expect("a place");
        expect_that!(choice.endpoint.id, not(eq(&id("a"))));
        let choice = pick(&mut view, None, START).expect("a place");
        expect_that!(choice.endpoint.id, not(eq(&id("a"))));
    }
}

#[gtest]
fn where_all_are_starting_a_request_that_none_can_bear_is_refused_at_once() {
    let mut view = fleet_of(1);
    for name in ["a", "b", "c"] {
        view.begin_slow_start(&id(name), DURATION, START);
    }
    let accepted = (0..60).filter(|key| pick(&mut view, Some(&prefix(*key)), START).is_ok());
    expect_that!(accepted.count(), eq(3 * 8));
    let plan = RetryPlan::new(&route(RetryPolicy::Always, 2), Millis(90_000));
    expect_that!(view.has_other(&pool(), &plan, &id("a"), START), eq(false));
    expect_that!(
        pick(&mut view, Some(&prefix(1)), START + Millis(1100)).is_ok(),
        eq(true)
    );
}

#[gtest]
fn an_endpoint_that_was_lost_is_taken_as_starting() {
    for fault in [Fault::Lost, Fault::Cut, Fault::NotSent] {
        let mut view = fleet_of(500);
        let key = key_of_a();
        view.record_failure(&id("a"), fault, START);
        view.review_slow_starts(START);
        expect_that!(view.slow_start_count(), eq(1));
        // This daemon has no share of `a`.
        for passed in [500, 1500, 2900] {
            let choice = pick(&mut view, Some(&prefix(key)), START + Millis(passed));
            expect_that!(choice.expect("a place").endpoint.id, not(eq(&id("a"))));
        }
    }
}

#[gtest]
fn a_daemon_that_hears_of_nobody_takes_all_endpoints_as_starting() {
    let mut view = fleet_of(500);
    let key = key_of_a();
    view.set_live(1, START);
    let soon = pick(&mut view, Some(&prefix(key)), START + Millis(1000));
    expect_that!(soon.expect("a place").endpoint.id, eq(&id("a")));
    view.set_live(1, START + Millis(2000));
    let later = pick(&mut view, Some(&prefix(key)), START + Millis(4000));
    expect_that!(later.is_ok(), eq(false));
    view.set_live(400, START + Millis(4100));
    let reconnected = pick(&mut view, Some(&prefix(key)), START + Millis(4200));
    expect_that!(reconnected.expect("a place").endpoint.id, eq(&id("a")));
}
