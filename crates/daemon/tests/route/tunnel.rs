//! What holds for requests that go through another daemon.

use std::time::Duration;

use googletest::prelude::*;
use medlarrill_platform_standin::{
    Behaviour, Call, Caller, End, Ending, Form, Framing, Place, RawCaller, RawReply, Reply,
    configuration,
};
use medlarrill_testkit::routed::field;
use nix::sys::signal::Signal;
use tokio::task::JoinHandle;

use super::cut::{Cut, Site};
use super::setup::{Bench, POOL, stream_body};

/// Time after a cut in which a daemon has found out.
const FOUND_OUT: u64 = 1000;
/// Pause between events of a slow stream, below the one at which it counts as stuck.
const PACE: Duration = Duration::from_millis(250);

/// A site whose first daemon has been cut off for a while.
async fn cut_off(endpoints: usize, daemons: usize) -> Site {
    let site = Site::start(endpoints, 1, daemons).await;
    site.cut(0, Cut::Hang);
    site.first_tries(0, "early", 10).await;
    Bench::pause(FOUND_OUT).await;
    site
}

fn slow() -> Behaviour {
    Behaviour {
        pace: PACE,
        ..Behaviour::default()
    }
}

fn send(site: &Site, attempt: &str, path: &str) -> JoinHandle<Reply> {
    let address = site.bench.daemons[0].callers();
    let call = Call::new(attempt, path);
    tokio::spawn(async move { Caller::new(address).send(&call).await })
}

/// The daemon that carries a request's connection, by the log of the first daemon.
fn helper(site: &Site, attempt: &str) -> usize {
    let lines = site.bench.daemons[0].lines_with("entry: through another daemon");
    let line = lines.iter().find(|line| line.contains(attempt));
    let helper = field(line.expect("a line"), "helper").expect("a helper");
    let daemons = &site.bench.daemons;
    let is_helper = |daemon: &usize| daemons[*daemon].listen[3].to_string() == helper;
    (1..daemons.len()).find(is_helper).expect("a daemon")
}

#[tokio::test]
async fn a_request_that_may_run_once_is_not_sent_again_after_it_was_lost_on_the_way() {
    let site = cut_off(4, 2).await;
    site.bench.behave(Behaviour {
        drops: 1.0,
        ..Behaviour::default()
    });
    for number in 0..10 {
        let attempt = format!("u-{number}");
        let reply = send(&site, &attempt, "/once/x").await.expect("a reply");
        let runs = site.bench.ledger.runs(&attempt).len();
        assert_that!(runs, le(1));
        assert_that!(reply.promises_not_run(), eq(runs == 0), "{reply:?}");
    }
}

#[tokio::test]
async fn a_helper_that_is_killed_leaves_no_answer_that_looks_whole() {
    let mut site = cut_off(4, 2).await;
    site.bench.behave(slow());
    let stream = send(&site, "s-1", "/stream-once/x");
    let booking = send(&site, "b-1", "/once/x");
    Bench::pause(600).await;
    assert_that!(helper(&site, "s-1"), eq(1));
    site.bench.daemons[1]
        .signal(Signal::SIGKILL)
        .expect("a signal");
    site.bench.daemons[1].wait().expect("its end");
    let stream = stream.await.expect("a reply");
    assert_that!(stream.whole, eq(false), "{stream:?}");
    let whole = stream_body("s-1", 1, 6);
    assert_that!(whole.as_bytes().starts_with(&stream.body), eq(true));
    let booking = booking.await.expect("a reply");
    let runs = site.bench.ledger.runs("b-1").len();
    assert_that!(booking.promises_not_run(), eq(runs == 0), "{booking:?}");
}

#[tokio::test]
async fn a_stream_whose_helper_is_killed_goes_on_through_another_without_gap_or_repeat() {
    let site = cut_off(4, 3).await;
    site.bench.behave(slow());
    let stream = send(&site, "s-1", "/stream/x");
    Bench::pause(600).await;
    let helper = helper(&site, "s-1");
    site.bench.daemons[helper]
        .signal(Signal::SIGKILL)
        .expect("a signal");
    let stream = stream.await.expect("a reply");
    assert_that!(stream.is_success(), eq(true), "{stream:?}");
    assert_that!(
        stream.body.as_ref(),
        eq(stream_body("s-1", 1, 6).as_bytes())
    );
}

#[tokio::test]
async fn a_helper_that_stops_finishes_what_it_carries_and_takes_nothing_new() {
    let mut site = cut_off(4, 2).await;
    let mut config = configuration(8, POOL);
    for route in config["routes"].as_array_mut().expect("routes") {
        route["timeout_ms"] = 9000.into();
    }
    site.bench.store.put("config", "main", config);
    site.bench.until(0, "configuration in force", 2).await;
    // The stream outlasts the time in which a daemon that stops still serves.
    let events = 24;
    site.bench.behave(Behaviour { events, ..slow() });
    let address = site.bench.daemons[0].callers();
    let call = Call::new("s-1", "/stream-once/x").with_wait(9000);
    let stream = tokio::spawn(async move { Caller::new(address).send(&call).await });
    Bench::pause(300).await;
    site.bench.daemons[1]
        .signal(Signal::SIGTERM)
        .expect("a signal");
    site.bench.until(1, "start: stopping", 1).await;
    let late = send(&site, "r-1", "/once/x").await.expect("a reply");
    assert_that!(late.promises_not_run(), eq(true), "{late:?}");
    let stream = stream.await.expect("a reply");
    let whole = stream_body("s-1", 1, events);
    assert_that!(stream.body.as_ref(), eq(whole.as_bytes()), "{stream:?}");
    site.bench.daemons[1].wait().expect("its end");
}

#[tokio::test]
async fn a_caller_that_leaves_ends_the_work_at_the_endpoint_behind_a_helper() {
    let site = cut_off(1, 2).await;
    site.bench.behave(Behaviour {
        events: 40,
        ..slow()
    });
    let stream = send(&site, "s-1", "/stream-once/x");
    Bench::pause(600).await;
    assert_that!(site.bench.endpoints[0].streams(), gt(0));
    stream.abort();
    Bench::pause(400).await;
    assert_that!(site.bench.endpoints[0].streams(), eq(0));
}

#[tokio::test]
async fn an_endpoint_that_leaves_gets_nothing_through_helpers() {
    let site = cut_off(3, 2).await;
    let entry = site.bench.endpoints[0].entry(POOL, "draining");
    site.bench.store.put("servers", "e-0", entry);
    Bench::pause(500).await;
    let before = site.bench.endpoints[0].arrivals().len();
    assert_that!(site.first_tries(0, "late", 30).await, is_empty());
    assert_that!(site.bench.endpoints[0].arrivals().len(), eq(before));
}

#[tokio::test]
async fn the_direct_way_is_taken_again_soon_after_it_is_back() {
    let site = cut_off(4, 2).await;
    site.heal(0);
    site.bench.until(0, "endpoints: reached again", 1).await;
    let before = site.bench.daemons[0]
        .lines_with("through another daemon")
        .len();
    assert_that!(site.first_tries(0, "late", 20).await, is_empty());
    let after = site.bench.daemons[0]
        .lines_with("through another daemon")
        .len();
    assert_that!(after, eq(before));
}

/// Answers without framing, all of which break off at a place unless there is none.
fn unframed(end: End, cut: Option<Place>) -> Behaviour {
    Behaviour {
        cuts: if cut.is_some() { 1.0 } else { 0.0 },
        form: Form {
            ending: Some(Ending::new(Framing::None).with_end(end)),
            cut_place: cut.unwrap_or(Place::Middle),
            ..Form::DEFAULT
        },
        ..Behaviour::default()
    }
}

async fn send_raw(site: &Site, attempt: &str, path: &str) -> RawReply {
    let caller = RawCaller::new(site.bench.daemons[0].callers());
    let call = Call::new(attempt, path).with_body(attempt.to_owned());
    caller.send(&call).await.expect("a reply")
}

#[tokio::test]
async fn how_an_endpoint_ended_an_answer_is_not_lost_behind_a_helper() {
    let site = cut_off(3, 2).await;
    for end in [End::Closed, End::HalfClosed] {
        site.bench.behave(unframed(end, None));
        for path in ["/once/x", "/stream-once/x"] {
            let reply = send_raw(&site, &format!("w-{end:?}{path}"), path).await;
            assert_that!(reply.status(), eq(200));
            assert_that!(reply.looks_complete(), eq(true), "{reply:?}");
        }
    }
    for (number, (end, place)) in [
        (End::Closed, Place::Middle),
        (End::HalfClosed, Place::BeforeEnd),
        (End::Reset, Place::Middle),
        (End::Reset, Place::After),
    ]
    .into_iter()
    .enumerate()
    {
        site.bench.behave(unframed(end, Some(place)));
        let reply = send_raw(&site, &format!("c-{number}"), "/stream-once/x").await;
        assert_that!(
            reply.looks_complete(),
            eq(false),
            "{end:?} {place:?}: {reply:?}"
        );
    }
    site.bench.behave(unframed(End::Reset, Some(Place::Middle)));
    let reply = send_raw(&site, "b-1", "/once/x").await;
    assert_that!(reply.status(), eq(502), "{reply:?}");
    // Sent, through another daemon, failed, ended.
    site.bench.until(0, "\"request\":\"b-1\"", 4).await;
    assert_that!(helper(&site, "b-1"), eq(1));
}

#[tokio::test]
async fn a_stream_without_framing_does_not_look_complete_when_its_helper_is_killed() {
    let mut site = cut_off(3, 2).await;
    site.bench.behave(Behaviour {
        pace: PACE,
        ..unframed(End::Closed, None)
    });
    let address = site.bench.daemons[0].callers();
    let call = Call::new("s-1", "/stream-once/x");
    let stream = tokio::spawn(async move { RawCaller::new(address).send(&call).await });
    Bench::pause(700).await;
    assert_that!(helper(&site, "s-1"), eq(1));
    let signalled = site.bench.daemons[1].signal(Signal::SIGKILL);
    signalled.expect("a signal");
    site.bench.daemons[1].wait().expect("its end");
    let reply = stream.await.expect("a task").expect("a reply");
    assert_that!(reply.body.is_empty(), eq(false));
    assert_that!(reply.looks_complete(), eq(false), "{reply:?}");
}
