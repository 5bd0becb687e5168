//! How the ends of answers reach callers, as these see them on their sockets.

use std::time::Duration;

use googletest::prelude::*;
use medlarrill_platform_standin::{
    Behaviour, Call, Caller, End, Ending, Form, Framing, LineEnd, Place, RawCaller, RawReply,
    Version, event,
};
use medlarrill_testkit::routed::{WAIT, field, read};

use super::setup::Bench;

const FRAMINGS: [Framing; 3] = [Framing::None, Framing::Chunks, Framing::Length];
const LINE_ENDS: [LineEnd; 3] = [LineEnd::Lf, LineEnd::CrLf, LineEnd::Cr];
const WITHIN: [Place; 3] = [Place::Middle, Place::FirstLine, Place::BeforeEnd];
const ENDS: [End; 4] = [End::Marked, End::Closed, End::HalfClosed, End::Reset];
const EVENTS: u64 = 4;
/// Pause after which the retry budget allows one more.
const RETRY_PAUSE_MS: u64 = 40;

/// Answers of a form that come quickly.
fn of_form(form: Form) -> Behaviour {
    Behaviour {
        events: EVENTS,
        pace: Duration::from_millis(1),
        form,
        ..Behaviour::default()
    }
}

/// Answers of a form that all break off.
fn broken(form: Form) -> Behaviour {
    Behaviour {
        cuts: 1.0,
        ..of_form(form)
    }
}

fn form(framing: Framing, end: End) -> Form {
    Form {
        ending: Some(Ending::new(framing).with_end(end)),
        ..Form::DEFAULT
    }
}

/// The body of a whole stream.
fn whole_body(form: &Form, attempt: &str) -> String {
    let events = (1..=EVENTS).map(|number| event(form, attempt, number));
    events.collect()
}

/// A request unlike others: those that are alike may be taken for one that ends endpoints.
fn call(attempt: &str, path: &str) -> Call {
    let body = attempt.to_owned();
    Call::new(attempt, path).with_wait(2000).with_body(body)
}

async fn send(bench: &Bench, attempt: &str, path: &str) -> RawReply {
    let caller = RawCaller::new(bench.daemons[0].callers());
    caller.send(&call(attempt, path)).await.expect("a reply")
}

/// Each way in which a stream ends within an event.
fn within_events() -> Vec<Form> {
    let mut forms = Vec::new();
    for framing in FRAMINGS {
        for end in ENDS {
            for lines in LINE_ENDS {
                for cut_place in WITHIN {
                    forms.extend([1, EVENTS].map(|cut_event| Form {
                        lines,
                        cut_event: Some(cut_event),
                        cut_place,
                        ..form(framing, end)
                    }));
                }
            }
        }
    }
    forms
}

#[tokio::test]
async fn a_stream_that_ends_within_an_event_does_not_look_complete() {
    let bench = Bench::start(1).await;
    let mut failed = Vec::new();
    for (number, form) in within_events().into_iter().enumerate() {
        bench.behave(broken(form));
        let attempt = format!("s-{number}");
        let reply = send(&bench, &attempt, "/stream-once/x").await;
        if reply.looks_complete() {
            failed.push(format!("{form:?}"));
        }
        assert_that!(bench.ledger.runs(&attempt).len(), le(1));
    }
    assert_that!(failed, is_empty(), "{}", failed.join("\n"));
}

#[tokio::test]
async fn a_stream_that_ends_within_an_event_goes_on_at_another_endpoint() {
    let bench = Bench::start(2).await;
    let mut failed = Vec::new();
    for (number, form) in within_events().into_iter().enumerate() {
        bench.behave(broken(Form {
            cut_once: true,
            ..form
        }));
        let attempt = format!("s-{number}");
        let reply = send(&bench, &attempt, "/stream/x").await;
        Bench::pause(RETRY_PAUSE_MS).await;
        let is_whole = reply.body == whole_body(&form, &attempt);
        if reply.looks_complete() != is_whole || !is_whole {
            failed.push(format!("{form:?}: {reply:?}"));
        }
    }
    assert_that!(failed, is_empty(), "{}", failed.join("\n"));
}

#[tokio::test]
async fn whole_streams_stay_whole_with_each_framing_and_line_end() {
    let bench = Bench::start(1).await;
    for (number, framing) in FRAMINGS.into_iter().enumerate() {
        for lines in LINE_ENDS {
            for end in [End::Closed, End::HalfClosed] {
                let form = Form {
                    lines,
                    ..form(framing, end)
                };
                bench.behave(of_form(form));
                for path in ["/stream/x", "/stream-once/x"] {
                    let attempt = format!("s-{number}-{lines:?}-{end:?}{path}");
                    let reply = send(&bench, &attempt, path).await;
                    assert_that!(reply.looks_complete(), eq(true), "{form:?}: {reply:?}");
                    let body = whole_body(&form, &attempt);
                    assert_that!(reply.body.as_ref(), eq(body.as_bytes()), "{form:?}");
                }
            }
        }
    }
}

#[tokio::test]
async fn a_broken_stream_does_not_look_complete_to_a_caller_without_chunks() {
    let bench = Bench::start(1).await;
    for (number, framing) in FRAMINGS.into_iter().enumerate() {
        for end in ENDS {
            let form = Form {
                cut_event: Some(3),
                ..form(framing, end)
            };
            bench.behave(broken(form));
            let attempt = format!("s-{number}-{end:?}");
            let caller = RawCaller::new(bench.daemons[0].callers()).with_version(Version::Http10);
            let reply = caller.send(&call(&attempt, "/stream-once/x")).await;
            let reply = reply.expect("a reply");
            assert_that!(reply.looks_complete(), eq(false), "{form:?}: {reply:?}");
        }
    }
}

#[tokio::test]
async fn a_caller_without_chunks_gets_whole_streams() {
    let bench = Bench::start(1).await;
    bench.behave(of_form(Form::DEFAULT));
    let caller = RawCaller::new(bench.daemons[0].callers()).with_version(Version::Http10);
    let reply = caller.send(&call("s-1", "/stream-once/x")).await;
    let reply = reply.expect("a reply");
    assert_that!(reply.looks_complete(), eq(true), "{reply:?}");
    let body = whole_body(&Form::DEFAULT, "s-1");
    assert_that!(reply.body.as_ref(), eq(body.as_bytes()));
}

/// Longer than a daemon buffers.
const LONG: usize = 3 << 19;

#[tokio::test]
async fn a_stream_that_ends_within_a_long_event_does_not_look_complete() {
    let bench = Bench::start(2).await;
    for framing in FRAMINGS {
        for (cut_event, path) in [(1, "/stream/x"), (3, "/stream/x"), (1, "/stream-once/x")] {
            let form = Form {
                cut_event: Some(cut_event),
                cut_place: Place::BeforeEnd,
                padding: LONG,
                cut_once: true,
                ..form(framing, End::Marked)
            };
            bench.behave(broken(form));
            let attempt = format!("s-{framing:?}-{cut_event}{path}");
            let reply = send(&bench, &attempt, path).await;
            let whole = whole_body(&form, &attempt);
            let is_whole = reply.body == whole;
            assert_that!(reply.looks_complete(), eq(is_whole), "{form:?}");
            // Nothing comes twice, and nothing is joined to a part of an event.
            assert_that!(whole.as_bytes().starts_with(&reply.body), eq(true));
        }
    }
}

#[tokio::test]
async fn a_stream_goes_on_after_a_long_event_without_repeating_it() {
    let bench = Bench::start(2).await;
    let form = Form {
        cut_event: Some(3),
        cut_place: Place::After,
        padding: LONG,
        cut_once: true,
        ..form(Framing::Chunks, End::Closed)
    };
    bench.behave(broken(form));
    let reply = send(&bench, "s-1", "/stream/x").await;
    assert_that!(reply.looks_complete(), eq(true));
    assert_that!(reply.body == whole_body(&form, "s-1"), eq(true));
}

#[tokio::test]
async fn events_without_framing_are_passed_on_as_they_come() {
    let bench = Bench::start(1).await;
    for path in ["/stream/x", "/stream-once/x"] {
        bench.behave(Behaviour {
            pace: Duration::from_millis(450),
            ..of_form(form(Framing::None, End::Closed))
        });
        let caller = RawCaller::new(bench.daemons[0].callers());
        // The caller's time is up after the second event and before the third.
        let call = call(path, path).with_wait(1100);
        let reply = caller.send(&call).await.expect("a reply");
        assert_that!(reply.looks_complete(), eq(false));
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        assert_that!(text.matches("data: ").count(), eq(2), "{text}");
    }
}

#[tokio::test]
async fn a_stream_that_ends_before_any_event_without_a_mark_does_not_look_complete() {
    let bench = Bench::start(1).await;
    bench.behave(Behaviour {
        events: 0,
        ..of_form(form(Framing::None, End::Closed))
    });
    let reply = send(&bench, "s-1", "/stream-once/x").await;
    assert_that!(reply.looks_complete(), eq(false), "{reply:?}");
    assert_that!(reply.status(), eq(200));
    bench.behave(Behaviour {
        events: 0,
        ..of_form(form(Framing::Chunks, End::Closed))
    });
    let reply = send(&bench, "s-2", "/stream-once/x").await;
    assert_that!(reply.looks_complete(), eq(true), "{reply:?}");
}

#[tokio::test]
async fn an_answer_without_framing_is_whole_unless_its_connection_is_reset() {
    let bench = Bench::start(1).await;
    for path in ["/plain/x", "/once/x"] {
        for end in [End::Closed, End::HalfClosed] {
            bench.behave(of_form(form(Framing::None, end)));
            let attempt = format!("r-{end:?}{path}");
            let reply = send(&bench, &attempt, path).await;
            assert_that!(reply.status(), eq(200));
            let body = format!("{attempt} {}", attempt.len());
            assert_that!(reply.body.as_ref(), eq(body.as_bytes()));
        }
        for framing in FRAMINGS {
            let end = if framing == Framing::None {
                End::Reset
            } else {
                End::Closed
            };
            bench.behave(broken(form(framing, end)));
            let attempt = format!("b-{framing:?}{path}");
            let reply = send(&bench, &attempt, path).await;
            assert_that!(reply.status(), eq(502), "{framing:?}: {reply:?}");
            assert_that!(bench.ledger.runs(&attempt).len(), le(1));
        }
    }
}

#[tokio::test]
async fn an_answer_that_is_cut_on_a_kept_connection_does_not_look_complete() {
    let bench = Bench::start(1).await;
    let mut caller = Caller::new(bench.daemons[0].callers());
    for number in 0..6 {
        bench.behave(of_form(Form::DEFAULT));
        let reply = caller.send(&call(&format!("w-{number}"), "/once/x")).await;
        assert_that!(reply.is_success(), eq(true), "{reply:?}");
        bench.behave(broken(form(Framing::None, End::Closed)));
        let attempt = format!("s-{number}");
        let reply = caller.send(&call(&attempt, "/stream-once/x")).await;
        assert_that!(reply.whole, eq(false), "{reply:?}");
        assert_that!(bench.ledger.runs(&attempt).len(), eq(1));
    }
}

#[tokio::test]
async fn connections_that_ended_an_answer_carry_no_further_request() {
    let bench = Bench::start(1).await;
    bench.behave(of_form(form(Framing::None, End::HalfClosed)));
    for number in 0..40 {
        for path in ["/once/x", "/stream-once/x"] {
            let attempt = format!("r-{number}{path}");
            let reply = send(&bench, &attempt, path).await;
            assert_that!(reply.looks_complete(), eq(true), "{reply:?}");
        }
    }
}

#[tokio::test]
async fn an_endpoint_whose_streams_end_within_events_is_avoided() {
    let bench = Bench::start(3).await;
    bench.behave(of_form(Form::DEFAULT));
    bench.behave_one(0, broken(form(Framing::None, End::Closed)));
    for number in 0..40 {
        send(&bench, &format!("s-{number}"), "/stream-once/x").await;
    }
    let judged = "\"avoided\":true,\"endpoint\":\"e-0\"";
    bench.until(0, judged, 1).await;
}

/// How a request's last body ended, by the log and the counters of the daemon.
async fn ended(bench: &Bench, attempt: &str) -> [String; 3] {
    bench
        .until(0, &format!("\"request\":\"{attempt}\""), 1)
        .await;
    bench.until(0, "entry: ended", 1).await;
    let lines = bench.daemons[0].lines_with("entry: ended");
    let line = lines.iter().find(|line| line.contains(attempt));
    let line = line.expect("a line");
    let text = |name| field(line, name).unwrap_or_default();
    ["framing", "end", "outcome"].map(text)
}

const STREAM: &str = "/stream-once/x";

/// Answers by path, framing and end: how they are logged to have ended, and with which outcome.
fn logged_ends() -> [(&'static str, Behaviour, [&'static str; 3]); 8] {
    let whole = |framing| of_form(form(framing, End::Closed));
    let cut = |framing, end| broken(form(framing, end));
    let within = "within-event";
    [
        (
            STREAM,
            whole(Framing::Chunks),
            ["chunks", "marked", "answered"],
        ),
        (
            STREAM,
            whole(Framing::None),
            ["close", "closed", "answered"],
        ),
        (
            "/once/x",
            whole(Framing::Length),
            ["length", "marked", "answered"],
        ),
        (
            "/once/x",
            whole(Framing::None),
            ["close", "closed", "answered"],
        ),
        (
            STREAM,
            cut(Framing::None, End::Closed),
            ["close", within, "broken-off"],
        ),
        (
            STREAM,
            cut(Framing::Chunks, End::Marked),
            ["chunks", within, "broken-off"],
        ),
        (
            STREAM,
            cut(Framing::None, End::Reset),
            ["close", "broken", "broken-off"],
        ),
        (
            "/once/x",
            cut(Framing::Length, End::Closed),
            ["length", "broken", "unknown"],
        ),
    ]
}

#[tokio::test]
async fn the_log_and_the_counters_tell_how_an_answer_ended() {
    for (number, (path, behaviour, expected)) in logged_ends().into_iter().enumerate() {
        let bench = Bench::start(1).await;
        bench.behave(behaviour);
        let attempt = format!("r-{number}");
        send(&bench, &attempt, path).await;
        let expected = expected.map(str::to_owned);
        assert_that!(ended(&bench, &attempt).await, eq(&expected));
        let [framing, end, _] = expected;
        let counter =
            format!("medlarrill_answer_ends_total{{framing=\"{framing}\",end=\"{end}\"}} 1");
        let metrics = read(bench.daemons[0].listen[2], "/metrics", WAIT).expect("metrics");
        assert_that!(metrics, contains_substring(counter.as_str()));
    }
}
