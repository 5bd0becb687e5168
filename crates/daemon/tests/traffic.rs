//! What a daemon shows of its own traffic.

#[path = "support/bench.rs"]
mod bench;

use bench::bench;
use googletest::prelude::*;
use hyper::Method;
use medlarrill_testkit::client;
use medlarrill_testkit::engine::Message;
use medlarrill_testkit::fleet::{Layout, metric};

/// The value of a line that starts with `name`.
async fn value(address: std::net::SocketAddr, name: &str) -> f64 {
    let request = client::request(Method::GET, "/metrics");
    let answer = client::send(address, request, "").await.unwrap();
    let text = String::from_utf8_lossy(answer.body()).into_owned();
    let value = |line: &str| line.strip_prefix(name)?.trim().parse().ok();
    text.lines().find_map(value).unwrap_or(0.0)
}

#[gtest]
#[tokio::test]
async fn traffic_is_counted_by_kind() {
    let bench = bench(Layout::default().with_daemons(2)).await;
    let messages = [Message::new("user", "which stops?")];
    let mut forwards = 0.0;
    for daemon in &bench.fleet.daemons {
        let address = daemon.started.callers;
        let gossip = value(
            address,
            "medlarrill_link_bytes_total{direction=\"sent\",kind=\"gossip\"}",
        );
        expect_that!(gossip.await, gt(0.0));
        let vms = value(
            address,
            "medlarrill_platform_bytes_total{role=\"vms\",direction=\"heard\"}",
        );
        expect_that!(vms.await, gt(0.0));
        let polls = metric(address, "medlarrill_endpoint_polls_total").await;
        expect_that!(polls, some(gt(0.0)));
        let generation = metric(address, "medlarrill_generation").await;
        expect_that!(generation, some(eq(1.0)));
    }
    // Chats through one daemon reach the other's endpoints as well.
    let caller = bench.fleet.caller(0).unwrap();
    for chat in 0..16 {
        caller
            .chat(&format!("trip-{chat}"), &messages, 4)
            .await
            .unwrap();
    }
    for daemon in &bench.fleet.daemons {
        let name = "medlarrill_link_messages_total{direction=\"heard\",kind=\"forward\"}";
        forwards += value(daemon.started.callers, name).await;
    }
    expect_that!(forwards, gt(0.0));
}
