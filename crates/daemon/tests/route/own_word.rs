//! Endpoints that say in their answers that they leave, or that they want no requests for a time,
//! before a real daemon whose list of endpoints says nothing of it.

use std::time::Duration;

use googletest::prelude::*;
use medlarrill_platform_standin::{Arrival, Behaviour, Call, Notice, Reply};
use tokio::time::Instant;

use super::setup::{Bench, POOL};

pub const LEAVING: Notice = Notice {
    leaving: true,
    retry_after: None,
    brittle: None,
    extra: None,
};
/// Requests by which an endpoint that gets one in eight shows itself.
pub const DRAWS: usize = 100;
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

pub async fn send(bench: &Bench, attempt: String, path: &str) -> Reply {
    bench.send(&Call::new(attempt, path)).await
}

pub async fn send_many(bench: &Bench, name: &str) {
    for number in 0..DRAWS {
        let path = PATHS[number % PATHS.len()];
        send(bench, format!("{name}-{number}"), path).await;
    }
}

/// Sends until the first endpoint has answered once; returns when it got the request.
pub async fn until_heard(bench: &Bench) -> Instant {
    for number in 0..DRAWS * 10 {
        send(bench, format!("first-{number}"), "/plain/x").await;
        if let Some(arrival) = bench.endpoints[0].arrivals().first() {
            return arrival.at;
        }
    }
    panic!("the first endpoint got no request");
}

pub fn arrivals(bench: &Bench) -> usize {
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
