//! The platform's budgets, lost and late writes, and controls.

#![expect(clippy::unwrap_used, reason = "a helper that fails fails its test")]

use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;
use googletest::prelude::*;
use hyper::{Method, Response, StatusCode};
use medlarrill_core::clock::Millis;
use medlarrill_testkit::client::{Result as Called, get, get_json, request, send, send_json};
use medlarrill_testkit::platform::{Budget, Faults};
use medlarrill_testkit::wait::until;
use medlarrill_testkit::{ANY_PORT, Platform};
use serde_json::json;

async fn create(at: SocketAddr, key: &str) -> Called<Response<Bytes>> {
    let path = format!("/v1/objects/{key}");
    let ask = request(Method::PUT, &path)
        .header("if-none-match", "*")
        .header("x-caller-role", "claim-owner")
        .header("x-caller-vm", "vm-1");
    send(at, ask, "late").await
}

async fn start(faults: Faults) -> Platform {
    let platform = Platform::start(ANY_PORT).await.unwrap();
    platform.set_faults(faults);
    platform
}

#[gtest]
#[tokio::test]
async fn a_lost_answer_has_taken_effect() {
    let platform = start(Faults {
        lost_answers: 1,
        ..Faults::default()
    })
    .await;
    expect_that!(create(platform.address(), "a").await.is_err(), eq(true));
    expect_that!(platform.object("a").is_some(), eq(true));
    expect_that!(platform.faults().lost_answers, eq(0));
    expect_that!(create(platform.address(), "b").await.is_ok(), eq(true));
}

#[gtest]
#[tokio::test]
async fn a_lost_request_has_no_effect() {
    let platform = start(Faults {
        lost_requests: 1,
        ..Faults::default()
    })
    .await;
    expect_that!(create(platform.address(), "a").await.is_err(), eq(true));
    expect_that!(platform.revision(), eq(0));
}

#[gtest]
#[tokio::test]
async fn a_late_write_is_still_conditional() {
    let late = |late_by| Faults {
        late_writes: 1,
        late_by: Millis(late_by),
        ..Faults::default()
    };
    let platform = start(late(200)).await;
    let at = platform.address();
    expect_that!(create(at, "a").await.is_err(), eq(true));
    expect_that!(platform.object("a"), none());
    platform.put("a", "now");
    platform.set_faults(late(300));
    expect_that!(create(at, "b").await.is_err(), eq(true));
    until("b", async || platform.object("b").is_some()).await;
    expect_that!(platform.object("a").unwrap().body.as_ref(), eq(b"now"));
}

#[gtest]
#[tokio::test]
async fn faults_may_meet_one_prefix_and_one_vm() {
    let faults = |prefix: &str, vm: &str| Faults {
        lost_requests: 9,
        prefix: prefix.into(),
        vm: Some(vm.into()),
        ..Faults::default()
    };
    let platform = start(faults("claims/", "vm-1")).await;
    let at = platform.address();
    expect_that!(create(at, "claims/1").await.is_err(), eq(true));
    expect_that!(create(at, "config/1").await.is_ok(), eq(true));
    platform.set_faults(faults("claims/", "vm-2"));
    expect_that!(create(at, "claims/1").await.is_ok(), eq(true));
}

#[gtest]
#[tokio::test]
async fn a_spent_budget_answers_429_and_is_counted() {
    const RATE: f64 = 5.0;
    let platform = start(Faults::default()).await;
    let at = platform.address();
    let began = Instant::now();
    platform.set_budget(Budget {
        writes: Some(RATE),
        reads: None,
    });
    let mut taken = 0;
    for n in 0..30 {
        let answer = create(at, &format!("a/{n}")).await.unwrap();
        if answer.status() == StatusCode::CREATED {
            taken += 1;
            continue;
        }
        expect_that!(answer.status(), eq(StatusCode::TOO_MANY_REQUESTS));
        expect_that!(answer.headers().contains_key("retry-after"), eq(true));
    }
    let most = RATE + RATE * began.elapsed().as_secs_f64();
    expect_that!(f64::from(taken), ge(RATE).and(le(most)));
    expect_that!(platform.keys("a/").len(), eq(taken as usize));
    let read = get(at, "/v1/objects/a/0").await.unwrap();
    expect_that!(read.status(), eq(StatusCode::OK));
    let counts = get_json(at, "/stand-in/calls").await.unwrap();
    let writes =
        json!({"role": "claim-owner", "call": "create", "count": 30, "refused": 30 - taken});
    let reads = json!({"role": "-", "call": "read", "count": 1, "refused": 0});
    expect_that!(counts, eq(&json!({"calls": [reads, writes]})));
}

#[gtest]
#[tokio::test]
async fn controls_work_over_http() {
    let platform = start(Faults::default()).await;
    let at = platform.address();
    let faults = json!({"lost_answers": 2, "late_by": "250ms"});
    let put = send_json(at, Method::PUT, "/stand-in/faults", &faults).await;
    expect_that!(put.unwrap().status(), eq(StatusCode::NO_CONTENT));
    expect_that!(platform.faults().lost_answers, eq(2));
    expect_that!(platform.faults().late_by, eq(Millis(250)));
    let wrong = json!({"lost_answer": 2});
    let put = send_json(at, Method::PUT, "/stand-in/faults", &wrong).await;
    expect_that!(put.unwrap().status(), eq(StatusCode::BAD_REQUEST));

    let vm = json!({"vm": "vm-1", "kind": "endpoint", "data_centre": "dc1", "region": "r1",
        "address": "127.0.0.1:1", "state": "leaving"});
    let vms = json!({"vms": [vm]});
    let put = send_json(at, Method::PUT, "/stand-in/vms", &vms).await;
    expect_that!(put.unwrap().status(), eq(StatusCode::NO_CONTENT));
    let shown = get_json(at, "/v1/vms").await.unwrap();
    expect_that!(shown["vms"], eq(&vms["vms"]));
}
