//! Retries: which failures are retried, the budget, and the delays.

use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use medlarrill_core::ids::{EndpointId, PoolId};
use medlarrill_core::outcome::Outcome;
use medlarrill_core::reason::Reason;
use medlarrill_core::retry::{Budget, Decision, Failure, Plan, Settings};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

fn pool() -> PoolId {
    "chat".parse().expect("a name")
}

fn endpoint(name: &str) -> EndpointId {
    name.parse().expect("a name")
}

fn plan(idempotent: bool) -> Plan {
    Plan::new(Settings::default(), pool(), idempotent, Millis(60_000))
}

fn decide(idempotent: bool, failure: Failure) -> Decision {
    let mut budget = Budget::new(Settings::default());
    let mut rng = Pcg32::seed_from_u64(1);
    plan(idempotent).record_failure(failure, &mut budget, Millis(0), &mut rng)
}

fn is_retry(decision: Decision) -> bool {
    matches!(decision, Decision::Retry { .. })
}

#[gtest]
fn a_request_that_is_not_idempotent_is_retried_only_if_it_did_not_run() {
    for reason in Reason::ALL.iter().copied() {
        for outcome in [Outcome::Ran, Outcome::Unknown, Outcome::NotRun] {
            let failure = || Failure::new(reason).with_outcome(outcome);
            let again = is_retry(decide(false, failure()));
            expect_that!(
                again && outcome != Outcome::NotRun,
                eq(false),
                "{reason} {outcome}"
            );
            expect_that!(again && !reason.retryable(), eq(false), "{reason}");
            expect_that!(is_retry(decide(true, failure().with_answer())), eq(false));
        }
    }
}

#[gtest]
fn what_another_endpoint_could_serve_is_retried() {
    for reason in [Reason::QueueFull, Reason::NoEndpoint, Reason::Stopping] {
        expect_that!(
            is_retry(decide(false, Failure::new(reason))),
            eq(true),
            "{reason}"
        );
    }
    for reason in [
        Reason::EndpointLost,
        Reason::EndpointRefused,
        Reason::HomeLost,
    ] {
        expect_that!(
            is_retry(decide(true, Failure::new(reason))),
            eq(true),
            "{reason}"
        );
        expect_that!(
            is_retry(decide(false, Failure::new(reason))),
            eq(false),
            "{reason}"
        );
    }
    for reason in [
        Reason::AccountRate,
        Reason::PoolFull,
        Reason::ClaimUnavailable,
    ] {
        expect_that!(
            decide(true, Failure::new(reason)),
            eq(Decision::GiveUp { reason })
        );
    }
}

#[gtest]
fn the_endpoint_that_failed_comes_last() {
    let names = ["e1", "e2", "e3"].map(endpoint);
    let mut plan = plan(true);
    let mut budget = Budget::new(Settings::default());
    let mut rng = Pcg32::seed_from_u64(1);
    for (index, name) in names.iter().enumerate() {
        expect_that!(plan.pick(names.iter()), some(eq(name)));
        let failure = Failure::new(Reason::EndpointLost).with_endpoint(name.clone());
        let again = is_retry(plan.record_failure(failure, &mut budget, Millis(0), &mut rng));
        expect_that!(again, eq(index < 2));
    }
    expect_that!(plan.attempts(), eq(3));
    expect_that!(plan.pick(names.iter()), some(eq(&names[0])));
}

#[gtest]
fn retries_stay_under_their_share_however_much_fails() {
    for seed in 1..=3 {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut budget = Budget::new(Settings::default());
        let (mut first, mut again) = (0_u32, 0_u32);
        for now in 0..60_000 {
            let now = Millis(now);
            if rng.random_ratio(1, 5) {
                first += 1;
                budget.deposit(&pool(), now);
            }
            // Every request fails at once and is retried as often as the budget allows.
            again += u32::from(budget.withdraw(&pool(), now));
        }
        println!("seed {seed}: {again} retries of {first} first attempts");
        let most = f64::from(first) * 0.1 + 60.0 + 3.0;
        expect_that!(f64::from(again), all!(le(most), ge(most * 0.95)));
    }
}

#[gtest]
fn a_spent_budget_does_not_make_an_unknown_outcome_certain() {
    let mut budget = Budget::new(Settings {
        reserve: 0.0,
        ..Settings::default()
    });
    let mut rng = Pcg32::seed_from_u64(1);
    let mut fail =
        |reason| plan(true).record_failure(Failure::new(reason), &mut budget, Millis(0), &mut rng);
    let reason = Reason::RetryBudget;
    expect_that!(fail(Reason::QueueFull), eq(Decision::GiveUp { reason }));
    let reason = Reason::EndpointLost;
    expect_that!(fail(reason), eq(Decision::GiveUp { reason }));
}

#[gtest]
fn delays_grow_are_spread_and_end_before_the_deadline() {
    let mut rng = Pcg32::seed_from_u64(1);
    let mut longest = [0; 3];
    let mut shortest = [u64::MAX; 3];
    for _ in 0..300 {
        let settings = Settings {
            attempts: 4,
            ..Settings::default()
        };
        let mut plan = Plan::new(settings, pool(), true, Millis(60_000));
        let mut budget = Budget::new(Settings::default());
        for step in 0..3 {
            let failure = Failure::new(Reason::QueueFull);
            let decision = plan.record_failure(failure, &mut budget, Millis(0), &mut rng);
            let Decision::Retry { delay } = decision else {
                continue;
            };
            longest[step] = longest[step].max(delay.0);
            shortest[step] = shortest[step].min(delay.0);
        }
    }
    for (step, most) in [50, 100, 200].into_iter().enumerate() {
        expect_that!(longest[step], all!(le(most), ge(most * 9 / 10)));
        expect_that!(shortest[step], le(most / 10));
    }
    let mut plan = Plan::new(Settings::default(), pool(), true, Millis(1_000));
    let mut budget = Budget::new(Settings::default());
    let failure = Failure::new(Reason::QueueFull).with_retry_after(Millis(2_000));
    let decision = plan.record_failure(failure, &mut budget, Millis(0), &mut rng);
    expect_that!(
        decision,
        eq(Decision::GiveUp {
            reason: Reason::QueueFull
        })
    );
    // A retry that isn't made takes nothing from the budget.
    let left = (0..10)
        .filter(|_| budget.withdraw(&pool(), Millis(0)))
        .count();
    expect_that!(left, eq(3));
}
