//! Calls to a model engine that breaks off streams, refuses, hangs and fences orders.

use std::net::SocketAddr;

use googletest::prelude::*;
use http::Method;
use medlarrill_core::clock::Millis;
use medlarrill_core::outcome::Outcome;
use medlarrill_net::endpoint::{
    Answer, CacheKind, CallError, Client, Error, EventError, Events, Limits, Order, OrderAnswer,
    OrderKind, Request, Reuse, State, retry_after,
};
use medlarrill_testkit::engine::{
    Faults, Message, Phase, Settings, expected_answer, messages_text,
};
use medlarrill_testkit::http::Outage;
use medlarrill_testkit::wait::until;
use medlarrill_testkit::{ANY_PORT, Engine};
use serde_json::{Value, json};

/// Timeout that is never reached unless a test hangs.
const GUARD_TIMEOUT: Millis = Millis::from_secs(20);
/// Timeout that a hanging engine always exceeds.
const SHORT_TIMEOUT: Millis = Millis(100);
const PROMPT: &str = "from the depot to the coast in two days";
const MAX_EVENT: usize = 64 << 10;

async fn start(settings: Settings) -> (Engine, Client) {
    let engine = Engine::start(ANY_PORT, settings).await.unwrap();
    (engine, Client::new(&Limits::default()))
}

fn fast_settings() -> Settings {
    Settings {
        step: Millis(1),
        grace: Millis(20),
        event_lag: Millis(1),
        event_loss: 0.0,
        load_lag: Millis::ZERO,
        ..Settings::default()
    }
}

fn completion(name: &str, tokens: u64) -> Request {
    let messages = [Message::new("user", PROMPT)];
    let body = json!({"messages": messages, "max_tokens": tokens, "stream": true});
    let mut request = Request::new(Method::POST, "/v1/chat/completions")
        .with_body(body.to_string().into())
        .with_reuse(Reuse::Fresh)
        .with_timeouts(GUARD_TIMEOUT, GUARD_TIMEOUT);
    let name = name.parse().unwrap();
    request.headers.insert("x-request-id", name);
    request
}

/// What was received of a stream.
#[derive(Default)]
struct Received {
    text: String,
    tokens: u64,
    cached: Option<u64>,
    done: bool,
    error: Option<EventError>,
}

impl Received {
    /// Reads until the stream ends or fails.
    async fn read(&mut self, answer: Answer) {
        let mut events = Events::new(answer.body, MAX_EVENT);
        self.error = None;
        while let Some(event) = events.next().await {
            match event {
                Err(error) => self.error = Some(error),
                Ok(event) if event.is_done() => self.done = true,
                Ok(event) => {
                    self.tokens = event.tokens().unwrap();
                    self.take(serde_json::from_slice(&event.data).unwrap());
                }
            }
        }
    }

    fn take(&mut self, chunk: Value) {
        let usage = &chunk["usage"]["prompt_tokens_details"]["cached_tokens"];
        self.cached = self.cached.or(usage.as_u64());
        let content = &chunk["choices"][0]["delta"]["content"];
        self.text += content.as_str().unwrap_or_default();
    }
}

fn complete_text(tokens: u64) -> String {
    expected_answer(&messages_text(&[Message::new("user", PROMPT)]), tokens)
}

async fn phase(engine: &Engine, name: &str) -> Option<Phase> {
    let runs = engine.runs();
    runs.iter()
        .find(|run| run.request == name)
        .map(|run| run.phase)
}

#[gtest]
#[tokio::test]
async fn broken_stream_resumes_without_gaps_or_duplicates() {
    let settings = Settings {
        grace: GUARD_TIMEOUT,
        ..fast_settings()
    };
    let (engine, client) = start(settings).await;
    engine.set_faults(Faults {
        breaks: 2,
        break_after: 20,
        ..Faults::default()
    });
    let mut received = Received::default();
    let answer = client.send(engine.address(), completion("r1", 50)).await;
    received.read(answer.unwrap()).await;
    for tokens in [20, 40] {
        expect_that!(
            received.error,
            some(matches_pattern!(EventError::Transport(_)))
        );
        expect_that!(received.tokens, eq(tokens));
        expect_that!(received.done, eq(false));
        let answer = client.resume(
            engine.address(),
            "r1",
            received.tokens,
            GUARD_TIMEOUT,
            GUARD_TIMEOUT,
        );
        received.read(answer.await.unwrap()).await;
    }
    expect_that!(received.error, none());
    expect_that!(received.done, eq(true));
    expect_that!(received.cached, some(eq(0)));
    expect_that!(received.text, eq(&complete_text(50)));
    let unknown = client
        .resume(engine.address(), "r2", 0, GUARD_TIMEOUT, GUARD_TIMEOUT)
        .await;
    expect_that!(unknown.unwrap().status.as_u16(), eq(404));
}

#[gtest]
#[tokio::test]
async fn dropped_response_and_cancel_end_the_run() {
    let (engine, client) = start(fast_settings()).await;
    let address = engine.address();
    for reuse in [Reuse::Pooled, Reuse::Fresh] {
        let name = format!("dropped-{reuse:?}");
        let request = completion(&name, 10_000).with_reuse(reuse);
        let mut answer = client.send(address, request).await.unwrap();
        expect_that!(answer.body.next().await, some(ok(anything())));
        drop(answer);
        until("cancelled", async || {
            phase(&engine, &name).await == Some(Phase::Cancelled)
        })
        .await;
    }
    let answer = client.send(address, completion("cancelled", 10_000)).await;
    let mut body = answer.unwrap().body;
    expect_that!(body.next().await, some(ok(anything())));
    expect_that!(
        client.cancel(address, "cancelled", GUARD_TIMEOUT).await,
        ok(eq(&true))
    );
    expect_that!(
        phase(&engine, "cancelled").await,
        some(eq(Phase::Cancelled))
    );
    expect_that!(
        client.cancel(address, "cancelled", GUARD_TIMEOUT).await,
        ok(eq(&false))
    );
    let slash = client.cancel(address, "a/b", GUARD_TIMEOUT).await;
    let error = slash.unwrap_err();
    expect_that!(
        error,
        matches_pattern!(CallError::Transport(matches_pattern!(
            Error::NotSent { .. }
        )))
    );
}

#[gtest]
#[tokio::test]
async fn full_engine_refuses_with_retry_after() {
    let (engine, client) = start(fast_settings()).await;
    engine.set_faults(Faults {
        refusals: 1,
        ..Faults::default()
    });
    let answer = client.send(engine.address(), completion("r1", 5)).await;
    let answer = answer.unwrap();
    expect_that!(answer.status.as_u16(), eq(503));
    expect_that!(retry_after(&answer.headers), some(eq(Millis::from_secs(1))));
    expect_that!(engine.runs().len(), eq(0));
}

#[gtest]
#[tokio::test]
async fn order_with_an_old_fencing_number_is_refused() {
    let (engine, client) = start(fast_settings()).await;
    let address = engine.address();
    let order = |name: &str| Order {
        kind: OrderKind::LoadModel,
        name: name.into(),
    };
    let taken = client.order(address, 5, &order("m2"), GUARD_TIMEOUT).await;
    expect_that!(taken, ok(eq(&OrderAnswer::Taken)));
    let old = client.order(address, 4, &order("m3"), GUARD_TIMEOUT).await;
    expect_that!(old, ok(eq(&OrderAnswer::Fenced { fence: 5 })));
    let state = client.state(address, GUARD_TIMEOUT).await.unwrap();
    expect_that!(state.model, eq("m2"));
    expect_that!(state.fence, eq(5));
}

#[gtest]
#[tokio::test]
async fn engine_reports_its_load_health_and_cache() {
    let (engine, client) = start(fast_settings()).await;
    let address = engine.address();
    let mut received = Received::default();
    let answer = client.send(address, completion("r1", 40)).await.unwrap();
    received.read(answer).await;
    let events = client
        .cache_events(address, 0, GUARD_TIMEOUT)
        .await
        .unwrap();
    let stored = events.events.first().unwrap();
    expect_that!(stored.kind, eq(CacheKind::Stored));
    expect_that!(stored.tokens, gt(0));
    let load = client.load(address, GUARD_TIMEOUT).await.unwrap();
    expect_that!(load.slots, eq(16));
    expect_that!(load.cache.unwrap().used, gt(0));
    expect_that!(
        client.health(address, GUARD_TIMEOUT).await.unwrap().state,
        eq(State::Ready)
    );
    engine.set_faults(Faults {
        leaving: true,
        ..Faults::default()
    });
    expect_that!(
        client.health(address, GUARD_TIMEOUT).await.unwrap().state,
        eq(State::Leaving)
    );
}

#[gtest]
#[tokio::test]
async fn engine_that_hangs_or_breaks_off_leaves_the_outcome_unknown() {
    let (engine, client) = start(fast_settings()).await;
    for (outage, kind) in [(Outage::Hang, "timeout"), (Outage::Cut, "lost")] {
        engine.set_faults(Faults {
            outage: Some(outage),
            ..Faults::default()
        });
        let request = completion("r1", 5).with_timeouts(SHORT_TIMEOUT, SHORT_TIMEOUT);
        let error = client.send(engine.address(), request).await.unwrap_err();
        expect_that!(error.kind(), eq(kind));
        expect_that!(error.outcome(), eq(Outcome::Unknown));
    }
    let address: SocketAddr = engine.address();
    engine.stop().await;
    let error = client.send(address, completion("r1", 5)).await.unwrap_err();
    expect_that!(error.outcome(), eq(Outcome::NotRun));
}
