//! What is confirmed after the store went back to a copy, or was known before.

use googletest::prelude::*;
use medlarrill_platform_standin::Watches;

use super::restored_play::{AWAY, Play};
use super::setup::Bench;

/// What is lost in the pauses in which daemons collect changes, and written again.
fn rewrite(play: &Play) {
    play.confirm(8, &["key"]);
    play.write(0, "draining");
    play.confirm(9, &["key", "new"]);
    play.write(1, "draining");
}

async fn lost_while_changes_are_collected(further: usize) -> (Play, bool, usize) {
    let mut play = Play::start(1, 3).await;
    let copy = play.bench.store.copy();
    play.raise(10);
    play.confirm(8, &["key"]);
    play.write(0, "draining");
    Bench::pause(100).await;
    play.confirm(9, &["key", "new"]);
    play.write(1, "draining");
    play.restore(copy, AWAY, |play| {
        rewrite(play);
        play.raise(further);
    })
    .await;
    let is_in_force = play.comes_to_serve(0, "new", true).await;
    let reached = play.reached(0, 1, 2000).await;
    (play, is_in_force, reached)
}

#[gtest]
#[tokio::test]
async fn a_version_never_in_force_since_its_revision_was_given_out_again() {
    let (_, is_in_force, _) = lost_while_changes_are_collected(0).await;
    expect_that!(is_in_force, eq(true));
}

#[gtest]
#[tokio::test]
async fn requests_at_a_leaving_endpoint_since_its_revision_was_given_out_again() {
    let (mut play, _, _) = lost_while_changes_are_collected(0).await;
    expect_that!(play.reached(0, 1, 1500).await, eq(0));
    expect_that!(play.reached(0, 0, 500).await, eq(0));
}

#[gtest]
#[tokio::test]
async fn a_version_never_in_force_since_the_store_had_passed_the_known_revision() {
    let (mut play, is_in_force, _) = lost_while_changes_are_collected(40).await;
    expect_that!(is_in_force, eq(true));
    expect_that!(play.reached(0, 1, 1500).await, eq(0));
}

#[gtest]
#[tokio::test]
async fn a_version_never_in_force_since_an_older_one_was_known_at_a_higher_revision() {
    let mut play = Play::start(1, 1).await;
    let copy = play.know_far_ahead().await;
    play.restore(copy, AWAY, |play| play.confirm(8, &["key"]))
        .await;
    Bench::pause(1000).await;
    play.confirm(9, &["key", "new"]);
    expect_that!(play.comes_to_serve(0, "new", true).await, eq(true));
}

#[gtest]
#[tokio::test]
async fn a_version_never_in_force_since_the_store_was_restored_twice() {
    let mut play = Play::start(1, 1).await;
    let first = play.bench.store.copy();
    play.raise(20);
    play.confirm(8, &["key"]);
    let second = play.bench.store.copy();
    play.raise(20);
    Bench::pause(500).await;
    play.restore(second, 100, |_| {}).await;
    Bench::pause(1000).await;
    play.restore(first, 100, |play| play.confirm(8, &["key"]))
        .await;
    Bench::pause(300).await;
    play.confirm(9, &["new"]);
    expect_that!(play.comes_to_serve(0, "key", false).await, eq(true));
}

#[gtest]
#[tokio::test]
async fn requests_at_an_endpoint_that_leaves_at_a_lower_revision_than_it_was_known_at() {
    let mut play = Play::start(1, 2).await;
    let copy = play.bench.store.copy();
    play.raise(20);
    play.write(1, "ready");
    Bench::pause(1200).await;
    play.restore(copy, AWAY, |play| play.write(1, "ready"))
        .await;
    Bench::pause(1000).await;
    play.write(1, "draining");
    Bench::pause(2000).await;
    expect_that!(play.reached(0, 1, 1500).await, eq(0));
}

#[gtest]
#[tokio::test]
async fn a_version_never_in_force_at_a_daemon_that_only_follows_another_one() {
    let mut play = Play::start(1, 1).await;
    let nowhere = ([127, 0, 0, 1], 9).into();
    play.bench.add_daemon_behind(&[0], nowhere);
    play.bench.ready(1, 1).await;
    play.bench.takes_connections(1).await;
    let copy = play.know_far_ahead().await;
    play.restore(copy, AWAY, |play| play.confirm(8, &["key"]))
        .await;
    Bench::pause(500).await;
    play.confirm(9, &["new"]);
    expect_that!(play.comes_to_serve(1, "key", false).await, eq(true));
}

#[gtest]
#[tokio::test]
async fn requests_at_a_leaving_endpoint_by_a_daemon_that_started_from_the_copy() {
    let mut play = Play::start(1, 2).await;
    let copy = play.bench.store.copy();
    play.write(1, "draining");
    Bench::pause(1200).await;
    play.restore(copy, AWAY, |_| {}).await;
    Bench::pause(600).await;
    play.join().await;
    expect_that!(play.reached(1, 1, 2000).await, eq(0));
    expect_that!(play.reached(0, 1, 500).await, eq(0));
}

#[gtest]
#[tokio::test]
async fn a_version_late_since_a_waiting_watch_outlived_the_restoration() {
    let mut play = Play::start(1, 2).await;
    let copy = play.know_far_ahead().await;
    play.bench.store.restore(copy, Watches::Go);
    play.confirm(9, &["new"]);
    play.write(1, "draining");
    expect_that!(play.comes_to_serve(0, "key", false).await, eq(true));
}

#[gtest]
#[tokio::test]
async fn requests_at_a_leaving_endpoint_since_a_pause_and_a_watch_outlived_the_restoration() {
    for after in [50, 300, 600] {
        let mut play = Play::start(1, 2).await;
        let copy = play.bench.store.copy();
        play.raise(20);
        play.write(0, "ready");
        Bench::pause(after).await;
        play.bench.store.restore(copy, Watches::Go);
        play.write(1, "draining");
        Bench::pause(2000).await;
        expect_that!(play.reached(0, 1, 600).await, eq(0), "{after}");
    }
}

#[gtest]
#[tokio::test]
async fn a_store_that_went_back_is_asked_again_and_again() {
    let play = Play::start(1, 2).await;
    let copy = play.bench.store.copy();
    play.raise(20);
    play.confirm(8, &["key"]);
    play.write(0, "ready");
    Bench::pause(1200).await;
    play.restore(copy, 50, |_| {}).await;
    let before = play.bench.store.calls();
    Bench::pause(2000).await;
    // Three kinds are watched, for 1.5 s each at the least, once they were listed.
    expect_that!(play.bench.store.calls() - before, le(40));
}
