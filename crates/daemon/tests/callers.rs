//! What callers are promised: the page of codes, and the state of a request from any daemon.

#[path = "support/bench.rs"]
mod bench;

use bench::bench;
use googletest::prelude::*;
use hyper::Method;
use medlarrill_core::reason::Reason;
use medlarrill_testkit::client;
use medlarrill_testkit::engine::Message;
use medlarrill_testkit::fleet::{CallError, Layout, metric};
use serde_json::{Value, json};

#[gtest]
fn the_page_has_every_code_as_the_code_has_it() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/CALLERS.md");
    let page = std::fs::read_to_string(path).unwrap();
    let table = page.split("| code |").nth(1).unwrap();
    let rows: Vec<Vec<&str>> = table
        .lines()
        .filter(|line| line.starts_with("| `"))
        .map(|line| line.split('|').map(str::trim).collect())
        .collect();
    let shown: Vec<_> = rows.iter().map(|row| row[1..5].join(" ")).collect();
    let row = |reason: &Reason| {
        let back = if reason.retryable() { "yes" } else { "no" };
        let (code, status) = (reason.code(), reason.status());
        format!("`{code}` {status} {} {back}", reason.outcome())
    };
    let wanted: Vec<_> = Reason::ALL.iter().map(row).collect();
    expect_that!(shown, eq(&wanted));
    for row in rows {
        expect_that!(row[5], not(eq("")), "{row:?} says what to do");
    }
}

async fn state(bench: &bench::Bench, at: usize, id: &str) -> std::result::Result<Value, CallError> {
    let caller = bench.fleet.caller(at).unwrap();
    let answer = caller.get(&format!("/v1/requests/{id}")).await?;
    Ok(serde_json::from_slice(answer.body()).unwrap())
}

#[gtest]
#[tokio::test]
async fn any_daemon_tells_what_became_of_a_request() {
    let mut bench = bench(Layout::default()).await;
    let caller = bench.fleet.caller(0).unwrap();
    let messages = vec![Message::new("user", "where to?")];
    let answer = caller.chat("c", &messages, 4).await.unwrap();
    let refused = {
        let address = bench.fleet.daemons[0].started.callers;
        let request = client::request(Method::POST, "/v1/chat/completions");
        let request = request.header("Authorization", "Bearer padkos-leaders-key");
        let answer = client::send(address, request, "{").await.unwrap();
        answer.headers()["x-request-id"]
            .to_str()
            .unwrap()
            .to_owned()
    };
    for at in 0..3 {
        let known = state(&bench, at, &answer.request).await.unwrap();
        expect_that!(known, eq(&json!({"state": "answered"})), "daemon {at}");
        let known = state(&bench, at, &refused).await.unwrap();
        let wanted = json!({"state": "failed", "code": "bad-request", "outcome": "not-run"});
        expect_that!(known, eq(&wanted), "daemon {at}");
    }
    let address = bench.fleet.daemons[1].started.callers;
    let count = "medlarrill_refusals_total{reason=\"no-request\"}";
    // Of no daemon, of this one but never drawn, and no identifier at all.
    let never = format!("{}{:016x}", &answer.request[..16], 5);
    for (at, id) in [&"f".repeat(32), &never, "nonsense"]
        .into_iter()
        .enumerate()
    {
        let Err(CallError::Problem(problem)) = state(&bench, 1, id).await else {
            panic!("{id} is known");
        };
        expect_that!(problem.code.as_str(), eq("no-request"));
        expect_that!(metric(address, count).await, some(eq(at as f64 + 1.0)));
    }
    bench.fleet.daemons[0].kill().await.unwrap();
    let Err(CallError::Problem(problem)) = state(&bench, 1, &answer.request).await else {
        panic!("a dead daemon answered");
    };
    expect_that!(problem.outcome.as_str(), eq("unknown"));
}

#[gtest]
#[tokio::test]
async fn the_state_of_a_request_needs_a_key() {
    let bench = bench(Layout::default().with_daemons(1)).await;
    let address = bench.fleet.daemons[0].started.callers;
    let answer = client::get(address, "/v1/requests/00").await.unwrap();
    expect_that!(answer.status().as_u16(), eq(401));
}
