//! A non-idempotent request runs at most once, and "not run" is true.

#[path = "support/bench.rs"]
mod bench;

use bench::bench;
use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use medlarrill_testkit::fleet::{CallError, Caller, Layout, Problem};
use medlarrill_testkit::http::Outage;
use medlarrill_testkit::wait::until;
use medlarrill_testkit::{platform, service};
use nix::sys::signal::Signal;

const PATH: &str = "/bookings/guesthouse";
const NOTE: &str = "two rooms, friday";

fn runs(bench: &bench::Bench, key: &str) -> usize {
    let of_key = |run: &service::Run| run.key.as_deref() == Some(key);
    let services = bench.fleet.services.iter();
    services
        .map(|service| service.runs().iter().filter(|run| of_key(run)).count())
        .sum()
}

async fn book(caller: &Caller, key: &str, note: &str) -> std::result::Result<String, Problem> {
    match caller.call(PATH, Some(key), note).await {
        Ok(answer) => Ok(String::from_utf8_lossy(answer.body()).into_owned()),
        Err(CallError::Problem(problem)) => Err(problem),
        Err(error) => panic!("{error}"),
    }
}

/// Books, coming back while the fleet asks for that.
async fn book_patiently(caller: &Caller, key: &str) -> std::result::Result<String, Problem> {
    for _ in 0..600 {
        match book(caller, key, NOTE).await {
            Err(problem) if problem.retry_after.is_some() => {
                tokio::time::sleep(Millis(100).as_duration()).await;
            }
            other => return other,
        }
    }
    panic!("the booking was put off for too long")
}

#[gtest]
#[tokio::test]
async fn a_repeat_through_another_daemon_gets_the_first_answer() {
    let bench = bench(Layout::default()).await;
    let first = book_patiently(&bench.fleet.caller(0).unwrap(), "k1")
        .await
        .unwrap();
    for at in 0..3 {
        let again = book(&bench.fleet.caller(at).unwrap(), "k1", NOTE).await;
        expect_that!(again, eq(&Ok(first.clone())));
    }
    expect_that!(runs(&bench, "k1"), eq(1));
}

#[gtest]
#[tokio::test]
async fn a_missing_key_and_a_reused_key_are_refused_and_not_run() {
    let bench = bench(Layout::default()).await;
    let caller = bench.fleet.caller(0).unwrap();
    let Err(CallError::Problem(missing)) = caller.call(PATH, None, NOTE).await else {
        panic!("a request without a key was taken");
    };
    expect_that!(missing.code.as_str(), eq("key-missing"));
    book_patiently(&caller, "k1").await.unwrap();
    let other = bench.fleet.caller(1).unwrap();
    let reused = book(&other, "k1", "three rooms").await.unwrap_err();
    expect_that!(reused.status, eq(422));
    expect_that!(reused.outcome.as_str(), eq("not-run"));
    expect_that!(runs(&bench, "k1"), eq(1));
}

#[gtest]
#[tokio::test]
async fn racing_repeats_through_all_daemons_run_once() {
    let bench = bench(Layout::default()).await;
    book_patiently(&bench.fleet.caller(0).unwrap(), "warm")
        .await
        .unwrap();
    for round in 0..8 {
        let key = format!("race-{round}");
        let calls = (0..9).map(|at| {
            let caller = bench.fleet.caller(at % 3).unwrap();
            let key = key.clone();
            tokio::spawn(async move { book(&caller, &key, NOTE).await })
        });
        let calls: Vec<_> = calls.collect();
        for call in calls {
            if let Err(problem) = call.await.unwrap() {
                expect_that!(
                    problem.code.as_str(),
                    any!(eq("key-running"), eq("claim-unavailable"))
                );
            }
        }
        let last = book_patiently(&bench.fleet.caller(round % 3).unwrap(), &key).await;
        expect_that!(last.is_ok(), eq(true));
        expect_that!(runs(&bench, &key), eq(1));
    }
}

#[gtest]
#[tokio::test]
async fn a_platform_outage_refuses_truly_and_passes() {
    let bench = bench(Layout::default()).await;
    let caller = bench.fleet.caller(0).unwrap();
    book_patiently(&caller, "before").await.unwrap();
    bench.fleet.platform.set_faults(platform::Faults {
        outage: Some(Outage::Unavailable),
        ..platform::Faults::default()
    });
    for at in 0..6 {
        let key = format!("out-{at}");
        let refused = book(&bench.fleet.caller(at % 3).unwrap(), &key, NOTE).await;
        let problem = refused.unwrap_err();
        expect_that!(problem.code.as_str(), eq("claim-unavailable"));
        // An earlier request with this key may have run, for all that the daemon knows.
        expect_that!(problem.outcome.as_str(), eq("unknown"));
        expect_that!(problem.this_request.as_deref(), some(eq("not-run")));
        expect_that!(problem.retry_after, some(anything()));
        expect_that!(runs(&bench, &key), eq(0));
    }
    bench.fleet.platform.set_faults(platform::Faults::default());
    for at in 0..6 {
        let key = format!("out-{at}");
        book_patiently(&bench.fleet.caller(at % 3).unwrap(), &key)
            .await
            .unwrap();
        expect_that!(runs(&bench, &key), eq(1));
    }
}

#[gtest]
#[tokio::test]
async fn a_repeat_in_an_outage_is_not_told_that_nothing_ran() {
    let mut bench = bench(Layout::default()).await;
    book_patiently(&bench.fleet.caller(0).unwrap(), "ran")
        .await
        .unwrap();
    bench.fleet.daemons[0].kill().await.unwrap();
    bench.fleet.platform.set_faults(platform::Faults {
        outage: Some(Outage::Unavailable),
        ..platform::Faults::default()
    });
    for at in 1..3 {
        let again = book(&bench.fleet.caller(at).unwrap(), "ran", NOTE).await;
        expect_that!(again.unwrap_err().outcome.as_str(), not(eq("not-run")));
    }
    expect_that!(runs(&bench, "ran"), eq(1));
}

#[gtest]
#[tokio::test]
async fn answers_lost_after_the_write_still_mean_one_run() {
    let bench = bench(Layout::default()).await;
    book_patiently(&bench.fleet.caller(0).unwrap(), "before")
        .await
        .unwrap();
    for at in 0..6 {
        bench.fleet.platform.set_faults(platform::Faults {
            lost_answers: 2,
            prefix: "claims/".into(),
            ..platform::Faults::default()
        });
        let key = format!("lost-{at}");
        book_patiently(&bench.fleet.caller(at % 3).unwrap(), &key)
            .await
            .unwrap();
        expect_that!(runs(&bench, &key), eq(1));
    }
}

#[gtest]
#[tokio::test]
async fn a_claimant_killed_after_dispatch_leaves_an_unknown_and_one_run() {
    let mut bench = bench(Layout::default()).await;
    book_patiently(&bench.fleet.caller(1).unwrap(), "before")
        .await
        .unwrap();
    for service in &bench.fleet.services {
        service.set_faults(service::Faults {
            delay: Millis::from_secs(3600),
            ..service::Faults::default()
        });
    }
    let caller = bench.fleet.caller(0).unwrap();
    let call = tokio::spawn(async move { caller.call(PATH, Some("killed"), NOTE).await.is_ok() });
    until("the booking runs", async || runs(&bench, "killed") == 1).await;
    bench.fleet.daemons[0].kill().await.unwrap();
    expect_that!(call.await.unwrap(), eq(false));
    let problem = book_patiently(&bench.fleet.caller(1).unwrap(), "killed")
        .await
        .unwrap_err();
    expect_that!(problem.code.as_str(), eq("key-unknown"));
    expect_that!(problem.outcome.as_str(), eq("unknown"));
    expect_that!(runs(&bench, "killed"), eq(1));
}

#[gtest]
#[tokio::test]
async fn a_daemon_stopped_in_order_leaves_word_of_what_ran() {
    let mut bench = bench(Layout::default()).await;
    book_patiently(&bench.fleet.caller(0).unwrap(), "done")
        .await
        .unwrap();
    expect_that!(bench.fleet.daemons[0].stop().await.unwrap(), eq(true));
    let problem = book_patiently(&bench.fleet.caller(1).unwrap(), "done")
        .await
        .unwrap_err();
    expect_that!(problem.code.as_str(), eq("key-ran"));
    expect_that!(problem.outcome.as_str(), eq("ran"));
    expect_that!(runs(&bench, "done"), eq(1));
}

#[gtest]
#[tokio::test]
async fn a_frozen_daemon_that_wakes_runs_nothing_twice() {
    let bench = bench(Layout::default()).await;
    book_patiently(&bench.fleet.caller(0).unwrap(), "before")
        .await
        .unwrap();
    let caller = bench.fleet.caller(0).unwrap();
    let mut calls = Vec::new();
    for at in 0..12 {
        let caller = caller.clone();
        calls.push(tokio::spawn(async move {
            let key = format!("frozen-{at}");
            caller.call(PATH, Some(&key), NOTE).await.is_ok()
        }));
    }
    bench.fleet.daemons[0].signal(Signal::SIGSTOP).unwrap();
    let mut ended = Vec::new();
    for at in 0..12 {
        let key = format!("frozen-{at}");
        ended.push(book_patiently(&bench.fleet.caller(1 + at % 2).unwrap(), &key).await);
    }
    bench.fleet.daemons[0].signal(Signal::SIGCONT).unwrap();
    for call in calls {
        call.await.unwrap();
    }
    for (at, end) in ended.iter().enumerate() {
        let key = format!("frozen-{at}");
        expect_that!(runs(&bench, &key), le(1));
        if end.is_ok() {
            expect_that!(runs(&bench, &key), eq(1));
        }
    }
}
