//! The engine's answers: streamed, whole, resumed, cancelled and broken.

#![expect(clippy::unwrap_used, reason = "a helper that fails fails its test")]

use std::net::SocketAddr;

use bytes::Bytes;
use googletest::prelude::*;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Response};
use medlarrill_testkit::client::{open, request, send};
use medlarrill_testkit::engine::{
    Faults, Message, Phase, Settings, expected_answer, messages_text,
};
use medlarrill_testkit::wait::until;
use medlarrill_testkit::{ANY_PORT, Engine};
use serde_json::{Value, json};

const STREAM: &str = "/v1/streams/r1";

fn settings() -> Settings {
    Settings {
        step: medlarrill_core::clock::Millis(1),
        ..Settings::default()
    }
}

fn expected(prompt: &str, tokens: u64) -> String {
    expected_answer(&messages_text(&[Message::new("user", prompt)]), tokens)
}

async fn ask(at: SocketAddr, name: &str, prompt: &str, tokens: u64) -> Response<Incoming> {
    let messages = [Message::new("user", prompt)];
    let body = json!({"messages": messages, "max_tokens": tokens, "stream": true});
    let ask = request(Method::POST, "/v1/chat/completions").header("x-request-id", name);
    let ask = ask.header("idempotency-key", "k1");
    open(at, ask, body.to_string()).await.unwrap()
}

/// What was read of a stream until it ended or broke.
#[derive(Default)]
struct Seen {
    text: String,
    /// The id of the last event.
    id: u64,
    usage: Value,
    done: bool,
}

/// Reads events until the stream ends, breaks, or has brought `tokens`.
async fn read(answer: Response<Incoming>, tokens: u64) -> Seen {
    let mut body = answer.into_body();
    let mut text = String::new();
    while let Some(Ok(frame)) = body.frame().await {
        text += std::str::from_utf8(&frame.into_data().unwrap()).unwrap();
        let last = text.rfind("id: ").map(|at| &text[at..]).unwrap_or_default();
        if parse(last).id >= tokens {
            break;
        }
    }
    parse(&text)
}

fn parse(text: &str) -> Seen {
    let mut seen = Seen::default();
    let (whole, _) = text.rsplit_once("\n\n").unwrap_or_default();
    for event in whole.split("\n\n").filter(|event| !event.is_empty()) {
        let (id, data) = event.split_once("\ndata: ").unwrap();
        seen.id = id.strip_prefix("id: ").unwrap().parse().unwrap();
        if data == "[DONE]" {
            seen.done = true;
            continue;
        }
        let chunk: Value = serde_json::from_str(data).unwrap();
        seen.usage = chunk["usage"].clone();
        let piece = &chunk["choices"][0]["delta"]["content"];
        seen.text += piece.as_str().unwrap_or_default();
    }
    seen
}

async fn phase_is(engine: &Engine, run: usize, phase: Phase) {
    let reached = || engine.runs().get(run).is_some_and(|run| run.phase == phase);
    until("the phase", async || reached()).await;
}

#[gtest]
#[tokio::test]
async fn a_streamed_answer_is_whole_and_the_prompts_own() {
    let engine = Engine::start(ANY_PORT, settings()).await.unwrap();
    let seen = read(ask(engine.address(), "r1", "hello", 40).await, u64::MAX).await;
    expect_that!(seen.text, eq(&expected("hello", 40)));
    expect_that!(seen.text, not(eq(&expected("hallo", 40))));
    expect_that!(seen.done, eq(true));
    expect_that!(seen.id, eq(40));
    expect_that!(seen.usage["completion_tokens"], eq(&json!(40)));
    let runs = engine.runs();
    expect_that!(runs, len(eq(1)));
    expect_that!(runs[0].key, some(eq("k1")));
    expect_that!(runs[0].phase, eq(Phase::Done));
}

#[gtest]
#[tokio::test]
async fn a_whole_answer_is_the_same_text() {
    let engine = Engine::start(ANY_PORT, settings()).await.unwrap();
    let messages = [Message::new("user", "hello")];
    let body = json!({"messages": messages, "max_tokens": 12}).to_string();
    let ask = request(Method::POST, "/v1/chat/completions");
    let answer = send(engine.address(), ask, body).await.unwrap();
    let answer: Value = serde_json::from_slice(answer.body()).unwrap();
    let text = answer["choices"][0]["message"]["content"].as_str();
    expect_that!(text, some(eq(&expected("hello", 12))));
    expect_that!(answer["usage"]["completion_tokens"], eq(&json!(12)));
}

#[gtest]
#[tokio::test]
async fn a_broken_stream_resumes_without_gap_or_repeat() {
    let engine = Engine::start(ANY_PORT, settings()).await.unwrap();
    engine.set_faults(Faults {
        breaks: 1,
        break_after: 10,
        ..Faults::default()
    });
    let first = read(ask(engine.address(), "r1", "hello", 50).await, u64::MAX).await;
    expect_that!(first.id, eq(10));
    expect_that!(first.done, eq(false));
    let path = format!("{STREAM}?from={}", first.id);
    let rest = open(engine.address(), request(Method::GET, &path), "").await;
    let rest = read(rest.unwrap(), u64::MAX).await;
    expect_that!(first.text + &rest.text, eq(&expected("hello", 50)));
    expect_that!(rest.done, eq(true));
    expect_that!(engine.runs(), len(eq(1)));
}

#[gtest]
#[tokio::test]
async fn a_stream_without_a_reader_is_cancelled_after_its_grace() {
    let settings = Settings {
        grace: medlarrill_core::clock::Millis(20),
        ..settings()
    };
    let engine = Engine::start(ANY_PORT, settings).await.unwrap();
    let seen = read(ask(engine.address(), "r1", "hello", 60_000).await, 5).await;
    expect_that!(seen.id, ge(5));
    phase_is(&engine, 0, Phase::Cancelled).await;
    let resumed = send(engine.address(), request(Method::GET, STREAM), "").await;
    expect_that!(resumed.unwrap().status().as_u16(), eq(404));
}

#[gtest]
#[tokio::test]
async fn a_cancelled_stream_is_cut() {
    let engine = Engine::start(ANY_PORT, settings()).await.unwrap();
    let answer = ask(engine.address(), "r1", "hello", 60_000).await;
    let cancelled = send(engine.address(), request(Method::DELETE, STREAM), "").await;
    expect_that!(cancelled.unwrap().status().as_u16(), eq(204));
    expect_that!(read(answer, u64::MAX).await.done, eq(false));
    expect_that!(engine.runs()[0].phase, eq(Phase::Cancelled));
}

#[gtest]
#[tokio::test]
async fn a_slow_reader_pauses_its_stream() {
    let settings = Settings {
        buffer: 8,
        ..settings()
    };
    let engine = Engine::start(ANY_PORT, settings).await.unwrap();
    let answer = ask(engine.address(), "r1", "hello", 60_000).await;
    until("a pause", async || engine.counters().pauses > 0).await;
    expect_that!(engine.counters().largest_buffer, eq(8));
    let paused = engine.runs()[0].made;
    expect_that!(paused, lt(60_000));
    let seen = read(answer, paused + 1).await;
    expect_that!(expected("hello", 60_000).starts_with(&seen.text), eq(true));
}

#[gtest]
#[tokio::test]
async fn a_full_engine_refuses_and_has_not_run() {
    let settings = Settings {
        slots: 1,
        queue: 1,
        ..settings()
    };
    let engine = Engine::start(ANY_PORT, settings).await.unwrap();
    let running = ask(engine.address(), "r1", "one", 60_000).await;
    phase_is(&engine, 0, Phase::Running).await;
    let waiting = tokio::spawn(ask(engine.address(), "r2", "two", 3));
    phase_is(&engine, 1, Phase::Waiting).await;
    let refused = ask(engine.address(), "r3", "three", 3).await;
    expect_that!(refused.status().as_u16(), eq(503));
    expect_that!(refused.headers().contains_key("retry-after"), eq(true));
    expect_that!(engine.runs(), len(eq(2)));
    drop((running, waiting));
}

#[gtest]
#[tokio::test]
async fn a_returning_chat_finds_its_prefix_in_the_cache() {
    let engine = Engine::start(ANY_PORT, settings()).await.unwrap();
    let prompt = "stop list ".repeat(40);
    read(ask(engine.address(), "r1", &prompt, 32).await, u64::MAX).await;
    let messages = [
        Message::new("user", &prompt),
        Message::new("assistant", &expected(&prompt, 32)),
        Message::new("user", "and then?"),
    ];
    let body = json!({"messages": messages, "max_tokens": 4}).to_string();
    let ask = request(Method::POST, "/v1/chat/completions");
    let answer: Response<Bytes> = send(engine.address(), ask, body).await.unwrap();
    let answer: Value = serde_json::from_slice(answer.body()).unwrap();
    let usage = &answer["usage"];
    let text = messages_text(&messages[..2]);
    let cached = text.len() as u64 / 64 * 16;
    expect_that!(
        usage["prompt_tokens_details"]["cached_tokens"],
        eq(&json!(cached))
    );
}
