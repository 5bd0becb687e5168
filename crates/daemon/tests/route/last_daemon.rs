//! Streams that callers take up at the last daemon that is left of a fleet.

use std::time::Duration;

use googletest::prelude::*;
use medlarrill_platform_standin::Outage;
use medlarrill_testkit::routed::{self, Routed, WAIT};

use super::setup::Bench;
use super::versions::{Part, STREAMS, TWO, begin, finish, start};

const DAEMONS: usize = 9;

/// Streams that began at a daemon of a fleet of which all daemons are lost then but the one that
/// remembers fewest of them; the first hub remembers all.
async fn lose_others() -> (Bench, Vec<(String, Part)>) {
    let mut bench = start(DAEMONS, &["v1", "v1"]).await;
    // Time in which the first hub has written.
    tokio::time::sleep(Duration::from_millis(1600)).await;
    let begun = begin(&bench, DAEMONS - 1).await;
    // Time in which all metrics are set.
    tokio::time::sleep(Duration::from_millis(1300)).await;
    let remembered = bench.daemons.iter().map(remembered).enumerate();
    let (left, count) = remembered.min_by_key(|(_, count)| *count).expect("daemons");
    assert_that!(count, lt(STREAMS));
    bench.daemons.swap(0, left);
    bench.daemons.truncate(1);
    (bench, begun)
}

/// Number of streams that a daemon remembers, by its metrics.
fn remembered(daemon: &Routed) -> usize {
    let text = routed::read(daemon.listen[2], "/metrics", WAIT).expect("metrics");
    let value = |line: &str| line.strip_prefix("medlarrill_streams ")?.parse().ok();
    text.lines().find_map(value).expect("a number of streams")
}

/// Guards against refusals of streams that can only have begun at the one version that serves, since
/// no other daemon is left to answer.
#[tokio::test]
async fn streams_go_on_at_the_last_daemon_where_one_software_version_serves() {
    let (bench, begun) = lose_others().await;
    let taken_up = finish(&bench, 0, &begun, "again").await;
    taken_up.assert_all_whole();
}

/// Guards against a daemon that is cut off, and takes the silence of all others for their end.
#[tokio::test]
async fn a_daemon_that_reaches_neither_others_nor_the_platform_concludes_nothing() {
    let (bench, begun) = lose_others().await;
    bench.store.fail(Outage::Silent);
    // Longer than a list is fresh.
    tokio::time::sleep(Duration::from_millis(3500)).await;
    let taken_up = finish(&bench, 0, &begun, "again").await;
    taken_up.assert_none_wrong("v1");
    assert_that!(taken_up.refused, gt(0), "{taken_up:?}");
    assert_that!(taken_up.whole + taken_up.refused, eq(STREAMS));
}

/// Guards against streams that nobody remembers, since only daemons were told that ended long ago.
#[tokio::test]
async fn streams_of_a_killed_daemon_go_on_where_many_listed_daemons_have_ended() {
    let mut bench = start(4, &TWO).await;
    bench.store.fail(Outage::Only("streams"));
    let ended: Vec<String> = (1..=40).map(|n| format!("127.99.99.{n}:7340")).collect();
    let spec = serde_json::json!({ "addresses": ended });
    bench.store.put("daemons", "dc-b", spec);
    let count = format!("\"count\":{},\"part\":\"dc-b\"", ended.len());
    for daemon in 0..4 {
        bench.until(daemon, &count, 1).await;
    }
    // Time in which the others are ranked anew.
    tokio::time::sleep(Duration::from_millis(1200)).await;
    let hub = first_hub(&bench);
    let begun = begin(&bench, hub).await;
    bench.daemons.remove(hub);
    let taken_up = finish(&bench, 0, &begun, "again").await;
    taken_up.assert_all_whole();
}

/// Guards against streams of which nobody is told, since their daemon hadn't heard of others yet when
/// they began.
#[tokio::test]
async fn streams_that_began_before_their_daemon_heard_of_others_go_on_at_these() {
    let mut bench = start(1, &TWO).await;
    bench.store.fail(Outage::Only("streams"));
    let begun = begin(&bench, 0).await;
    bench.add_daemon(&[0]);
    bench.ready(1, TWO.len()).await;
    bench.takes_connections(1).await;
    bench.until_all_live(2).await;
    // Time in which the first daemon hears of the second one, and tells it.
    tokio::time::sleep(Duration::from_millis(600)).await;
    bench.daemons.remove(0);
    let taken_up = finish(&bench, 0, &begun, "again").await;
    taken_up.assert_all_whole();
}

/// The daemon that all others tell of streams.
fn first_hub(bench: &Bench) -> usize {
    let lines = bench.daemons[0].lines_with("\"hubs\":\"[");
    let (_, hubs) = lines
        .last()
        .and_then(|line| line.split_once("\"hubs\":\"["))
        .expect("hubs");
    let is_first = |daemon: &Routed| hubs.starts_with(&daemon.listen[3].to_string());
    let mut daemons = bench.daemons.iter();
    daemons.position(is_first).expect("a hub that lives")
}
