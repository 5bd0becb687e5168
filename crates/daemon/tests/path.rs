//! A request from end to end, through separate processes.

#[path = "support/bench.rs"]
mod bench;

use bench::bench;
use googletest::prelude::*;
use medlarrill_testkit::engine::{Message, expected_answer, messages_text};
use medlarrill_testkit::fleet::{CallError, Caller, Layout};

const TOKENS: u64 = 24;

fn opening(text: &str) -> Vec<Message> {
    vec![Message::new("user", &text.repeat(100))]
}

#[gtest]
#[tokio::test]
async fn a_chat_gets_its_whole_answer_through_any_daemon() {
    let bench = bench(Layout::default()).await;
    for at in 0..bench.fleet.daemons.len() {
        let caller = bench.fleet.caller(at).unwrap();
        let messages = opening(&format!("stop {at} "));
        let right = expected_answer(&messages_text(&messages), TOKENS);
        let streamed = caller.chat("trip", &messages, TOKENS).await.unwrap();
        expect_that!(streamed.text, eq(&right));
        let whole = caller.chat_whole("trip", &messages, TOKENS).await.unwrap();
        expect_that!(whole.text, eq(&right));
    }
}

#[gtest]
#[tokio::test]
async fn a_returning_chat_finds_its_cache_from_another_daemon() {
    let bench = bench(Layout::default()).await;
    let mut messages = opening("the long way round ");
    let first = bench.fleet.caller(0).unwrap();
    let answer = first.chat("trip", &messages, TOKENS).await.unwrap();
    expect_that!(answer.cached, eq(0));
    messages.push(Message::new("assistant", &answer.text));
    messages.push(Message::new("user", "and then?"));
    let second = bench.fleet.caller(1).unwrap();
    let answer = second.chat("trip", &messages, TOKENS).await.unwrap();
    expect_that!(answer.cached, gt(answer.prompt / 2));
}

#[gtest]
#[tokio::test]
async fn a_wrong_key_and_a_bad_body_get_a_clear_problem() {
    let bench = bench(Layout::default().with_daemons(1)).await;
    let address = bench.fleet.daemons[0].started.callers;
    let stranger = Caller::new(address, "nobody");
    let refused = stranger.chat("c", &opening("x"), TOKENS).await;
    let Err(CallError::Problem(problem)) = refused else {
        panic!("{refused:?}");
    };
    expect_that!(problem.status, eq(401));
    expect_that!(problem.outcome.as_str(), eq("not-run"));
    let caller = bench.fleet.caller(0).unwrap();
    let refused = caller
        .call("/v1/chat/completions", None, "{\"model\": 7")
        .await;
    let Err(CallError::Problem(problem)) = refused else {
        panic!("{refused:?}");
    };
    expect_that!(problem.code.as_str(), eq("bad-request"));
    let detail = problem.detail.unwrap_or_default();
    expect_that!(detail, contains_substring("line 1"));
}

#[gtest]
#[tokio::test]
async fn a_graceful_stop_cuts_off_no_stream() {
    let mut bench = bench(Layout::default().with_daemons(2)).await;
    let caller = bench.fleet.caller(0).unwrap();
    let messages = opening("a long summary ");
    let right = expected_answer(&messages_text(&messages), 200);
    let asked = messages.clone();
    let chat = tokio::spawn(async move { caller.chat("long", &asked, 200).await });
    while bench
        .fleet
        .engines
        .iter()
        .all(|engine| engine.runs().is_empty())
    {
        tokio::task::yield_now().await;
    }
    let stopped = bench.fleet.daemons[0].stop().await.unwrap();
    expect_that!(stopped, eq(true));
    let answer = chat.await.unwrap().unwrap();
    expect_that!(answer.text, eq(&right));
}
