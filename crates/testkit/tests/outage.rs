//! Outages, which all stand-ins share.

#![expect(clippy::unwrap_used, reason = "a helper that fails fails its test")]

use googletest::prelude::*;
use hyper::{Method, StatusCode};
use medlarrill_testkit::client::{ClientError, get, send_json};
use medlarrill_testkit::http::Outage;
use medlarrill_testkit::platform::Faults;
use medlarrill_testkit::wait::until;
use medlarrill_testkit::{ANY_PORT, Platform};
use serde_json::json;

fn outage(outage: Outage) -> Faults {
    Faults {
        outage: Some(outage),
        ..Faults::default()
    }
}

async fn start(faults: Faults) -> Platform {
    let platform = Platform::start(ANY_PORT).await.unwrap();
    platform.set_faults(faults);
    platform
}

#[gtest]
#[tokio::test]
async fn an_unavailable_platform_answers_503() {
    let platform = start(outage(Outage::Unavailable)).await;
    let answer = get(platform.address(), "/v1/vms").await.unwrap();
    expect_that!(answer.status(), eq(StatusCode::SERVICE_UNAVAILABLE));
    expect_that!(answer.headers().contains_key("retry-after"), eq(true));
}

#[gtest]
#[tokio::test]
async fn a_cut_call_gets_a_connection_and_no_answer() {
    let platform = start(outage(Outage::Cut)).await;
    let answer = get(platform.address(), "/v1/vms").await;
    expect_that!(answer, err(pat!(ClientError::Http(_))));
}

#[gtest]
#[tokio::test]
async fn a_refusing_platform_gives_no_connection_until_it_ends() {
    let platform = start(Faults::default()).await;
    let at = platform.address();
    platform.set_faults(outage(Outage::Refuse));
    // The listener closes soon after the fault is set; until then calls are cut.
    let refused = async || matches!(get(at, "/v1/vms").await, Err(ClientError::Connect(_)));
    until("a refusal", refused).await;
    platform.set_faults(Faults::default());
    until("an answer", async || get(at, "/v1/vms").await.is_ok()).await;
}

#[gtest]
#[tokio::test]
async fn a_refusal_asked_for_over_http_ends_by_itself() {
    let platform = start(Faults::default()).await;
    let at = platform.address();
    let put = |faults| async move {
        let put = send_json(at, Method::PUT, "/stand-in/faults", &faults).await;
        put.unwrap().status()
    };
    let endless = put(json!({"outage": "refuse"})).await;
    expect_that!(endless, eq(StatusCode::BAD_REQUEST));
    until("a refusal", async || {
        match get(at, "/v1/vms").await {
            // It has not begun, or is over already.
            Ok(_) => {
                let short = json!({"outage": "refuse", "lasting": "200ms"});
                expect_that!(put(short).await, eq(StatusCode::NO_CONTENT));
                false
            }
            Err(e) => matches!(e, ClientError::Connect(_)),
        }
    })
    .await;
    until("an answer", async || get(at, "/v1/vms").await.is_ok()).await;
}

#[gtest]
#[tokio::test]
async fn a_hanging_platform_cuts_when_the_hang_ends() {
    let platform = start(outage(Outage::Hang)).await;
    let at = platform.address();
    let call = tokio::spawn(async move { get(at, "/v1/vms").await });
    until("a call", async || !platform.calls().is_empty()).await;
    expect_that!(call.is_finished(), eq(false));
    platform.set_faults(Faults::default());
    expect_that!(call.await.unwrap(), err(pat!(ClientError::Http(_))));
}

#[gtest]
#[tokio::test]
async fn an_outage_cuts_a_waiting_watch() {
    let platform = start(Faults::default()).await;
    let at = platform.address();
    let call = tokio::spawn(async move { get(at, "/v1/watch?after=0&wait=60000").await });
    until("a call", async || !platform.calls().is_empty()).await;
    platform.set_faults(outage(Outage::Cut));
    expect_that!(call.await.unwrap().is_err(), eq(true));
}
