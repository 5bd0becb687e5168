//! Health of endpoints: failure shares, pauses after failed connections, and probes.

use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::attempt::Fault;
use medlarrill_core::routing::health::{Health, HealthStatus};

use super::support::id;

#[gtest]
fn failures_well_above_the_pools_mean_make_an_endpoint_bad_and_time_heals_it() {
    let mut health = Health::default();
    for at in 0..4 {
        health.record_failure(&id("a"), Fault::Failed, Millis(1000 + at));
    }
    health.record_probe(&id("a"), Millis(1004));
    expect_that!(
        health.status(&id("a"), 0.05, 1, Millis(1010)),
        eq(HealthStatus::Bad)
    );
    expect_that!(
        health.status(&id("a"), 0.05, 1, Millis(1800)),
        eq(HealthStatus::Trial)
    );
    expect_that!(
        health.status(&id("a"), 0.05, 1, Millis(12_000)),
        eq(HealthStatus::Good)
    );
}

#[gtest]
fn a_single_failure_and_a_failing_pool_are_no_reason_to_avoid_an_endpoint() {
    let mut health = Health::default();
    health.record_failure(&id("a"), Fault::Failed, Millis(0));
    expect_that!(
        health.status(&id("a"), 0.0, 1, Millis(0)),
        eq(HealthStatus::Good)
    );
    for _ in 0..10 {
        health.record_failure(&id("a"), Fault::Failed, Millis(0));
    }
    let ids = [id("a")];
    let pool = health.pool(ids.iter(), Millis(0));
    let others = pool.mean_of_others(health.failures(&id("a"), Millis(0)));
    expect_that!(
        health.status(&id("a"), others, 1, Millis(0)),
        eq(HealthStatus::Good)
    );
}

#[gtest]
fn an_endpoint_that_fails_all_is_avoided_until_trials_go_well() {
    let mut health = Health::default();
    let ids = ["a", "b", "c"].map(id);
    health.record_others(&ids[0], 0, 20, Millis(0));
    let status_at = |health: &Health, now| {
        let pool = health.pool(ids.iter(), Millis(now));
        let others = pool.mean_of_others(health.failures(&ids[0], Millis(now)));
        health.status(&ids[0], others, 75, Millis(now))
    };
    for now in [0, 2000, 5000, 8000] {
        expect_that!(
            status_at(&health, now),
            not(eq(HealthStatus::Good)),
            "{now}"
        );
    }
    health.record_others(&ids[0], 10, 0, Millis(8000));
    expect_that!(status_at(&health, 8000), eq(HealthStatus::Good));
}

#[gtest]
fn an_endpoint_without_connection_is_down_for_a_while_that_doubles() {
    let mut health = Health::default();
    health.record_failure(&id("a"), Fault::NotSent, Millis(0));
    expect_that!(
        health.status(&id("a"), 0.0, 1, Millis(200)),
        eq(HealthStatus::Down)
    );
    expect_that!(
        health.status(&id("a"), 0.0, 1, Millis(300)),
        eq(HealthStatus::Good)
    );
    health.record_failure(&id("a"), Fault::NotSent, Millis(300));
    expect_that!(
        health.status(&id("a"), 0.0, 1, Millis(700)),
        eq(HealthStatus::Down)
    );
    health.record_success(&id("a"), Millis(900));
    health.record_failure(&id("a"), Fault::NotSent, Millis(900));
    expect_that!(
        health.status(&id("a"), 0.0, 1, Millis(1200)),
        eq(HealthStatus::Good)
    );
}

#[gtest]
fn an_endpoint_avoided_for_seconds_since_several_connections_failed_at_once() {
    let mut health = Health::default();
    for _ in 0..8 {
        health.record_failure(&id("a"), Fault::NotSent, Millis(0));
    }
    expect_that!(
        health.status(&id("a"), 0.0, 1, Millis(300)),
        eq(HealthStatus::Good)
    );
}

#[gtest]
fn being_full_is_no_illness() {
    let mut health = Health::default();
    for _ in 0..20 {
        health.record_failure(&id("a"), Fault::Rejected, Millis(0));
    }
    expect_that!(
        health.status(&id("a"), 0.0, 1, Millis(0)),
        eq(HealthStatus::Good)
    );
}

#[gtest]
fn what_other_daemons_saw_counts_like_own_answers() {
    let (mut own, mut reported) = (Health::default(), Health::default());
    for _ in 0..5 {
        own.record_failure(&id("a"), Fault::Lost, Millis(0));
    }
    reported.record_others(&id("a"), 0, 5, Millis(0));
    let (one, other) = (
        own.failures(&id("a"), Millis(0)),
        reported.failures(&id("a"), Millis(0)),
    );
    expect_that!(one, near(other, 1e-9));
    expect_that!(
        reported.status(&id("a"), 0.0, 1, Millis(0)),
        not(eq(HealthStatus::Good))
    );
}

#[gtest]
fn a_large_fleet_tries_an_endpoint_no_more_often_than_a_small_one() {
    let mut health = Health::default();
    for _ in 0..10 {
        health.record_failure(&id("a"), Fault::Lost, Millis(0));
    }
    health.record_probe(&id("a"), Millis(0));
    let at = |daemons, now| health.status(&id("a"), 0.0, daemons, Millis(now));
    expect_that!(at(7, 700), eq(HealthStatus::Trial));
    expect_that!(at(30, 700), eq(HealthStatus::Bad));
    expect_that!(at(30, 3000), eq(HealthStatus::Trial));
}
