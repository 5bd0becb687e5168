//! Whose word an answer is, where an endpoint starts again under its id, or another one has its
//! address.

use std::time::Duration;

use googletest::prelude::*;
use medlarrill_platform_standin::{Behaviour, Call, Endpoint, Notice};
use nix::sys::signal::Signal;
use serde_json::Value;
use tokio::net::TcpListener;

use super::own_word::{DRAWS, LEAVING, arrivals, send, send_many, until_heard};
use super::setup::{Bench, POOL};

fn born(endpoint: &Endpoint, at: u64) -> Value {
    let mut entry = endpoint.entry(POOL, "ready");
    entry["born"] = at.into();
    entry
}

fn wall() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

/// Two endpoints that tell when they started, one of which said that it leaves.
async fn one_leaves_of_two_with_births() -> Bench {
    let mut bench = Bench::without_daemon(2).await;
    for endpoint in &bench.endpoints {
        let entry = born(endpoint, wall() - 60_000);
        bench.store.put("servers", endpoint.id(), entry);
    }
    bench.add_daemon(&[]);
    bench.ready(0, 2).await;
    bench.endpoints[0].say(LEAVING);
    until_heard(&bench).await;
    bench
}

#[tokio::test]
async fn an_endpoint_that_started_again_after_it_had_left_is_used() {
    let mut bench = one_leaves_of_two_with_births().await;
    let address = bench.endpoints[0].address();
    let [_, other] = <[Endpoint; 2]>::try_from(bench.endpoints).expect("two");
    let listener = listen_again(address).await;
    let again = Endpoint::on(listener, "e-0", bench.ledger.clone(), 0).await;
    bench.endpoints = vec![again.expect("an endpoint"), other];
    let entry = born(&bench.endpoints[0], wall());
    bench.store.put("servers", "e-0", entry);
    bench.until(0, "endpoint started again", 1).await;
    until_heard(&bench).await;
}

/// Listens where another listener has just ended.
async fn listen_again(address: std::net::SocketAddr) -> TcpListener {
    for _ in 0..1000 {
        if let Ok(listener) = TcpListener::bind(address).await {
            return listener;
        }
        Bench::pause(10).await;
    }
    panic!("{address} isn't free");
}

#[tokio::test]
async fn a_start_that_the_list_tells_late_does_not_undo_what_that_process_said() {
    let bench = one_leaves_of_two_with_births().await;
    // It had started before it answered.
    let entry = born(&bench.endpoints[0], wall() - 30_000);
    bench.store.put("servers", "e-0", entry);
    bench.until(0, "endpoint started again", 1).await;
    send_many(&bench, "later").await;
    assert_that!(arrivals(&bench), eq(1));
}

#[tokio::test]
async fn an_answer_that_a_frozen_daemon_reads_late_is_not_the_word_of_the_next_start() {
    let mut bench = Bench::without_daemon(1).await;
    let first = born(&bench.endpoints[0], wall() - 60_000);
    bench.store.put("servers", "e-0", first);
    bench.add_daemon(&[]);
    bench.ready(0, 1).await;
    bench.takes_connections(0).await;
    bench.endpoints[0].say(LEAVING);
    bench.behave(Behaviour {
        pace: Duration::from_millis(600),
        ..Behaviour::default()
    });
    let call = Call::new("r-1", "/once/x");
    let sent = tokio::spawn({
        let caller = bench.caller();
        async move {
            let mut caller = caller;
            caller.send(&call).await
        }
    });
    while arrivals(&bench) == 0 {
        Bench::pause(5).await;
    }
    bench.daemons[0].signal(Signal::SIGSTOP).expect("a daemon");
    Bench::pause(900).await;
    let address = bench.endpoints[0].address();
    bench.endpoints.clear();
    let listener = listen_again(address).await;
    let again = Endpoint::on(listener, "e-0", bench.ledger.clone(), 0).await;
    bench.endpoints.push(again.expect("an endpoint"));
    let next = born(&bench.endpoints[0], wall());
    bench.store.put("servers", "e-0", next);
    Bench::pause(50).await;
    bench.daemons[0].signal(Signal::SIGCONT).expect("a daemon");
    bench.until(0, "endpoint started again", 1).await;
    let reply = sent.await.expect("a reply");
    assert_that!(reply.is_success(), eq(true), "{reply:?}");
    // Right after it stood still a daemon closes most new connections unread, for tens of milliseconds.
    let mut reply = send(&bench, "r-2".to_owned(), "/plain/x").await;
    for _ in 0..10 {
        if reply.status.is_some() {
            break;
        }
        Bench::pause(20).await;
        reply = send(&bench, "r-2".to_owned(), "/plain/x").await;
    }
    assert_that!(reply.is_success(), eq(true), "{reply:?}");
}

/// Has the list say that the first endpoint lives where the second one listens.
async fn misplace_first(bench: &Bench) {
    let mut entry = bench.endpoints[0].entry(POOL, "ready");
    entry["address"] = bench.endpoints[1].address().to_string().into();
    bench.store.put("servers", "e-0", entry);
    bench.until(0, "endpoint listed", 3).await;
    for number in 0..DRAWS {
        send(bench, format!("r-{number}"), "/plain/x").await;
    }
    bench.until(0, "other-endpoint", 1).await;
}

#[tokio::test]
async fn a_cold_time_that_another_endpoint_at_the_address_tells_spares_only_that_one() {
    let bench = Bench::start(2).await;
    bench.endpoints[1].say(Notice {
        extra: Some(("medlarrill-cold-ms", "60000")),
        ..Notice::default()
    });
    misplace_first(&bench).await;
    bench.until(0, "\"begins\":\"e-1\"", 1).await;
    let lines = bench.daemons[0].lines_with("endpoints in slow start");
    assert_that!(lines.len(), eq(1), "{lines:?}");
}

#[tokio::test]
async fn what_another_endpoint_at_the_address_says_is_not_the_listed_ones_word() {
    let bench = Bench::start(2).await;
    bench.endpoints[1].say(LEAVING);
    misplace_first(&bench).await;
    let entry = bench.endpoints[0].entry(POOL, "ready");
    bench.store.put("servers", "e-0", entry);
    bench.until(0, "endpoint listed", 4).await;
    // It is avoided for a while after it wasn't found.
    Bench::pause(2500).await;
    until_heard(&bench).await;
}
