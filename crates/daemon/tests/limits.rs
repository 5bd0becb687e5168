//! An account's limits hold over the whole fleet, and one account's use doesn't bind another.

#[path = "support/bench.rs"]
mod bench;

use bench::bench;
use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use medlarrill_testkit::engine::{Faults, Message};
use medlarrill_testkit::fleet::{CallError, Caller, Layout};
use medlarrill_testkit::wait::until;

const CONCURRENCY: u32 = 6;

fn opening(at: usize) -> Vec<Message> {
    vec![Message::new("user", &format!("surge {at} ").repeat(20))]
}

async fn chat(caller: Caller, at: usize) -> std::result::Result<(), String> {
    match caller.chat(&format!("s{at}"), &opening(at), 8).await {
        Ok(_) => Ok(()),
        Err(CallError::Problem(problem)) => {
            assert!(problem.retry_after.is_some(), "{problem}");
            Err(problem.code)
        }
        Err(error) => panic!("{error}"),
    }
}

#[gtest]
#[tokio::test]
async fn a_surge_through_all_daemons_stays_under_the_accounts_concurrency() {
    // With the usual bound, frozen engines would be the first to refuse.
    let layout = Layout::default().with_bound(100.0);
    let bench = bench(layout.with_concurrency(CONCURRENCY)).await;
    // Answers stay in flight until the engines are let go.
    let freeze = |frozen: bool| {
        for engine in &bench.fleet.engines {
            engine.set_faults(Faults {
                frozen,
                ..Faults::default()
            });
        }
    };
    freeze(true);
    let calls = (0..30).map(|at| {
        let caller = bench.fleet.caller(at % 3).unwrap();
        tokio::spawn(chat(caller, at))
    });
    let calls: Vec<_> = calls.collect();
    let running = || -> usize {
        let engines = bench.fleet.engines.iter();
        engines.map(|engine| engine.runs().len()).sum()
    };
    let refused = || calls.iter().filter(|call| call.is_finished()).count();
    until("the rest is refused", async || refused() + running() >= 30).await;
    expect_that!(running(), le(CONCURRENCY as usize));
    let before = running();
    let other = tokio::spawn(chat(bench.fleet.toolroom(1).unwrap(), 99));
    until("another account runs", async || running() > before).await;
    freeze(false);
    expect_that!(other.await.unwrap(), ok(anything()));
    let mut answered = 0;
    for call in calls {
        match call.await.unwrap() {
            Ok(()) => answered += 1,
            Err(code) => expect_that!(code.as_str(), eq("account-concurrency")),
        }
    }
    expect_that!(answered, gt(0));
    expect_that!(answered, le(CONCURRENCY as usize));
}

#[gtest]
#[tokio::test]
async fn room_that_is_given_back_can_be_used_through_any_daemon() {
    let bench = bench(Layout::default().with_concurrency(2)).await;
    for at in 0..12 {
        let caller = bench.fleet.caller(at % 3).unwrap();
        let mut tries = 0;
        while let Err(code) = chat(caller.clone(), at).await {
            expect_that!(code.as_str(), eq("account-concurrency"));
            tries += 1;
            assert!(tries < 600, "room is never given back");
            tokio::time::sleep(Millis(50).as_duration()).await;
        }
    }
}

#[gtest]
#[tokio::test]
async fn a_lost_daemon_takes_no_chat_along_for_want_of_retries() {
    let mut bench = bench(Layout::default()).await;
    bench.fleet.daemons[2].kill().await.unwrap();
    // Until the others notice, a third of all chats is sent to the lost daemon first.
    let calls = (0..60).map(|at| {
        let caller = bench.fleet.caller(at % 2).unwrap();
        tokio::spawn(chat(caller, at))
    });
    let calls: Vec<_> = calls.collect();
    for call in calls {
        expect_that!(call.await.unwrap(), ok(anything()));
    }
}
