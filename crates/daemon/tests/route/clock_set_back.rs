//! Endpoints whose clocks were set back before they started again under their ids.

use googletest::prelude::*;

use super::restored_play::Play;
use super::setup::{Bench, POOL};

/// Writes an endpoint's entry with its start time.
fn write(play: &Play, state: &str, born: u64) {
    let endpoint = &play.bench.endpoints[1];
    let mut entry = endpoint.entry(POOL, state);
    entry["born"] = born.into();
    play.bench.store.put("servers", endpoint.id(), entry);
}

#[gtest]
#[tokio::test]
async fn an_endpoint_never_used_again_since_its_clock_was_set_back_before_its_restart() {
    let mut play = Play::start(1, 2).await;
    let mut entry = play.bench.endpoints[0].entry(POOL, "ready");
    entry["born"] = 5000.into();
    play.bench.store.put("servers", "e-0", entry);
    write(&play, "draining", 5000);
    Bench::pause(1200).await;
    write(&play, "ready", 4000);
    Bench::pause(10_000).await;
    expect_that!(play.reached(0, 1, 1000).await, gt(0));
}
