//! The engine's orders, load report, cache events, transfer and priorities.

#![expect(clippy::unwrap_used, reason = "a helper that fails fails its test")]

use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

use googletest::prelude::*;
use hyper::{Method, StatusCode};
use medlarrill_core::clock::Millis;
use medlarrill_testkit::client::{get, get_json, request, send, send_json};
use medlarrill_testkit::engine::{
    Event, Faults, Message, Phase, Settings, block_hashes, messages_text,
};
use medlarrill_testkit::wait::until;
use medlarrill_testkit::{ANY_PORT, Engine};
use serde_json::{Value, json};

async fn start(settings: Settings) -> Engine {
    let settings = Settings {
        step: Millis(1),
        ..settings
    };
    Engine::start(ANY_PORT, settings).await.unwrap()
}

/// The whole answer to a prompt.
async fn complete(at: SocketAddr, prompt: &str) -> Value {
    let body = json!({"messages": [Message::new("user", prompt)], "max_tokens": 4});
    let answer = send_json(at, Method::POST, "/v1/chat/completions", &body).await;
    serde_json::from_slice(answer.unwrap().body()).unwrap()
}

/// Starts a long request that nobody reads to its end.
fn ask_long(at: SocketAddr, name: &'static str, priority: u16) {
    let body = json!({"messages": [], "max_tokens": 60_000}).to_string();
    let ask = request(Method::POST, "/v1/chat/completions")
        .header("x-request-id", name)
        .header("x-priority", priority);
    tokio::spawn(send(at, ask, body));
}

async fn phase_is(engine: &Engine, run: usize, phase: Phase) {
    let reached = || engine.runs().get(run).is_some_and(|run| run.phase == phase);
    until("the phase", async || reached()).await;
}

async fn order(at: SocketAddr, fence: u64, kind: &str, name: &str) -> (StatusCode, Value) {
    let order = json!({"fence": fence, "order": {"kind": kind, "name": name}});
    let answer = send_json(at, Method::POST, "/v1/orders", &order).await;
    let answer = answer.unwrap();
    let body = serde_json::from_slice(answer.body()).unwrap();
    (answer.status(), body)
}

#[gtest]
#[tokio::test]
async fn an_engine_that_checks_refuses_an_old_fence() {
    let engine = start(Settings::default()).await;
    let at = engine.address();
    let (status, state) = order(at, 7, "load-model", "m2").await;
    expect_that!(status, eq(StatusCode::OK));
    let expected =
        json!({"model": "m2", "adapters": [], "version": "1", "role": "both", "fence": 7});
    expect_that!(state, eq(&expected));
    let (status, stale) = order(at, 5, "load-model", "m3").await;
    expect_that!(status, eq(StatusCode::CONFLICT));
    expect_that!(stale, eq(&json!({"fence": 7})));
    let state = get_json(at, "/v1/state").await.unwrap();
    expect_that!(state, eq(&expected));
    let applied: Vec<bool> = engine.orders().iter().map(|order| order.applied).collect();
    expect_that!(applied, elements_are![eq(&true), eq(&false)]);
}

#[gtest]
#[tokio::test]
async fn an_engine_that_ignores_fences_applies_every_order() {
    let engine = start(Settings {
        fencing: false,
        ..Settings::default()
    })
    .await;
    order(engine.address(), 7, "load-adapter", "a2").await;
    let (status, state) = order(engine.address(), 5, "load-adapter", "a1").await;
    expect_that!(status, eq(StatusCode::OK));
    expect_that!(state["adapters"], eq(&json!(["a1", "a2"])));
}

#[gtest]
#[tokio::test]
async fn the_load_report_lags() {
    const LAG: Millis = Millis(400);
    let lagging = start(Settings {
        load_lag: Millis::from_secs(3600),
        ..Settings::default()
    })
    .await;
    ask_long(lagging.address(), "r1", 0);
    phase_is(&lagging, 0, Phase::Running).await;
    expect_that!(lagging.load().running, eq(1));
    let load = get_json(lagging.address(), "/v1/load").await.unwrap();
    expect_that!(load["running"], eq(&json!(0)));

    let quick = start(Settings {
        load_lag: LAG,
        ..Settings::default()
    })
    .await;
    ask_long(quick.address(), "r1", 0);
    let load = async || get_json(quick.address(), "/v1/load").await.unwrap();
    until("the report", async || load().await["running"] == 1).await;
    let shown = load().await["as_of"].as_u64().unwrap();
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    expect_that!(Millis::from(now.unwrap()).0 - shown, ge(LAG.0));
}

#[gtest]
#[tokio::test]
async fn cache_events_come_late_and_with_gaps() {
    const PROMPTS: u64 = 40;
    let settings = |lag| Settings {
        event_lag: lag,
        event_loss: 0.5,
        ..Settings::default()
    };
    let late = start(settings(Millis::from_secs(3600))).await;
    let engine = start(settings(Millis(20))).await;
    for n in 0..PROMPTS {
        let prompt = format!("{n} {}", "stop list ".repeat(10));
        complete(engine.address(), &prompt).await;
        complete(late.address(), &prompt).await;
    }
    let none = get_json(late.address(), "/v1/cache/events?after=0").await;
    expect_that!(none.unwrap(), eq(&json!({"events": []})));

    let mut events: Vec<Event> = Vec::new();
    loop {
        let after = events.last().map_or(0, |event| event.seq);
        let path = format!("/v1/cache/events?after={after}&wait=500");
        let answer = get_json(engine.address(), &path).await.unwrap();
        let more: Vec<Event> = serde_json::from_value(answer["events"].clone()).unwrap();
        if more.is_empty() {
            break;
        }
        events.extend(more);
    }
    let seqs: Vec<u64> = events.iter().map(|event| event.seq).collect();
    expect_that!(seqs.is_sorted(), eq(true));
    expect_that!(seqs.len() as u64, gt(0).and(lt(PROMPTS)));
    expect_that!(*seqs.last().unwrap(), le(PROMPTS));
}

#[gtest]
#[tokio::test]
async fn an_exported_prefix_is_found_where_it_was_imported() {
    let from = start(Settings::default()).await;
    let to = start(Settings::default()).await;
    let prompt = "stop list ".repeat(20);
    complete(from.address(), &prompt).await;
    let hashes = block_hashes(&messages_text(&[Message::new("user", &prompt)]));
    let prefix = json!({"prefix": format!("{:016x}", hashes.last().unwrap())});
    let export = async |at| {
        let path = "/v1/cache/export";
        send_json(at, Method::POST, path, &prefix).await.unwrap()
    };
    expect_that!(
        export(to.address()).await.status(),
        eq(StatusCode::NOT_FOUND)
    );
    let blocks = export(from.address()).await.into_body();
    let import = request(Method::POST, "/v1/cache/import");
    let answer = send(to.address(), import, blocks).await.unwrap();
    expect_that!(answer.status(), eq(StatusCode::OK));
    let answer = complete(to.address(), &prompt).await;
    let cached = &answer["usage"]["prompt_tokens_details"]["cached_tokens"];
    expect_that!(cached, eq(&json!(hashes.len() * 16)));
}

#[gtest]
#[tokio::test]
async fn the_cache_stays_within_its_capacity() {
    let engine = start(Settings {
        cache: 8,
        ..Settings::default()
    })
    .await;
    for n in 0..5 {
        complete(engine.address(), &format!("{n} {}", "x".repeat(200))).await;
    }
    let cache = engine.load().cache;
    expect_that!(cache.used, eq(8));
    expect_that!(cache.eviction_age, some(anything()));
}

#[gtest]
#[tokio::test]
async fn a_higher_priority_starts_first() {
    let engine = start(Settings {
        slots: 1,
        ..Settings::default()
    })
    .await;
    let at = engine.address();
    ask_long(at, "r1", 0);
    phase_is(&engine, 0, Phase::Running).await;
    ask_long(at, "r2", 0);
    phase_is(&engine, 1, Phase::Waiting).await;
    ask_long(at, "r3", 9);
    phase_is(&engine, 2, Phase::Waiting).await;
    let cancel = request(Method::DELETE, "/v1/streams/r1");
    send(at, cancel, "").await.unwrap();
    phase_is(&engine, 2, Phase::Running).await;
    expect_that!(engine.runs()[1].phase, eq(Phase::Waiting));
}

#[gtest]
#[tokio::test]
async fn a_frozen_engine_makes_nothing_and_is_still_healthy() {
    let engine = start(Settings::default()).await;
    let at = engine.address();
    engine.set_faults(Faults {
        frozen: true,
        ..Faults::default()
    });
    let answer = tokio::spawn(async move { complete(at, "hello").await });
    phase_is(&engine, 0, Phase::Waiting).await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    expect_that!(engine.counters().steps, eq(0));
    let health = get(at, "/v1/health").await.unwrap();
    expect_that!(health.status(), eq(StatusCode::OK));
    engine.set_faults(Faults::default());
    expect_that!(
        answer.await.unwrap()["usage"]["completion_tokens"],
        eq(&json!(4))
    );
}

#[gtest]
#[tokio::test]
async fn a_leaving_engine_says_so_and_marks_what_comes() {
    let engine = start(Settings::default()).await;
    let at = engine.address();
    let faults = json!({"leaving": true, "refusals": 1});
    let put = send_json(at, Method::PUT, "/stand-in/faults", &faults).await;
    expect_that!(put.unwrap().status(), eq(StatusCode::NO_CONTENT));
    let health = get(at, "/v1/health").await.unwrap();
    expect_that!(health.status(), eq(StatusCode::SERVICE_UNAVAILABLE));
    complete(at, "hello").await;
    expect_that!(engine.runs(), is_empty());
    complete(at, "hello").await;
    let log = get_json(at, "/stand-in/runs?after=0").await.unwrap();
    expect_that!(log["runs"][0]["leaving"], eq(&json!(true)));
    expect_that!(log["counters"]["refused"], eq(&json!(1)));
}
