//! Returning chats find their cache after every daemon was replaced in turn.

#[path = "support/bench.rs"]
mod bench;

use bench::{GUARD, bench};
use googletest::prelude::*;
use medlarrill_testkit::engine::{Faults, Message};
use medlarrill_testkit::fleet::Layout;

const CHATS: usize = 30;
const TOKENS: u64 = 8;

fn opening(at: usize) -> Vec<Message> {
    vec![Message::new("user", &format!("route {at} ").repeat(100))]
}

fn leave(bench: &bench::Bench, leaving: bool) {
    for engine in &bench.fleet.engines[..2] {
        engine.set_faults(Faults {
            leaving,
            ..Faults::default()
        });
    }
}

#[gtest]
#[tokio::test]
async fn chats_find_their_cache_after_every_daemon_was_stopped_in_turn() {
    let mut bench = bench(Layout::default()).await;
    // Half of the engines leave, so that half of the chats live off their first-ranked engine.
    leave(&bench, true);
    let away = || {
        bench.fleet.engines[..2]
            .iter()
            .map(|e| e.runs().len())
            .sum::<usize>()
    };
    let mut quiet = 0;
    for probe in 0.. {
        let before = away();
        let caller = bench.fleet.caller(probe % 3).unwrap();
        let chat = format!("probe-{probe}");
        caller.chat(&chat, &opening(1000 + probe), 1).await.unwrap();
        quiet = if away() == before { quiet + 1 } else { 0 };
        if quiet == 30 {
            break;
        }
    }
    let mut answers = Vec::new();
    for at in 0..CHATS {
        let caller = bench.fleet.caller(at % 3).unwrap();
        let answer = caller.chat(&format!("c{at}"), &opening(at), TOKENS).await;
        answers.push(answer.unwrap().text);
    }
    leave(&bench, false);
    for at in 0..3 {
        expect_that!(bench.fleet.daemons[at].stop().await.unwrap(), eq(true));
        bench.fleet.restart_daemon(at).await.unwrap();
        assert!(bench.fleet.wait_ready(GUARD).await, "not ready again");
    }
    let mut found = 0;
    for (at, text) in answers.iter().enumerate() {
        let caller = bench.fleet.caller(at % 3).unwrap();
        let mut messages = opening(at);
        messages.push(Message::new("assistant", text));
        messages.push(Message::new("user", "and back?"));
        let answer = caller.chat(&format!("c{at}"), &messages, TOKENS).await;
        let answer = answer.unwrap();
        found += usize::from(answer.cached > answer.prompt / 2);
    }
    // Without the directory, those off their first-ranked engine would go elsewhere.
    expect_that!(found, ge(CHATS * 8 / 10));
}
