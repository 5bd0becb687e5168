//! Streams that callers take up at the last daemon that is left of a fleet.

use std::time::Duration;

use googletest::prelude::*;
use medlarrill_platform_standin::Outage;

use super::setup::Bench;
use super::versions::{Part, STREAMS, begin, finish, start};

const DAEMONS: usize = 9;

/// Streams that began at a daemon of a fleet of which all daemons but the first are lost then.
async fn lose_others() -> (Bench, Vec<(String, Part)>) {
    let mut bench = start(DAEMONS, &["v1", "v1"]).await;
    // Time in which the first hub has written.
    tokio::time::sleep(Duration::from_millis(1600)).await;
    let begun = begin(&bench, DAEMONS - 1).await;
    tokio::time::sleep(Duration::from_millis(600)).await;
    bench.daemons.truncate(1);
    (bench, begun)
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
    assert_that!(taken_up.refused(), gt(0), "{taken_up:?}");
    assert_that!(taken_up.whole + taken_up.refused(), eq(STREAMS));
}
