use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::backoff::pause;

#[gtest]
fn pauses_double_up_to_a_bound_and_are_spread_over_half_of_it() {
    let longest: Vec<Millis> = (1..6).map(|failures| pause(failures, true, 1.0)).collect();
    let expected = [200, 400, 800, 800, 800].map(Millis);
    expect_that!(longest, eq(&expected.to_vec()));
    expect_that!(pause(1, true, 0.0), eq(Millis(100)));
    expect_that!(pause(50, true, 0.0), eq(Millis(400)));
}

#[gtest]
fn a_daemon_that_knows_nothing_asks_again_soon_however_often_it_failed() {
    for failures in [1, 3, 50] {
        expect_that!(pause(failures, false, 1.0), eq(Millis(200)));
    }
}
