//! What is confirmed after the store was built anew, and counts its eras from the beginning.

use googletest::prelude::*;

use super::restored_play::Play;
use super::setup::Bench;

/// Milliseconds in which daemons come to take a lower era for that of a store built anew: ten
/// seconds of answers, and the pauses between failed calls.
const NOTICED: u64 = 14_000;

/// Daemons that know the fourth era of a store, which is then built anew.
async fn built_anew(daemons: usize) -> Play {
    let play = Play::start(daemons, 3).await;
    for _ in 0..3 {
        play.restore(play.bench.store.copy(), 100, |_| {}).await;
        Bench::pause(1000).await;
    }
    play.bench.store.rebuild();
    play
}

#[gtest]
#[tokio::test]
async fn a_version_never_in_force_since_the_store_was_built_anew() {
    let mut play = built_anew(2).await;
    play.confirm(9, &["key", "new"]);
    play.write(0, "draining");
    Bench::pause(NOTICED).await;
    for daemon in [0, 1] {
        expect_that!(play.comes_to_serve(daemon, "new", true).await, eq(true));
        expect_that!(play.reached(daemon, 0, 500).await, eq(0));
    }
}

#[gtest]
#[tokio::test]
async fn a_version_never_in_force_at_a_daemon_that_starts_after_the_store_was_built_anew() {
    let mut play = built_anew(2).await;
    Bench::pause(NOTICED).await;
    play.join().await;
    Bench::pause(500).await;
    play.confirm(9, &["key", "new"]);
    for daemon in [2, 0, 1] {
        expect_that!(play.comes_to_serve(daemon, "new", true).await, eq(true));
    }
    play.restore(play.bench.store.copy(), 100, |play| {
        play.confirm(10, &["key"])
    })
    .await;
    for daemon in [0, 1, 2] {
        expect_that!(play.comes_to_serve(daemon, "new", false).await, eq(true));
    }
}
