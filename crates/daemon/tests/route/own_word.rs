//! Endpoints that say in their answers that they leave, or that they want no requests for a time,
//! before a real daemon whose list of endpoints says nothing of it.

use std::time::Duration;

use googletest::prelude::*;
use medlarrill_platform_standin::{Arrival, Behaviour, Call, Endpoint, Notice, Reply};
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::time::Instant;

use super::setup::{Bench, POOL};

const LEAVING: Notice = Notice {
    leaving: true,
    retry_after: None,
    extra: None,
};
/// Requests by which an endpoint that gets one in eight shows itself.
const DRAWS: usize = 100;
/// Time after an answer that asked for a pause in which requests may still be on their way.
const ON_THE_WAY: Duration = Duration::from_millis(500);
const PATHS: [&str; 4] = ["/plain/x", "/once/x", "/stream/x", "/stream-once/x"];

fn pause(text: &'static str) -> Notice {
    Notice {
        retry_after: Some(text),
        ..Notice::default()
    }
}

fn full() -> Behaviour {
    Behaviour {
        full: 1.0,
        ..Behaviour::default()
    }
}

async fn send(bench: &Bench, attempt: String, path: &str) -> Reply {
    bench.send(&Call::new(attempt, path)).await
}

async fn send_many(bench: &Bench, name: &str) {
    for number in 0..DRAWS {
        let path = PATHS[number % PATHS.len()];
        send(bench, format!("{name}-{number}"), path).await;
    }
}

/// Sends until the first endpoint has answered once; returns when it got the request.
async fn until_heard(bench: &Bench) -> Instant {
    for number in 0..DRAWS * 10 {
        send(bench, format!("first-{number}"), "/plain/x").await;
        if let Some(arrival) = bench.endpoints[0].arrivals().first() {
            return arrival.at;
        }
    }
    panic!("the first endpoint got no request");
}

fn arrivals(bench: &Bench) -> usize {
    bench.endpoints[0].arrivals().len()
}

/// Ends the second endpoint, which stays listed, and gives its kept connections time to close: a
/// request that crosses the close may have run.
async fn end_second(bench: &mut Bench) {
    bench.endpoints.truncate(1);
    Bench::pause(300).await;
}

/// When a refused caller may come back.
fn come_back(reply: &Reply) -> Duration {
    let text = reply.headers.get("retry-after").expect("a time");
    let seconds = text.to_str().expect("text").parse().expect("seconds");
    Duration::from_secs_f64(seconds)
}

fn assert_refused(reply: &Reply) {
    assert_that!(reply.promises_not_run(), eq(true), "{reply:?}");
    assert_that!(reply.headers.contains_key("retry-after"), eq(true));
}

#[tokio::test]
async fn an_endpoint_that_said_that_it_leaves_gets_no_first_try() {
    let bench = Bench::start(3).await;
    bench.endpoints[0].say(LEAVING);
    until_heard(&bench).await;
    send_many(&bench, "later").await;
    assert_that!(arrivals(&bench), eq(1));
}

#[tokio::test]
async fn an_endpoint_that_said_that_it_leaves_gets_no_repeat() {
    let bench = Bench::start(3).await;
    bench.endpoints[0].say(LEAVING);
    until_heard(&bench).await;
    for number in [1, 2] {
        bench.behave_one(number, full());
    }
    send_many(&bench, "later").await;
    assert_that!(arrivals(&bench), eq(1));
}

#[tokio::test]
async fn an_endpoint_that_said_that_it_leaves_gets_no_stream_that_goes_on() {
    let bench = Bench::start(3).await;
    bench.endpoints[0].say(LEAVING);
    until_heard(&bench).await;
    for number in [1, 2] {
        let cuts = Behaviour {
            cuts: 1.0,
            ..Behaviour::default()
        };
        bench.behave_one(number, cuts);
    }
    for number in 0..DRAWS {
        send(&bench, format!("s-{number}"), "/stream/x").await;
    }
    assert_that!(arrivals(&bench), eq(1));
}

#[tokio::test]
async fn an_endpoint_that_said_that_it_leaves_is_no_last_resort() {
    let mut bench = Bench::start(2).await;
    bench.endpoints[0].say(LEAVING);
    until_heard(&bench).await;
    end_second(&mut bench).await;
    for number in 0..DRAWS {
        let path = PATHS[number % PATHS.len()];
        assert_refused(&send(&bench, format!("r-{number}"), path).await);
    }
    assert_that!(arrivals(&bench), eq(1));
}

#[tokio::test]
async fn a_pool_that_leaves_is_refused_at_once_with_a_time_to_come_back() {
    let bench = Bench::start(1).await;
    bench.endpoints[0].say(LEAVING);
    until_heard(&bench).await;
    for (number, path) in PATHS.into_iter().enumerate() {
        let sent = Instant::now();
        let reply = send(&bench, format!("r-{number}"), path).await;
        assert_that!(sent.elapsed(), lt(Duration::from_millis(500)));
        assert_refused(&reply);
        assert_that!(come_back(&reply), ge(Duration::from_secs(1)));
    }
    assert_that!(arrivals(&bench), eq(1));
}

#[tokio::test]
async fn an_older_state_in_the_list_does_not_undo_that_an_endpoint_leaves() {
    let bench = Bench::start(2).await;
    bench.endpoints[0].say(LEAVING);
    until_heard(&bench).await;
    let mut entry = bench.endpoints[0].entry(POOL, "ready");
    entry["slots"] = 9.into();
    bench.store.put("servers", "e-0", entry.clone());
    bench.until(0, "endpoint listed", 3).await;
    send_many(&bench, "listed-again").await;
    bench.store.remove("servers", "e-0");
    bench.until(0, "endpoint gone", 1).await;
    bench.store.put("servers", "e-0", entry);
    bench.until(0, "endpoint listed", 4).await;
    send_many(&bench, "returned").await;
    assert_that!(arrivals(&bench), eq(1));
}

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

/// Keeps sending until the first endpoint gets a request after the end of its pause.
async fn send_through(bench: &Bench, end: Instant) {
    let is_after = |arrival: &Arrival| arrival.at >= end;
    for number in 0..DRAWS * 10 {
        let path = PATHS[number % PATHS.len()];
        send(bench, format!("through-{number}"), path).await;
        if bench.endpoints[0].arrivals().iter().any(is_after) {
            return;
        }
    }
    panic!("the first endpoint got no request after its pause");
}

async fn gets_nothing_within_its_pause(text: &'static str, span: Duration) {
    let bench = Bench::start(3).await;
    bench.behave_one(0, full());
    bench.endpoints[0].say(pause(text));
    let asked = until_heard(&bench).await;
    bench.behave_one(0, Behaviour::default());
    send_through(&bench, asked + span).await;
    let arrivals = bench.endpoints[0].arrivals();
    let within = |at: Instant| at > asked + ON_THE_WAY && at < asked + span;
    let within = arrivals.iter().filter(|arrival| within(arrival.at));
    assert_that!(within.count(), eq(0));
}

#[tokio::test]
async fn an_endpoint_that_asked_for_a_pause_gets_nothing_until_its_end() {
    gets_nothing_within_its_pause("2", Duration::from_secs(2)).await;
}

#[tokio::test]
async fn a_pause_may_be_a_fraction_of_seconds() {
    gets_nothing_within_its_pause("1.5", Duration::from_millis(1500)).await;
}

#[tokio::test]
async fn an_endpoint_that_asked_for_a_pause_is_no_last_resort() {
    let mut bench = Bench::start(2).await;
    bench.behave_one(0, full());
    bench.endpoints[0].say(pause("5"));
    until_heard(&bench).await;
    end_second(&mut bench).await;
    for number in 0..DRAWS {
        let path = PATHS[number % PATHS.len()];
        assert_refused(&send(&bench, format!("r-{number}"), path).await);
    }
    assert_that!(arrivals(&bench), eq(1));
}

#[tokio::test]
async fn a_pool_that_pauses_is_refused_at_once_until_its_first_endpoint_takes_work() {
    let bench = Bench::start(2).await;
    bench.behave(full());
    bench.endpoints[0].say(pause("2"));
    bench.endpoints[1].say(pause("3"));
    let asked = until_heard(&bench).await;
    while bench.endpoints[1].arrivals().is_empty() {
        send(&bench, "second".into(), "/plain/x").await;
    }
    let sent = Instant::now();
    let reply = send(&bench, "refused".into(), "/stream/x").await;
    assert_that!(sent.elapsed(), lt(Duration::from_millis(500)));
    assert_refused(&reply);
    let back = sent + come_back(&reply);
    assert_that!(back, ge(asked + Duration::from_secs(2)));
    assert_that!(back, le(asked + Duration::from_secs(3)));
    bench.behave(Behaviour::default());
    tokio::time::sleep_until(back).await;
    let reply = send(&bench, "again".into(), "/stream/x").await;
    assert_that!(reply.is_success(), eq(true), "{reply:?}");
}

#[tokio::test]
async fn a_header_that_nothing_reads_is_logged_once_and_counted() {
    let bench = Bench::start(1).await;
    bench.endpoints[0].say(Notice {
        extra: Some(("x-unheard-of", "7")),
        ..Notice::default()
    });
    for number in 0..3 {
        send(&bench, format!("r-{number}"), "/plain/x").await;
    }
    bench.until(0, "\"header\":\"x-unheard-of\"", 1).await;
    let lines = bench.daemons[0].lines_with("nothing reads a header");
    assert_that!(lines.len(), eq(1), "{lines:?}");
    let metrics = bench.daemons[0].listen[2];
    let wait = Duration::from_secs(5);
    let text = medlarrill_testkit::routed::read(metrics, "/metrics", wait).expect("metrics");
    assert_that!(
        text,
        contains_substring("medlarrill_unread_headers_total 3")
    );
}
