//! When a failed attempt is followed by another, and what the caller is answered otherwise.

use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use medlarrill_core::outcome::Outcome;
use medlarrill_core::routing::attempt::Fault;
use medlarrill_core::routing::config::RetryPolicy;
use medlarrill_core::routing::plan::{Next, Refusal, RetryPlan};

use super::support::{id, route};

const FAULTS: [Fault; 8] = [
    Fault::NotSent,
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
