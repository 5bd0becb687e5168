//! How a configuration comes to every daemon and stays, through separate processes.

#[path = "support/bench.rs"]
mod bench;
#[path = "support/operator.rs"]
mod operator;

use bench::{GUARD, bench};
use googletest::prelude::*;
use medlarrill_core::change::HEAD_KEY;
use medlarrill_core::ids::Generation;
use medlarrill_testkit::client;
use medlarrill_testkit::fleet::{Fleet, Layout, metric};
use medlarrill_testkit::http::Outage;
use medlarrill_testkit::platform::{Call, Faults};
use medlarrill_testkit::wait::until;
use operator::{accept, generation, head, in_force, rows};

fn down(fleet: &Fleet) {
    fleet.platform.set_faults(Faults {
        outage: Some(Outage::Unavailable),
        ..Faults::default()
    });
}

async fn page(fleet: &Fleet, at: usize, path: &str) -> (u16, String) {
    let address = fleet.daemons[at].started.callers;
    let answer = client::get(address, path).await.unwrap();
    let text = String::from_utf8_lossy(answer.body()).into_owned();
    (answer.status().as_u16(), text)
}

/// Reads of the configuration that the platform answered.
fn reads(fleet: &Fleet) -> u64 {
    let calls = fleet.platform.calls();
    let reads = calls
        .iter()
        .filter(|call| call.role == "config" && call.call == Call::Read);
    reads.map(|call| call.count).sum()
}

#[gtest]
#[tokio::test]
async fn a_daemon_that_starts_in_an_outage_takes_the_generation_of_its_peers() {
    let mut bench = bench(Layout::default()).await;
    let fleet = &mut bench.fleet;
    accept(fleet, 0, "drain endpoint e1").await;
    down(fleet);
    fleet.add_daemon(3).await.unwrap();
    fleet.daemons[0].kill().await.unwrap();
    fleet.restart_daemon(0).await.unwrap();
    for at in [3, 0] {
        in_force(fleet, at, 2.0).await;
        let ready = async || page(fleet, at, "/readyz").await.0 == 200;
        until("the daemon is ready", ready).await;
    }
    let caller = fleet.caller(3).unwrap();
    let message = medlarrill_testkit::engine::Message::new("user", "which stops?");
    caller.chat("trip", &[message], 4).await.unwrap();
}

#[gtest]
#[tokio::test]
async fn a_daemon_without_any_configuration_is_not_ready() {
    let mut bench = bench(Layout::default().with_daemons(1)).await;
    let fleet = &mut bench.fleet;
    fleet.daemons[0].kill().await.unwrap();
    down(fleet);
    fleet.restart_daemon(0).await.unwrap();
    let tried = async || {
        let text = page(fleet, 0, "/metrics").await.1;
        text.contains("role=\"watch\",kind=\"list\",ending=\"unavailable\"")
    };
    until("the daemon has met the outage", tried).await;
    let (status, why) = page(fleet, 0, "/readyz").await;
    expect_that!(status, eq(503));
    expect_that!(why, contains_substring("no configuration"));
    fleet.platform.set_faults(Faults::default());
    expect_that!(fleet.wait_ready(GUARD).await, eq(true));
}

#[gtest]
#[tokio::test]
async fn an_old_head_that_shows_late_takes_nothing_back() {
    let bench = bench(Layout::default()).await;
    let fleet = &bench.fleet;
    let old = fleet.platform.object(HEAD_KEY).unwrap();
    accept(fleet, 0, "drain endpoint e1").await;
    let mut newer = head(fleet);
    let before = reads(fleet);
    fleet.platform.put(HEAD_KEY, old.body);
    until("the old head is read", async || reads(fleet) > before).await;
    newer.generation = Generation(3);
    fleet.platform.put(HEAD_KEY, newer.to_bytes());
    for at in 0..fleet.daemons.len() {
        in_force(fleet, at, 3.0).await;
        let address = fleet.daemons[at].started.callers;
        // The first, the change and the last; the old one would be a fourth.
        let applied = metric(address, "medlarrill_config_applied_total").await;
        expect_that!(applied, some(le(3.0)));
        let drained = rows(fleet, at, "show endpoints where state = drained").await;
        expect_that!(drained, len(eq(1)));
        expect_that!(drained[0][0].as_str(), eq("e1"));
    }
}

#[gtest]
#[tokio::test]
async fn only_the_watchers_read_a_change_from_the_platform() {
    let layout = Layout {
        centres: 1,
        ..Layout::default().with_daemons(8).with_engines(1)
    };
    let bench = bench(layout).await;
    let fleet = &bench.fleet;
    let before = reads(fleet);
    accept(fleet, 0, "drain endpoint e1").await;
    for at in 0..fleet.daemons.len() {
        expect_that!(generation(fleet, at).await, some(eq(2.0)));
    }
    // The change itself reads the head, each of two watchers the head and the new part.
    expect_that!(reads(fleet) - before, le(5));
}
