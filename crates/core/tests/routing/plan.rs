//! When a failed attempt is followed by another, and what the caller is answered otherwise.

use std::collections::HashSet;

use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use medlarrill_core::outcome::Outcome;
use medlarrill_core::routing::attempt::Fault;
use medlarrill_core::routing::config::RetryPolicy;
use medlarrill_core::routing::endpoint::InstanceId;
use medlarrill_core::routing::plan::{Next, Refusal, RetryPlan};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use super::support::{id, route};

const FAULTS: [Fault; 9] = [
    Fault::NotSent,
    Fault::Unconfirmed,
    Fault::Rejected,
    Fault::OtherEndpoint,
    Fault::Lost,
    Fault::Foreign,
    Fault::Slow,
    Fault::Failed,
    Fault::Cut,
];

fn plan(retry: RetryPolicy, attempts: u32) -> RetryPlan {
    RetryPlan::new(&route(retry, attempts), Millis(3000))
}

#[gtest]
fn a_request_that_is_not_idempotent_is_sent_again_only_if_it_did_not_run() {
    for fault in FAULTS {
        let next = plan(RetryPolicy::Never, 3).record_failure(&id("a"), fault, || true, Millis(0));
        let not_run = fault.outcome() == Outcome::NotRun;
        expect_that!(next == Next::Retry, eq(not_run), "{fault}");
    }
}

#[gtest]
fn a_refusal_says_not_run_only_if_no_attempt_may_have_run() {
    for first in FAULTS {
        for second in FAULTS {
            let mut plan = plan(RetryPolicy::Always, 2);
            plan.record_failure(&id("a"), first, || true, Millis(0));
            let next = plan.record_failure(&id("b"), second, || false, Millis(0));
            let not_run = [first, second]
                .iter()
                .all(|f| f.outcome() == Outcome::NotRun);
            if next == Next::GiveUp(Refusal::NotRun) {
                expect_that!(not_run, eq(true), "{first} then {second}");
            }
        }
    }
}

#[gtest]
fn no_more_endpoints_run_a_request_than_the_route_allows() {
    for attempts in 1..4 {
        let mut plan = plan(RetryPolicy::Always, attempts);
        let mut ran = 0;
        loop {
            ran += 1;
            let next = plan.record_failure(&id("a"), Fault::Failed, || true, Millis(0));
            if next != Next::Retry {
                break;
            }
        }
        expect_that!(ran, eq(attempts));
    }
}

#[gtest]
fn attempts_that_did_not_run_end_too() {
    let mut plan = plan(RetryPolicy::Never, 1);
    let retries = (0..10)
        .take_while(|_| {
            plan.record_failure(&id("a"), Fault::Rejected, || true, Millis(0)) == Next::Retry
        })
        .count();
    expect_that!(retries, eq(2));
}

#[gtest]
fn an_attempt_without_connection_costs_no_repeat() {
    let next =
        plan(RetryPolicy::Never, 1).record_failure(&id("a"), Fault::NotSent, || false, Millis(0));
    expect_that!(next, eq(Next::Retry));
    let next =
        plan(RetryPolicy::Never, 1).record_failure(&id("a"), Fault::Rejected, || false, Millis(0));
    expect_that!(next, eq(Next::GiveUp(Refusal::NotRun)));
}

#[gtest]
fn at_the_deadline_nothing_is_sent_again() {
    let next =
        plan(RetryPolicy::Always, 3).record_failure(&id("a"), Fault::Lost, || true, Millis(2990));
    expect_that!(next, eq(Next::GiveUp(Refusal::Timeout)));
    let next = plan(RetryPolicy::Always, 3).record_failure(
        &id("a"),
        Fault::NotSent,
        || true,
        Millis(2990),
    );
    expect_that!(next, eq(Next::GiveUp(Refusal::NotRun)));
}

#[gtest]
fn only_an_attempt_that_may_be_followed_by_another_is_cut_short() {
    expect_that!(
        plan(RetryPolicy::Always, 2).attempt_timeout(Millis(0)),
        eq(Millis(2000))
    );
    expect_that!(
        plan(RetryPolicy::Always, 1).attempt_timeout(Millis(0)),
        eq(Millis(3000))
    );
    expect_that!(
        plan(RetryPolicy::Never, 2).attempt_timeout(Millis(0)),
        eq(Millis(3000))
    );
    expect_that!(
        plan(RetryPolicy::Always, 2).attempt_timeout(Millis(2500)),
        eq(Millis(500))
    );
}

#[gtest]
fn endpoints_sought_in_silences_stay_within_the_attempts_of_the_route() {
    let names = ["a", "b", "c", "d", "e"];
    for seed in 0..2000 {
        let mut rng = Pcg32::seed_from_u64(seed);
        let attempts = rng.random_range(1..4);
        let mut plan = plan(RetryPolicy::Resume, attempts);
        let mut in_flight: Vec<InstanceId> = Vec::new();
        let mut ran = HashSet::new();
        let mut may_start = true;
        for _ in 0..20 {
            let open = names.iter().map(|name| id(name));
            let open: Vec<InstanceId> = open
                .filter(|id| !plan.has_tried(id) && !in_flight.contains(id))
                .collect();
            let may_hedge = in_flight.len() == 1 && plan.hedge_obstacle(Millis(0)).is_none();
            if (may_start && in_flight.is_empty() || may_hedge && rng.random()) && !open.is_empty()
            {
                let next = open[rng.random_range(0..open.len())].clone();
                plan.begin(&next);
                in_flight.push(next);
            } else if in_flight.len() == 2 {
                let kept = in_flight[rng.random_range(0..2)].clone();
                // Nobody knows whether the others ran it.
                ran.extend(plan.abandon_others(&kept));
                in_flight = vec![kept];
            } else if let Some(failed) = in_flight.pop() {
                let fault = FAULTS[rng.random_range(0..FAULTS.len())];
                if fault.outcome() != Outcome::NotRun {
                    ran.insert(failed.clone());
                }
                let next = plan.record_failure(&failed, fault, || true, Millis(0));
                let is_unrun = next == Next::GiveUp(Refusal::NotRun);
                expect_that!(is_unrun && !ran.is_empty(), eq(false), "seed {seed}");
                may_start = next == Next::Retry;
            }
            let unknown = in_flight.iter().chain(&ran).collect::<HashSet<_>>();
            expect_that!(unknown.len(), le(attempts as usize), "seed {seed}");
        }
    }
}

#[gtest]
fn a_stream_that_an_endpoint_breaks_off_after_a_silence_goes_on_at_the_one_that_was_sought() {
    let mut plan = plan(RetryPolicy::Resume, 2);
    plan.begin(&id("a"));
    plan.begin(&id("b"));
    expect_that!(plan.abandon_others(&id("a")), elements_are![eq(&id("b"))]);
    let next = plan.record_failure(&id("a"), Fault::Cut, || true, Millis(0));
    expect_that!(next, eq(Next::Retry));
    expect_that!(plan.has_tried(&id("b")), eq(false));
    expect_that!(plan.has_tried(&id("c")), eq(true));
}

#[gtest]
fn an_attempt_at_an_unconfirmed_process_takes_nothing_from_the_budget() {
    let mut plan = plan(RetryPolicy::Resume, 2);
    for endpoint in ["a", "b", "c"] {
        let next = plan.record_failure(&id(endpoint), Fault::Unconfirmed, || false, Millis(0));
        expect_that!(next, eq(Next::Retry), "{endpoint}");
    }
}
