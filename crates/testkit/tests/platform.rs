//! The platform's objects, watch and list of VMs.

#![expect(clippy::unwrap_used, reason = "a helper that fails fails its test")]
use std::net::SocketAddr;

use googletest::prelude::*;
use hyper::Method;
use medlarrill_core::clock::Millis;
use medlarrill_testkit::client::{get, get_json, request, send};
use medlarrill_testkit::platform::{Kind, State, Vm};
use medlarrill_testkit::wait::until;
use medlarrill_testkit::{ANY_PORT, Platform};
use serde_json::{Value, json};

/// Sends a write whose condition is one header; the status and the `ETag`.
async fn write(
    address: SocketAddr,
    method: Method,
    key: &str,
    condition: (&str, &str),
    body: &'static str,
) -> (u16, Option<String>) {
    let path = format!("/v1/objects/{key}");
    let ask = request(method, &path).header(condition.0, condition.1);
    let answer = send(address, ask, body).await.unwrap();
    let tag = answer.headers().get("etag");
    let tag = tag.map(|tag| tag.to_str().unwrap().to_owned());
    (answer.status().as_u16(), tag)
}

fn vm(name: &str) -> Vm {
    Vm {
        vm: name.into(),
        kind: Kind::Router,
        data_centre: "dc1".into(),
        region: "r1".into(),
        address: "127.0.0.1:7101".into(),
        state: State::Live,
    }
}

#[gtest]
#[tokio::test]
async fn writes_are_conditional() {
    let platform = Platform::start(ANY_PORT).await.unwrap();
    let at = platform.address();
    let create = ("if-none-match", "*");
    let tag = |version: u64| Some(format!("\"{version}\""));

    let created = write(at, Method::PUT, "a/b", create, "one").await;
    expect_that!(created, eq(&(201, tag(1))));
    let again = write(at, Method::PUT, "a/b", create, "two").await;
    expect_that!(again, eq(&(412, tag(1))));
    let stale = write(at, Method::PUT, "a/b", ("if-match", "\"9\""), "two").await;
    expect_that!(stale, eq(&(412, tag(1))));
    let updated = write(at, Method::PUT, "a/b", ("if-match", "\"1\""), "two").await;
    expect_that!(updated, eq(&(200, tag(2))));
    let absent = write(at, Method::PUT, "c", ("if-match", "\"1\""), "x").await;
    expect_that!(absent, eq(&(412, None)));
    expect_that!(
        get(at, "/v1/objects/a/b").await.unwrap().body().as_ref(),
        eq(b"two")
    );

    let stale = write(at, Method::DELETE, "a/b", ("if-match", "\"1\""), "").await;
    expect_that!(stale, eq(&(412, tag(2))));
    let deleted = write(at, Method::DELETE, "a/b", ("if-match", "\"2\""), "").await;
    expect_that!(deleted, eq(&(204, None)));
    expect_that!(
        get(at, "/v1/objects/a/b").await.unwrap().status().as_u16(),
        eq(404)
    );
    let bare = send(at, request(Method::PUT, "/v1/objects/d"), "x").await;
    expect_that!(bare.unwrap().status().as_u16(), eq(428));
}

#[gtest]
#[tokio::test]
async fn lists_pages_in_key_order() {
    let platform = Platform::start(ANY_PORT).await.unwrap();
    for key in ["a/2", "b", "a/1", "a/3"] {
        platform.put(key, "12345");
    }
    let page = get_json(platform.address(), "/v1/objects?prefix=a%2F&limit=2")
        .await
        .unwrap();
    expect_that!(
        page,
        eq(&json!({"era": 0, "revision": 4, "more": true, "objects": [
            {"key": "a/1", "version": 3, "size": 5},
            {"key": "a/2", "version": 1, "size": 5},
        ]}))
    );
    let path = "/v1/objects?prefix=a/&after=a/2&limit=2";
    let page = get_json(platform.address(), path).await.unwrap();
    expect_that!(page["objects"][0]["key"], eq(&json!("a/3")));
    expect_that!(page["more"], eq(&json!(false)));
}

#[gtest]
#[tokio::test]
async fn a_watch_wakes_for_its_prefix() {
    let platform = Platform::start(ANY_PORT).await.unwrap();
    let at = platform.address();
    platform.put("a/1", "x");
    let path = "/v1/watch?prefix=a/&after=1&wait=60000";
    let watch = tokio::spawn(async move { get_json(at, path).await.unwrap() });
    until("a call", async || !platform.calls().is_empty()).await;
    platform.put("b", "x");
    platform.put("a/2", "x");
    let seen = watch.await.unwrap();
    let event = json!({"key": "a/2", "version": 3, "deleted": false});
    expect_that!(
        seen,
        eq(&json!({"era": 0, "revision": 3, "events": [event]}))
    );

    let idle = get_json(at, "/v1/watch?prefix=a/&after=3&wait=1")
        .await
        .unwrap();
    expect_that!(idle, eq(&json!({"era": 0, "revision": 3, "events": []})));
    platform.compact();
    let late = get(at, "/v1/watch?after=2&wait=1").await.unwrap();
    expect_that!(late.status().as_u16(), eq(410));
}

#[gtest]
#[tokio::test]
async fn viewers_may_see_other_vms() {
    let platform = Platform::start(ANY_PORT).await.unwrap();
    let at = platform.address();
    platform.set_vms(vec![vm("vm-1"), vm("vm-2")]);
    platform.set_vms_for("vm-2", Some(vec![vm("vm-2")]));
    let common = get_json(at, "/v1/vms").await.unwrap();
    expect_that!(common["vms"][0]["vm"], eq(&json!("vm-1")));
    let ask = request(Method::GET, "/v1/vms").header("x-caller-vm", "vm-2");
    let own = send(at, ask, "").await.unwrap();
    let own: Value = serde_json::from_slice(own.body()).unwrap();
    expect_that!(own["vms"][0]["vm"], eq(&json!("vm-2")));
}

#[gtest]
#[tokio::test]
async fn the_list_of_vms_lags() {
    let platform = Platform::start(ANY_PORT).await.unwrap();
    let at = platform.address();
    let count = async || {
        let list = get_json(at, "/v1/vms").await.unwrap();
        list["vms"].as_array().map(Vec::len)
    };
    platform.set_vms(vec![vm("vm-1")]);
    platform.set_vm_lag(Millis::from_secs(3600));
    platform.set_vms(vec![vm("vm-1"), vm("vm-2")]);
    expect_that!(count().await, some(eq(1)));
    platform.set_vm_lag(Millis::ZERO);
    expect_that!(count().await, some(eq(2)));
}
