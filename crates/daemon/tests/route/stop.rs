use std::time::Duration;

use googletest::prelude::*;
use medlarrill_platform_standin::{Behaviour, Call, Form, RawCaller, ReplyEnd};
use medlarrill_testkit::routed::{WAIT, read};
use nix::sys::signal::Signal;

use super::setup::{Bench, stream_body};

#[tokio::test]
async fn a_stop_finishes_what_was_taken_and_serves_until_the_balancer_looked_away() {
    let mut bench = Bench::start(1).await;
    bench.behave(Behaviour {
        pace: Duration::from_millis(400),
        ..Behaviour::default()
    });
    let mut caller = bench.caller();
    let long = tokio::spawn(async move { caller.send(&Call::new("s-1", "/stream/x")).await });
    Bench::pause(300).await;
    bench.daemons[0].signal(Signal::SIGTERM).expect("a signal");
    bench.until(0, "start: stopping", 1).await;
    let ready = bench.daemons[0].listen[1];
    assert_that!(read(ready, "/ready", WAIT), err(anything()));
    let late = bench.send(&Call::new("r-1", "/plain/x")).await;
    assert_that!(late.is_success(), eq(true));
    let closes = late
        .headers
        .get("connection")
        .and_then(|value| value.to_str().ok());
    assert_that!(closes, some(eq("close")));
    let long = long.await.expect("a reply");
    assert_that!(long.body.as_ref(), eq(stream_body("s-1", 1, 6).as_bytes()));
    Bench::pause(600).await;
    let refused = bench.send(&Call::new("r-2", "/plain/x")).await;
    assert_that!(refused.promises_not_run(), eq(true), "{refused:?}");
    let took = bench.daemons[0].wait().expect("its end");
    assert_that!(took, lt(Duration::from_secs(6)));
    assert_that!(bench.ledger.runs("r-2").len(), eq(0));
}

#[tokio::test]
async fn idle_connections_are_closed_before_requests_are_refused() {
    let bench = Bench::start(1).await;
    let mut caller = bench.caller();
    let first = caller.send(&Call::new("r-1", "/plain/x")).await;
    assert_that!(first.is_success(), eq(true));
    assert_that!(caller.is_open(), eq(true));
    bench.daemons[0].signal(Signal::SIGTERM).expect("a signal");
    bench.until(0, "start: stopping", 1).await;
    Bench::pause(3000).await;
    assert_that!(caller.is_open(), eq(false));
}

#[tokio::test]
async fn a_second_signal_cuts_nothing_off() {
    let bench = Bench::start(1).await;
    bench.behave(Behaviour {
        pace: Duration::from_millis(300),
        ..Behaviour::default()
    });
    let mut caller = bench.caller();
    let long = tokio::spawn(async move { caller.send(&Call::new("s-1", "/stream/x")).await });
    Bench::pause(200).await;
    for _ in 0..3 {
        bench.daemons[0].signal(Signal::SIGTERM).expect("a signal");
        Bench::pause(100).await;
    }
    let long = long.await.expect("a reply");
    assert_that!(long.is_success(), eq(true));
}

#[tokio::test]
async fn settings_are_read_again_on_a_signal_and_on_a_change_and_bad_ones_change_nothing() {
    let bench = Bench::start(1).await;
    bench.daemons[0].signal(Signal::SIGHUP).expect("a signal");
    bench.until(0, "settings read again", 1).await;
    let path = bench.daemons[0].settings.clone();
    std::fs::write(&path, "{ \"daemon\": 7 }").expect("written");
    bench.until(0, "settings stay as they were", 1).await;
    let line = bench.daemons[0].lines_with("settings stay as they were");
    assert_that!(line[0], contains_substring("daemon: invalid type"));
    assert_that!(
        bench.send(&Call::new("r-1", "/plain/x")).await.is_success(),
        eq(true)
    );
}

#[gtest]
#[tokio::test]
async fn answers_that_callers_read_slowly_are_not_cut_off_by_a_stop() {
    let bench = Bench::start(1).await;
    let form = Form {
        padding: 7 << 20,
        ..Form::DEFAULT
    };
    bench.behave(Behaviour {
        form,
        ..Behaviour::default()
    });
    // Before the signal, while new requests are served, and while idle connections are closed.
    let mut replies = Vec::new();
    for pause in [200, 1000, 1300, 0] {
        let caller = RawCaller::new(bench.daemons[0].callers());
        let caller = caller.with_pause(Duration::from_millis(3300));
        let call = Call::new(format!("r-{pause}"), "/once/x").with_wait(8000);
        replies.push(tokio::spawn(async move { caller.send(&call).await }));
        Bench::pause(pause).await;
        bench.daemons[0].signal(Signal::SIGTERM).expect("a signal");
    }
    for reply in replies {
        let reply = reply.await.expect("a task").expect("a connection");
        let (seen, size) = ((reply.status(), reply.end), reply.body.len());
        expect_that!(seen, eq((200, ReplyEnd::Marked)), "{size} bytes");
    }
}
