//! Hostile input at the callers' port gets a clear answer within a bound, and harms nobody else.

#[path = "support/bench.rs"]
mod bench;

use std::net::SocketAddr;
use std::time::Duration;

use bench::{Bench, GUARD, bench};
use googletest::prelude::*;
use hyper::Method;
use medlarrill_core::clock::Millis;
use medlarrill_testkit::client;
use medlarrill_testkit::engine::{Message, Phase, Settings, expected_answer, messages_text};
use medlarrill_testkit::fleet::{Layout, metric};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

const KEY: &str = "Authorization: Bearer padkos-leaders-key\r\n";
const LOOK: Duration = Duration::from_millis(5);
const CONNECTIONS: usize = 16;

fn limits() -> serde_json::Value {
    json!({
        "head": "8KiB",
        "headers": 20,
        "head-wait": "400ms",
        "body": "64KiB",
        "body-wait": "400ms",
        "write-wait": "800ms",
        "connections": CONNECTIONS,
        "window": "64KiB",
    })
}

async fn small() -> Bench {
    let layout = Layout::default().with_daemons(1).with_engines(1);
    bench(layout.with_limits(limits())).await
}

fn address(bench: &Bench) -> SocketAddr {
    bench.fleet.daemons[0].started.callers
}

fn post(headers: &str, body: &str) -> Vec<u8> {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\n{headers}\r\n{body}"
    )
    .into_bytes()
}

fn whole(body: &str) -> Vec<u8> {
    post(&format!("{KEY}Content-Length: {}\r\n", body.len()), body)
}

/// Writes the bytes and reads until the other side closes, which it has to.
async fn answer(address: SocketAddr, request: &[u8]) -> String {
    let mut socket = TcpStream::connect(address).await.unwrap();
    // The other side may answer and close before all is written.
    let _ = socket.write_all(request).await;
    read(&mut socket).await
}

async fn read(socket: &mut TcpStream) -> String {
    let mut heard = Vec::new();
    let read = async {
        let mut buffer = [0; 4096];
        // A reset after the answer is a close too.
        while let Ok(len @ 1..) = socket.read(&mut buffer).await {
            heard.extend_from_slice(&buffer[..len]);
        }
    };
    timeout(GUARD.as_duration(), read).await.unwrap();
    String::from_utf8_lossy(&heard).into_owned()
}

async fn refusals(bench: &Bench, reason: &str) -> f64 {
    let name = format!("medlarrill_refusals_total{{reason=\"{reason}\"}}");
    metric(address(bench), &name).await.unwrap_or_default()
}

/// A caller that asks for a long stream and reads nothing of it.
async fn deaf(address: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4 << 10).unwrap();
    let mut socket = socket.connect(address).await.unwrap();
    let body = json!({
        "model": "m1",
        "messages": [Message::new("user", "deaf")],
        "max_tokens": 30_000,
        "stream": true,
    });
    socket.write_all(&whole(&body.to_string())).await.unwrap();
    socket
}

async fn unserved(bench: &Bench, reason: &str) -> f64 {
    let name = format!("medlarrill_connections_unserved_total{{reason=\"{reason}\"}}");
    metric(address(bench), &name).await.unwrap_or_default()
}

/// A real caller gets its whole answer.
async fn expect_unharmed(bench: &Bench) {
    let caller = bench.fleet.caller(0).unwrap();
    let messages = vec![Message::new("user", "still there?")];
    let right = expected_answer(&messages_text(&messages), 8);
    let answer = caller.chat("good", &messages, 8).await.unwrap();
    expect_that!(answer.text, eq(&right));
}

async fn until(mut condition: impl AsyncFnMut() -> bool) {
    let wait = async {
        while !condition().await {
            tokio::time::sleep(LOOK).await;
        }
    };
    timeout(GUARD.as_duration(), wait).await.unwrap();
}

#[gtest]
#[tokio::test]
async fn each_bad_request_gets_its_problem_and_is_counted() {
    let bench = small().await;
    let large = "x".repeat(70 << 10);
    let chunked = format!("{:x}\r\n{large}\r\n0\r\n\r\n", large.len());
    let chunks = format!("{KEY}Transfer-Encoding: chunked\r\n");
    let mut bytes = whole("{\"model\": \"??\"}");
    let at = bytes.windows(2).position(|two| two == b"??").unwrap();
    bytes[at..at + 2].copy_from_slice(&[0xff, 0xfe]);
    let cases = [
        (
            post(&format!("{KEY}Content-Length: 999999999999999\r\n"), ""),
            413,
            "too-large",
            "65536",
        ),
        (whole(&large), 413, "too-large", "65536"),
        (post(&chunks, &chunked), 413, "too-large", "65536"),
        (post(&chunks, "zz\r\n"), 400, "bad-request", "body"),
        (
            whole("{\"model\": 7}"),
            400,
            "bad-request",
            "line 1 column 11",
        ),
        (
            whole("{\n\"messages\": ["),
            400,
            "bad-request",
            "line 2 column 13",
        ),
        (bytes, 400, "bad-request", "line 1 column"),
        (
            whole(&"[".repeat(60_000)),
            400,
            "bad-request",
            "line 1 column",
        ),
        (post("Content-Length: 2\r\n", "{}"), 401, "unauthorised", ""),
        (
            post(
                "Authorization: Bearer \u{e9}\r\nContent-Length: 2\r\n",
                "{}",
            ),
            401,
            "unauthorised",
            "",
        ),
    ];
    for (request, status, code, detail) in cases {
        let before = refusals(&bench, code).await;
        let heard = answer(address(&bench), &request).await;
        let shown = String::from_utf8_lossy(&request[..request.len().min(200)]).into_owned();
        expect_that!(heard, starts_with(format!("HTTP/1.1 {status} ")), "{shown}");
        expect_that!(
            heard,
            contains_substring("application/problem+json"),
            "{shown}"
        );
        expect_that!(
            heard,
            contains_substring(format!("\"code\":\"{code}\"")),
            "{shown}"
        );
        expect_that!(
            heard,
            contains_substring("\"outcome\":\"not-run\""),
            "{shown}"
        );
        expect_that!(heard, contains_substring(detail), "{shown}");
        expect_that!(refusals(&bench, code).await, eq(before + 1.0), "{shown}");
    }
    expect_that!(bench.fleet.engines[0].runs().len(), eq(0));
    expect_unharmed(&bench).await;
}

#[gtest]
#[tokio::test]
async fn broken_http_is_refused_and_closed() {
    let bench = small().await;
    let many: String = (0..40).map(|at| format!("X-{at}: y\r\n")).collect();
    let long = format!("X-Long: {}\r\n", "y".repeat(20 << 10));
    let cases: [(Vec<u8>, &str); 8] = [
        (
            post(&format!("{KEY}{many}Content-Length: 0\r\n"), ""),
            "HTTP/1.1 431 ",
        ),
        (
            post(&format!("{KEY}{long}Content-Length: 0\r\n"), ""),
            "HTTP/1.1 431 ",
        ),
        (
            format!("GET /{} HTTP/1.1\r\n\r\n", "y".repeat(20 << 10)).into(),
            "HTTP/1.1 4",
        ),
        (
            post(
                &format!("{KEY}Content-Length: 99999999999999999999999\r\n"),
                "",
            ),
            "HTTP/1.1 400 ",
        ),
        (
            post(&format!("{KEY}Content-Length: -1\r\n"), ""),
            "HTTP/1.1 400 ",
        ),
        (
            post(
                &format!("{KEY}Content-Length: 1\r\nContent-Length: 2\r\n"),
                "ab",
            ),
            "HTTP/1.1 400 ",
        ),
        (
            b"\x00\x01\xff\xfe rubbish\r\n\r\n".to_vec(),
            "HTTP/1.1 400 ",
        ),
        (b"GET / HTTP/9.9\r\n\r\n".to_vec(), "HTTP/1.1 400 "),
    ];
    for (request, wanted) in cases {
        let heard = answer(address(&bench), &request).await;
        let shown = String::from_utf8_lossy(&request[..request.len().min(120)]).into_owned();
        expect_that!(heard, starts_with(wanted), "{shown}");
    }
    until(async || unserved(&bench, "broken").await == 8.0).await;
    expect_unharmed(&bench).await;
}

#[gtest]
#[tokio::test]
async fn slow_heads_and_bodies_end_within_their_bounds() {
    let bench = small().await;
    let address = address(&bench);
    // Half-open: nothing, and a part of a head.
    expect_that!(answer(address, b"").await, eq(""));
    until(async || unserved(&bench, "silent").await == 1.0).await;
    answer(address, b"POST /v1/chat/completions HT").await;
    // A head that trickles.
    let mut socket = TcpStream::connect(address).await.unwrap();
    let trickle = async {
        socket.write_all(b"GET / HTTP/1.1\r\n").await.unwrap();
        while socket.write_all(b"X-A: b\r\n").await.is_ok() {
            tokio::time::sleep(Duration::from_millis(40)).await;
        }
    };
    timeout(GUARD.as_duration(), trickle).await.unwrap();
    let heard = answer(
        address,
        &post(&format!("{KEY}Content-Length: 100\r\n"), "{\"m"),
    )
    .await;
    expect_that!(heard, starts_with("HTTP/1.1 408 "));
    expect_that!(heard, contains_substring("\"code\":\"slow-request\""));
    expect_that!(refusals(&bench, "slow-request").await, eq(1.0));
    // A body that ends before its length.
    let before = refusals(&bench, "bad-request").await;
    let mut socket = TcpStream::connect(address).await.unwrap();
    let cut = post(&format!("{KEY}Content-Length: 100\r\n"), "{\"m");
    socket.write_all(&cut).await.unwrap();
    drop(socket);
    until(async || refusals(&bench, "bad-request").await == before + 1.0).await;
    // A connection kept after an answer.
    let mut socket = TcpStream::connect(address).await.unwrap();
    socket
        .write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
        .await
        .unwrap();
    expect_that!(read(&mut socket).await, contains_substring("live"));
    expect_unharmed(&bench).await;
}

#[gtest]
#[tokio::test]
async fn a_request_without_a_known_key_is_refused_before_its_body() {
    let bench = small().await;
    let mut socket = TcpStream::connect(address(&bench)).await.unwrap();
    // No byte of the body is sent, and the answer doesn't wait for it.
    let request = post(
        "Authorization: Bearer nobody\r\nContent-Length: 60000\r\n",
        "",
    );
    socket.write_all(&request).await.unwrap();
    let heard = read(&mut socket).await;
    expect_that!(heard, starts_with("HTTP/1.1 401 "));
    expect_that!(refusals(&bench, "unauthorised").await, eq(1.0));
    expect_that!(refusals(&bench, "slow-request").await, eq(0.0));
}

#[gtest]
#[tokio::test]
async fn idle_connections_are_capped_and_give_way() {
    let bench = small().await;
    let mut idle = Vec::new();
    for _ in 0..CONNECTIONS * 3 {
        idle.push(TcpStream::connect(address(&bench)).await.unwrap());
    }
    // Behind all of them, a real caller gets its turn.
    expect_unharmed(&bench).await;
    for socket in &mut idle {
        expect_that!(read(socket).await, eq(""));
    }
}

#[gtest]
#[tokio::test]
async fn a_caller_that_never_reads_is_given_up_and_its_work_ended() {
    let engine = Settings {
        step: Millis(1),
        grace: GUARD,
        ..Settings::default()
    };
    let layout = Layout::default().with_daemons(1).with_engines(1);
    let bench = bench(layout.with_engine(engine).with_limits(limits())).await;
    let engine = &bench.fleet.engines[0];
    let mut sent = 0.0;
    // A machine that holds the engine's reports up makes the daemon refuse at first.
    let socket = loop {
        let socket = deaf(address(&bench)).await;
        sent += 1.0;
        let count = async |name| metric(address(&bench), name).await;
        until(async || count("medlarrill_requests_total").await == Some(sent)).await;
        until(async || {
            !engine.runs().is_empty() || count("medlarrill_in_flight").await == Some(0.0)
        })
        .await;
        if !engine.runs().is_empty() {
            break socket;
        }
    };
    until(async || {
        let runs = engine.runs();
        runs.first()
            .is_some_and(|run| run.phase == Phase::Cancelled)
    })
    .await;
    until(async || metric(address(&bench), "medlarrill_in_flight").await == Some(0.0)).await;
    let held = metric(address(&bench), "medlarrill_buffered_bytes").await;
    expect_that!(held, some(eq(0.0)));
    expect_that!(refusals(&bench, "cancelled").await, eq(1.0));
    drop(socket);
    expect_unharmed(&bench).await;
}

#[gtest]
#[tokio::test]
async fn seeded_rubbish_never_breaks_the_daemon() {
    const ROUNDS: u64 = 150;
    let bench = small().await;
    let good = whole("{\"model\":\"m1\",\"messages\":[],\"max_tokens\":2}");
    let mut seed = 7u64;
    let mut draw = move |below: usize| {
        seed = seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (seed >> 33) as usize % below
    };
    for _ in 0..ROUNDS {
        let mut bytes = good.clone();
        for _ in 0..=draw(6) {
            let at = draw(bytes.len());
            match draw(3) {
                0 => bytes[at] = draw(256) as u8,
                1 => bytes.truncate(at.max(1)),
                _ => {
                    let rest = bytes.split_off(at);
                    bytes.extend((0..draw(64)).map(|_| draw(256) as u8));
                    bytes.extend(rest);
                }
            }
        }
        // Pipelined behind each other, and half-closed, so that nothing waits for a bound.
        let mut socket = TcpStream::connect(address(&bench)).await.unwrap();
        let _ = socket.write_all(&bytes).await;
        let _ = socket.write_all(&bytes).await;
        let _ = socket.shutdown().await;
        read(&mut socket).await;
    }
    let health = client::send(
        address(&bench),
        client::request(Method::GET, "/healthz"),
        "",
    );
    expect_that!(health.await.unwrap().status().as_u16(), eq(200));
    expect_unharmed(&bench).await;
}
