//! Log lines of one kind are bounded, and those left out are counted.

use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use medlarrill_core::log_limiter::LogLimiter;

#[gtest]
fn lines_beyond_the_most_are_left_out_and_counted_with_the_next() {
    let mut limit = LogLimiter::new(2, Millis(1000));
    expect_that!(limit.allow(Millis(5000)), some(eq(0)));
    expect_that!(limit.allow(Millis(5100)), some(eq(0)));
    expect_that!(limit.allow(Millis(5200)), none());
    expect_that!(limit.allow(Millis(5999)), none());
    expect_that!(limit.allow(Millis(6000)), some(eq(2)));
}
