//! The plain service's runs and faults.

use googletest::prelude::*;
use hyper::{Method, StatusCode};
use medlarrill_core::clock::Millis;
use medlarrill_testkit::client::{get, get_json, request, send};
use medlarrill_testkit::service::Faults;
use medlarrill_testkit::wait::until;
use medlarrill_testkit::{ANY_PORT, Service};
use serde_json::{Value, json};

#[gtest]
#[tokio::test]
async fn each_post_runs_once_and_says_so() {
    let service = Service::start(ANY_PORT).await.unwrap();
    let ask = request(Method::POST, "/book?x=1").header("idempotency-key", "k1");
    let answer = send(service.address(), ask, "note").await.unwrap();
    let answer: Value = serde_json::from_slice(answer.body()).unwrap();
    let digest = blake3::hash(b"note").to_hex().to_string();
    let expected = json!({"run": 1, "path": "/book?x=1", "echo": digest});
    expect_that!(answer, eq(&expected));
    let runs = service.runs();
    expect_that!(runs, len(eq(1)));
    expect_that!(runs[0].key, some(eq("k1")));
    expect_that!(runs[0].digest, eq(&digest));
}

#[gtest]
#[tokio::test]
async fn refusals_have_not_run_and_losses_have() {
    let service = Service::start(ANY_PORT).await.unwrap();
    service.set_faults(Faults {
        refusals: 1,
        losses: 1,
        ..Faults::default()
    });
    let post = || send(service.address(), request(Method::POST, "/book"), "note");
    let refused = post().await.unwrap();
    expect_that!(refused.status().as_u16(), eq(503));
    expect_that!(refused.headers().contains_key("retry-after"), eq(true));
    expect_that!(service.runs(), is_empty());
    expect_that!(post().await.is_err(), eq(true));
    expect_that!(service.runs(), len(eq(1)));
    expect_that!(post().await.unwrap().status().as_u16(), eq(200));
}

#[gtest]
#[tokio::test]
async fn load_and_health_tell_of_work_and_leaving() {
    let service = Service::start(ANY_PORT).await.unwrap();
    let at = service.address();
    service.set_faults(Faults {
        delay: Millis::from_secs(3600),
        leaving: true,
        ..Faults::default()
    });
    let post = tokio::spawn(send(at, request(Method::POST, "/book"), "note"));
    until("the run", async || !service.runs().is_empty()).await;
    let load = get_json(at, "/v1/load").await.unwrap();
    expect_that!(load["running"], eq(&json!(1)));
    expect_that!(load["tokens"], eq(&json!(1)));
    expect_that!(load["state"], eq(&json!("leaving")));
    let health = get(at, "/v1/health").await.unwrap();
    expect_that!(health.status(), eq(StatusCode::SERVICE_UNAVAILABLE));
    post.abort();
    let load = async || get_json(at, "/v1/load").await.unwrap();
    until("an idle service", async || load().await["running"] == 0).await;
}
