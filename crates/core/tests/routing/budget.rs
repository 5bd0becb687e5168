use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::budget::{RetryBudget, Settings};

use super::support::pool;

const FLEET: Settings = Settings {
    ratio: 0.2,
    window: Millis(10_000),
    slack: 54.0,
};

/// A time well after the daemon's start at 0.
const NOW: Millis = Millis(60_000);

fn budget(daemons: u32) -> RetryBudget {
    let mut budget = RetryBudget::new(FLEET, Millis(0));
    budget.set_share(1.0 / f64::from(daemons));
    budget
}

fn spend_all(budget: &mut RetryBudget, now: Millis) -> usize {
    (0..1000)
        .take_while(|_| budget.try_spend(&pool(), now))
        .count()
}

/// Records requests evenly over a window and spends all that is left after each; returns the
/// number of retries.
fn spend_over_window(budget: &mut RetryBudget, from: Millis, requests: u64) -> usize {
    let interval = FLEET.window.0 / requests;
    let spend = |number| {
        let now = from + Millis(number * interval);
        budget.record_request(&pool(), now);
        spend_all(budget, now)
    };
    (0..requests).map(spend).sum()
}

#[gtest]
fn repeats_stay_within_the_share_of_requests_and_this_daemons_part_of_the_slack() {
    let mut budget = budget(9);
    // Initially held: 0.5 x 54 / 9 = 3; earned: 0.8 x 0.2 x 100 + 0.25 x 54 / 9 = 17.5
    expect_that!(spend_over_window(&mut budget, NOW, 100), eq(20));
    // 17.5 again, and 0.5 left over, less what the last hundredth of the window earns.
    expect_that!(
        spend_over_window(&mut budget, NOW + FLEET.window, 100),
        eq(17)
    );
}

#[gtest]
fn what_a_window_has_not_used_may_be_sent_at_once() {
    let mut budget = budget(9);
    for number in 0..100 {
        budget.record_request(&pool(), NOW + Millis(number * 99));
    }
    // 0.5 x 54 / 9 + 0.15 x 0.2 x 100 = 6
    expect_that!(spend_all(&mut budget, NOW + Millis(9900)), eq(6));
}

#[gtest]
fn all_daemons_together_stay_within_the_fleets_budget() {
    let daemons = 84;
    let mut sum = 0;
    for _ in 0..daemons {
        let mut budget = budget(daemons);
        sum += spend_over_window(&mut budget, NOW, 10);
    }
    expect_that!(sum as f64, le(0.2 * f64::from(daemons) * 10.0 + 54.0));
}

#[gtest]
fn a_pause_brings_back_no_more_than_the_part_of_the_slack() {
    let mut budget = budget(9);
    spend_over_window(&mut budget, NOW, 100);
    expect_that!(spend_all(&mut budget, NOW + Millis(9950)), eq(0));
    // 0.25 x 54 / 9 = 1.5 are earned per window, 0.5 x 54 / 9 = 3 are held at most.
    expect_that!(spend_all(&mut budget, NOW + Millis(20_000)), eq(1));
    expect_that!(spend_all(&mut budget, NOW + Millis(600_000)), eq(3));
}

#[gtest]
fn a_daemon_that_has_just_started_spends_what_its_requests_have_earned() {
    // What the daemon spent before it was killed still counts towards the fleet's budget.
    let mut budget = RetryBudget::new(FLEET, Millis(5000));
    expect_that!(spend_all(&mut budget, Millis(5500)), eq(1));
    // 0.8 x 0.2 x 100 = 16
    let earned = spend_over_window(&mut budget, Millis(6000), 100);
    expect_that!(earned, all![ge(15), le(16)]);
}

#[gtest]
fn with_fewer_daemons_each_may_spend_more() {
    let mut budget = budget(100);
    expect_that!(spend_all(&mut budget, NOW), eq(1));
    budget.set_share(0.5);
    // 0.5 x 54 / 2 = 13.5
    expect_that!(spend_all(&mut budget, NOW + Millis(100_000)), eq(13));
}
