//! Callers saw streams cut off, sixteen to twenty times in a row: one request came again and
//! again, each time under a new id and at another daemon, and each endpoint that began to run it
//! ended, with all that it ran beside. By the log of all daemons exactly one request is common to
//! all ends: the same account and route, cut off before its first event some 50 to 150 ms after
//! its head, while the others that were cut off differ from end to end.
//!
//! The cause: outcomes were known by endpoint only. No daemon knew that a request was one that had
//! ended endpoints before, here or elsewhere, so that nothing ever stopped it.

use googletest::prelude::*;
use medlarrill_platform_standin::{Behaviour, Call, Ending, Form, Framing, Outage, Reply};
use medlarrill_testkit::routed::field;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::setup::{Bench, POOL};

const CRASHING: &[u8] = b"crashing";
pub const FRAGILE: Behaviour = Behaviour {
    crashes_on: Some(CRASHING),
    ..Behaviour::DEFAULT
};
const DAEMONS: usize = 3;
const ENDPOINTS: usize = 6;
/// Endpoints that a request may end before it is known.
const ENOUGH: usize = 3;
/// Times that a request may still be sent once the fleet had time to know it.
const SENT_MAX: usize = 3;
/// In which the fleet knows; users allow three seconds.
const KNOWN_MS: u64 = 2000;

/// Daemons that know each other and all endpoints.
async fn fleet() -> Bench {
    let mut bench = Bench::without_daemon(ENDPOINTS).await;
    bench.behave(FRAGILE);
    for number in 0..DAEMONS {
        bench.add_daemon(if number == 0 { &[] } else { &[0] });
        bench.ready(number, ENDPOINTS).await;
    }
    for number in 0..DAEMONS {
        bench.until(number, &format!("\"live\":{DAEMONS}"), 1).await;
    }
    bench
}

fn crashing(number: usize, path: &str) -> Call {
    Call::new(format!("c-{number}"), path).with_body(CRASHING)
}

/// How often endpoints were sent the crashing request.
fn sent(bench: &Bench) -> usize {
    let runs = bench.ledger.all();
    runs.iter()
        .filter(|run| run.attempt.starts_with("c-"))
        .count()
}

/// Sends the crashing request to one daemon after the other until it has ended three endpoints.
async fn crash_three(bench: &mut Bench, path: &str) {
    let mut crashed = 0;
    for number in 0..20 {
        let reply = bench
            .send_to(number % DAEMONS, &crashing(number, path))
            .await;
        assert_that!(reply.is_success(), eq(false));
        crashed += bench.replace_crashed(FRAGILE).await;
        if crashed >= ENOUGH {
            return;
        }
        Bench::pause(100).await;
    }
    panic!("only {crashed} endpoints ended");
}

/// Sends the crashing request again and again to all daemons; returns the last reply.
async fn send_again(bench: &mut Bench, path: &str) -> Reply {
    let mut last = None;
    for number in 100..109 {
        let daemon = number % bench.daemons.len();
        last = Some(bench.send_to(daemon, &crashing(number, path)).await);
        bench.replace_crashed(FRAGILE).await;
        Bench::pause(100).await;
    }
    last.expect("a reply")
}

async fn is_refused_by_all_daemons(path: &str) {
    let mut bench = fleet().await;
    crash_three(&mut bench, path).await;
    Bench::pause(KNOWN_MS).await;
    let before = sent(&bench);
    let last = send_again(&mut bench, path).await;
    assert_that!(sent(&bench) - before, le(SENT_MAX));
    assert_that!(last.promises_not_run(), eq(true), "{last:?}");
    for daemon in 0..DAEMONS {
        let other = Call::new(format!("o-{daemon}"), path).with_body("other");
        let reply = bench.send_to(daemon, &other).await;
        assert_that!(reply.is_success(), eq(true), "{reply:?}");
    }
}

#[tokio::test]
async fn a_stream_that_ends_all_endpoints_that_run_it_is_refused_by_all_daemons() {
    is_refused_by_all_daemons("/stream-once/x").await;
}

#[tokio::test]
async fn a_stream_that_may_be_resumed_and_ends_all_endpoints_is_refused_by_all_daemons() {
    is_refused_by_all_daemons("/stream/x").await;
}

#[tokio::test]
async fn an_idempotent_request_that_ends_all_endpoints_is_refused_by_all_daemons() {
    is_refused_by_all_daemons("/plain/x").await;
}

#[tokio::test]
async fn a_daemon_that_starts_later_refuses_it_too() {
    let mut bench = fleet().await;
    crash_three(&mut bench, "/stream-once/x").await;
    bench.add_daemon(&[0]);
    bench.ready(DAEMONS, ENDPOINTS).await;
    Bench::pause(KNOWN_MS).await;
    let before = sent(&bench);
    for number in 100..109 {
        let call = crashing(number, "/stream-once/x");
        bench.send_to(DAEMONS, &call).await;
        bench.replace_crashed(FRAGILE).await;
    }
    assert_that!(sent(&bench) - before, le(SENT_MAX));
}

#[tokio::test]
async fn what_ran_beside_three_ends_is_served() {
    let mut bench = fleet().await;
    let long = |number: usize| Call::new(format!("b-{number}"), "/stream-once/x").with_body("slow");
    let slow = Behaviour {
        pace: std::time::Duration::from_millis(200),
        ..FRAGILE
    };
    let mut cut = 0;
    for round in 0..20 {
        bench.behave(slow);
        // Several at each endpoint, so that whichever ends runs one.
        let mut beside = Vec::new();
        for number in 0..ENDPOINTS * 4 {
            let mut caller = bench.caller();
            let call = long(round * 100 + number);
            beside.push(tokio::spawn(async move { caller.send(&call).await }));
        }
        Bench::pause(100).await;
        let call = crashing(round, "/stream-once/x");
        bench.send_to(round % DAEMONS, &call).await;
        for reply in beside {
            let reply = reply.await.expect("a reply");
            cut += usize::from(!reply.is_success());
        }
        bench.replace_crashed(slow).await;
        if sent(&bench) >= ENOUGH {
            break;
        }
    }
    assert_that!(cut, ge(ENOUGH), "it ran beside");
    Bench::pause(KNOWN_MS).await;
    for daemon in 0..DAEMONS {
        let reply = bench.send_to(daemon, &long(daemon + 9000)).await;
        assert_that!(reply.is_success(), eq(true), "{reply:?}");
    }
}

#[tokio::test]
async fn its_refusal_says_that_it_has_not_run_and_why() {
    let mut bench = fleet().await;
    crash_three(&mut bench, "/stream-once/x").await;
    Bench::pause(KNOWN_MS).await;
    let last = send_again(&mut bench, "/stream-once/x").await;
    assert_that!(last.status.map(|status| status.as_u16()), some(eq(503)));
    assert_that!(last.headers.contains_key("retry-after"), eq(true));
    let text = String::from_utf8_lossy(&last.body).into_owned();
    assert_that!(text, contains_substring("quarantined"));
    let daemon = &bench.daemons[108 % DAEMONS];
    let refused = daemon.lines_with("\"outcome\":\"quarantined\"");
    assert_that!(refused.is_empty(), eq(false));
    let fingerprint = field(&refused[0], "fingerprint").expect("a fingerprint");
    let ends = daemon.lines_with("quarantine: begins");
    assert_that!(ends[0], contains_substring(fingerprint.as_str()));
}

/// Answers each connection's first request with the head of a stream whose end isn't marked, and
/// closes it, as an endpoint does that ends just then.
async fn answer_without_end(listener: TcpListener) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let mut head = vec![0; 4096];
        let read = stream.read(&mut head).await.unwrap_or_default();
        let head = String::from_utf8_lossy(&head[..read]).to_lowercase();
        let attempt = head.split("medlarrill-attempt-id: ").nth(1);
        let attempt = attempt.and_then(|rest| rest.split("\r\n").next());
        let answer = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nmedlarrill-attempt-id: {}\r\n\
             medlarrill-response-seal: s\r\nconnection: close\r\n\r\n",
            attempt.unwrap_or_default()
        );
        stream.write_all(answer.as_bytes()).await.ok();
    }
}

#[tokio::test]
async fn an_answer_whose_end_is_not_marked_clears_nobody() {
    let mut bench = Bench::without_daemon(ENDPOINTS).await;
    bench.behave(FRAGILE);
    for endpoint in &bench.endpoints {
        bench.store.remove("servers", endpoint.id());
    }
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let mut entry = bench.endpoints[0].entry(POOL, "ready");
    entry["address"] = listener.local_addr().expect("a port").to_string().into();
    bench.store.put("servers", "endless", entry);
    tokio::spawn(answer_without_end(listener));
    for number in 0..DAEMONS {
        bench.add_daemon(if number == 0 { &[] } else { &[0] });
        bench.ready(number, 1).await;
    }
    for number in 0..DAEMONS {
        bench.until(number, &format!("\"live\":{DAEMONS}"), 1).await;
        let call = crashing(900 + number, "/stream-once/x");
        let reply = bench.send_to(number, &call).await;
        assert_that!(reply.status.map(|status| status.as_u16()), some(eq(200)));
    }
    bench.store.remove("servers", "endless");
    for endpoint in &bench.endpoints {
        let entry = endpoint.entry(POOL, "ready");
        bench.store.put("servers", endpoint.id(), entry);
    }
    for number in 0..DAEMONS {
        bench.ready(number, 1 + ENDPOINTS).await;
        bench.until(number, "endpoint gone", 1).await;
    }
    crash_three(&mut bench, "/stream-once/x").await;
    Bench::pause(KNOWN_MS).await;
    let before = sent(&bench);
    send_again(&mut bench, "/stream-once/x").await;
    assert_that!(sent(&bench) - before, eq(0));
}

/// Kills all daemons and sends the crashing request to each that starts again.
async fn sent_after_all_were_killed(bench: &mut Bench) -> usize {
    bench.restart_all();
    for number in 0..DAEMONS {
        bench.ready(number, ENDPOINTS).await;
        bench.until(number, "quarantine: begins", 1).await;
    }
    let before = sent(bench);
    send_again(bench, "/stream-once/x").await;
    sent(bench) - before
}

#[tokio::test]
async fn it_is_known_after_all_daemons_were_killed_at_once() {
    let mut bench = fleet().await;
    crash_three(&mut bench, "/stream-once/x").await;
    Bench::pause(KNOWN_MS).await;
    assert_that!(sent_after_all_were_killed(&mut bench).await, eq(0));
}

#[tokio::test]
async fn it_is_kept_once_an_outage_of_the_platform_has_ended() {
    for outage in [Outage::Silent, Outage::Busy, Outage::Reset] {
        let mut bench = fleet().await;
        bench.store.fail(outage);
        crash_three(&mut bench, "/stream-once/x").await;
        Bench::pause(KNOWN_MS).await;
        let before = sent(&bench);
        send_again(&mut bench, "/stream-once/x").await;
        assert_that!(sent(&bench) - before, eq(0), "during the outage");
        bench.store.fail(Outage::None);
        for _ in 0..1000 {
            if !bench.store.names("quarantine").is_empty() {
                break;
            }
            Bench::pause(10).await;
        }
        assert_that!(sent_after_all_were_killed(&mut bench).await, eq(0));
    }
}

#[tokio::test]
async fn what_the_platform_keeps_is_removed_when_it_is_too_old_and_left_if_it_can_not_be_read() {
    let mut bench = Bench::without_daemon(1).await;
    let old = serde_json::json!({ "endpoints": [1, 2, 3], "lost_at": 1_000 });
    bench.store.put("quarantine", "00000000000000aa", old);
    bench
        .store
        .put("quarantine", "00000000000000bb", "text".into());
    bench.add_daemon(&[]);
    bench.ready(0, 1).await;
    bench.until(0, "an entry can't be read", 1).await;
    for _ in 0..500 {
        if !bench.store.has("quarantine", "00000000000000aa") {
            break;
        }
        Bench::pause(10).await;
    }
    let left = vec!["00000000000000bb".to_owned()];
    assert_that!(bench.store.names("quarantine"), eq(&left));
}

#[tokio::test]
async fn a_stream_without_framing_that_ends_all_endpoints_is_refused_by_all_daemons() {
    let unframed = Behaviour {
        form: Form {
            ending: Some(Ending::new(Framing::None)),
            ..Form::DEFAULT
        },
        ..FRAGILE
    };
    let mut bench = fleet().await;
    bench.behave(unframed);
    let mut crashed = 0;
    for number in 0..20 {
        let call = crashing(number, "/stream-once/x");
        let reply = bench.send_to(number % DAEMONS, &call).await;
        assert_that!(reply.is_success(), eq(false), "{reply:?}");
        Bench::pause(100).await;
        crashed += bench.replace_crashed(unframed).await;
        if crashed >= ENOUGH {
            break;
        }
        Bench::pause(100).await;
    }
    assert_that!(crashed, eq(ENOUGH));
    Bench::pause(KNOWN_MS).await;
    let before = sent(&bench);
    send_again(&mut bench, "/stream-once/x").await;
    assert_that!(sent(&bench) - before, eq(0));
}
