use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::silence::Silence;

use super::support::id;

#[gtest]
fn an_endpoint_without_a_sign_of_life_is_silent_and_told_of_once() {
    let mut silence = Silence::default();
    silence.begin(&id("a"), Millis(100));
    silence.begin(&id("a"), Millis(600));
    expect_that!(silence.is_silent(&id("a"), Millis(999)), eq(false));
    expect_that!(silence.is_silent(&id("a"), Millis(1000)), eq(true));
    expect_that!(silence.take_new(Millis(1000)), elements_are![eq(&id("a"))]);
    expect_that!(silence.take_new(Millis(1100)), is_empty());
}

#[gtest]
fn any_sign_of_life_counts_from_then_on() {
    let mut silence = Silence::default();
    silence.begin(&id("a"), Millis(100));
    silence.sign(&id("a"), Millis(900));
    expect_that!(silence.is_silent(&id("a"), Millis(1700)), eq(false));
    expect_that!(silence.is_silent(&id("a"), Millis(1800)), eq(true));
}

#[gtest]
fn an_endpoint_without_requests_is_not_silent() {
    let mut silence = Silence::default();
    silence.begin(&id("a"), Millis(100));
    silence.end(&id("a"));
    expect_that!(silence.is_silent(&id("a"), Millis(9000)), eq(false));
    silence.begin(&id("a"), Millis(9000));
    expect_that!(silence.is_silent(&id("a"), Millis(9500)), eq(false));
}
