//! How the ends of answers reach callers, as these see them on their sockets.

use std::time::Duration;

use googletest::prelude::*;
use medlarrill_platform_standin::{
    Behaviour, Call, End, Ending, Form, Framing, LineEnd, Place, RawCaller, RawReply, event,
};

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

async fn send(bench: &Bench, attempt: &str, path: &str) -> RawReply {
    let caller = RawCaller::new(bench.daemons[0].callers());
    // Requests that are alike would be taken for one that ends endpoints.
    let body = attempt.to_owned();
    let call = Call::new(attempt, path).with_wait(2000).with_body(body);
    caller.send(&call).await.expect("a reply")
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
