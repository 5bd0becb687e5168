//! Stages of a daemon's shutdown.

use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::stop::{EXIT_MARGIN, SERVE_TIME, Stage, Stop};

#[gtest]
fn requests_are_served_until_the_balancer_has_looked_away_and_then_refused() {
    let mut stop = Stop::new(Millis(8000));
    expect_that!(stop.stage(Millis(5000)), eq(Stage::Serving));
    stop.request(Millis(5000));
    expect_that!(stop.stage(Millis(5000)), eq(Stage::Leaving));
    // The load balancer has probed twice.
    expect_that!(stop.stage(Millis(5000) + Millis(2000)), eq(Stage::Leaving));
    expect_that!(stop.stage(Millis(5000) + Millis(2100)), eq(Stage::Closing));
    expect_that!(stop.stage(Millis(5000) + SERVE_TIME), eq(Stage::Draining));
    expect_that!(stop.stage(Millis(13_000) - EXIT_MARGIN), eq(Stage::Ended));
}

#[gtest]
fn a_second_signal_changes_nothing() {
    let mut stop = Stop::new(Millis(8000));
    stop.request(Millis(0));
    stop.request(Millis(7000));
    expect_that!(stop.stage(Millis(8000)), eq(Stage::Ended));
}

#[gtest]
fn a_short_grace_leaves_half_of_it_to_finish_requests() {
    let mut stop = Stop::new(Millis(2000));
    stop.request(Millis(0));
    expect_that!(stop.stage(Millis(700)), eq(Stage::Leaving));
    expect_that!(stop.stage(Millis(900)), eq(Stage::Closing));
    expect_that!(stop.stage(Millis(1000)), eq(Stage::Draining));
}
