//! Faults of endpoints under load, and bookings whose fate a caller must learn truly.

#[path = "support/bench.rs"]
mod bench;
#[path = "faults/common.rs"]
#[expect(dead_code, reason = "other tests use the rest")]
mod common;
#[path = "faults/load.rs"]
mod load;
#[path = "support/operator.rs"]
#[expect(dead_code, reason = "other tests use the rest")]
mod operator;

use bench::bench;
use common::{PATIENT, ROOM, book, book_patiently, leaving, restart};
use googletest::prelude::*;
use load::{Load, runs};
use medlarrill_core::clock::Millis;
use medlarrill_testkit::fleet::Layout;
use medlarrill_testkit::http::Outage;
use medlarrill_testkit::wait::until;
use medlarrill_testkit::{engine, service};

#[gtest]
#[tokio::test]
async fn an_endpoint_that_leaves_gets_no_new_work_and_finishes_its_own() {
    let _room = ROOM.acquire().await.unwrap();
    let bench = bench(Layout::default()).await;
    let load = Load::start(&bench.fleet, PATIENT);
    load.progress(3).await;
    leaving(&bench, 0);
    let count = || bench.fleet.engines[0].runs().len();
    let mut before = usize::MAX;
    until("its homes have heard", async || {
        let now = count();
        load.chats(20).await;
        before = now;
        count() == now
    })
    .await;
    load.chats(200).await;
    expect_that!(count(), eq(before));
    let tally = load.finish(&bench.fleet).await;
    expect_that!(tally.troubles(), is_empty());
    let whole = |run: &engine::Run| run.phase == engine::Phase::Done;
    expect_that!(bench.fleet.engines[0].runs().iter().all(whole), eq(true));
}

#[gtest]
#[tokio::test]
async fn an_engine_that_crashes_or_flaps_loses_nothing_that_a_retry_saves() {
    let _room = ROOM.acquire().await.unwrap();
    let mut bench = bench(Layout::default()).await;
    let load = Load::start(&bench.fleet, PATIENT);
    load.progress(3).await;
    for _ in 0..6 {
        for outage in [Some(Outage::Refuse), None] {
            bench.fleet.engines[1].set_faults(engine::Faults {
                outage,
                ..engine::Faults::default()
            });
            load.chats(20).await;
        }
    }
    bench.fleet.engines.remove(0).stop().await;
    load.progress(10).await;
    load.finish(&bench.fleet).await;
}

#[gtest]
#[tokio::test]
async fn a_daemon_killed_while_an_engine_flaps_loses_nothing_that_a_retry_saves() {
    let _room = ROOM.acquire().await.unwrap();
    let mut bench = bench(Layout::default()).await;
    let mut load = Load::start(&bench.fleet, PATIENT);
    load.progress(3).await;
    for at in 0..2 {
        bench.fleet.engines[at].set_faults(engine::Faults {
            outage: Some(Outage::Cut),
            ..engine::Faults::default()
        });
        bench.fleet.daemons[at].kill().await.unwrap();
        load.progress(5).await;
        bench.fleet.engines[at].set_faults(engine::Faults::default());
        restart(&mut bench, &mut load, at).await;
    }
    load.finish(&bench.fleet).await;
}

#[gtest]
#[tokio::test]
async fn a_balancers_retry_while_the_first_runs_gets_the_first_answer() {
    let _room = ROOM.acquire().await.unwrap();
    let bench = bench(Layout::default()).await;
    book_patiently(&bench, 0, "before").await.unwrap();
    for service in &bench.fleet.services {
        service.set_faults(service::Faults {
            delay: Millis::from_secs(3),
            ..service::Faults::default()
        });
    }
    let caller = bench.fleet.caller(0).unwrap();
    let first =
        tokio::spawn(async move { caller.call("/bookings/room", Some("twice"), "twice").await });
    until("the first runs", async || runs(&bench.fleet, "twice") == 1).await;
    let second = book(&bench, 1, "twice").await.unwrap_err();
    expect_that!(second.code.as_str(), eq("key-running"));
    expect_that!(first.is_finished(), eq(false));
    let again = book_patiently(&bench, 1, "twice").await.unwrap();
    let first = first.await.unwrap().unwrap();
    expect_that!(again.as_bytes(), eq(first.body().as_ref()));
    expect_that!(runs(&bench.fleet, "twice"), eq(1));
}

#[gtest]
#[tokio::test]
async fn a_booking_whose_answer_was_lost_stays_unknown_and_runs_once() {
    let _room = ROOM.acquire().await.unwrap();
    let bench = bench(Layout::default()).await;
    book_patiently(&bench, 0, "before").await.unwrap();
    for service in &bench.fleet.services {
        service.set_faults(service::Faults {
            losses: 1,
            ..service::Faults::default()
        });
    }
    let first = book(&bench, 0, "lost").await.unwrap_err();
    expect_that!(first.code.as_str(), eq("endpoint-lost"));
    expect_that!(first.outcome.as_str(), eq("unknown"));
    for at in [1, 2, 0] {
        let repeat = book_patiently(&bench, at, "lost").await.unwrap_err();
        expect_that!(repeat.code.as_str(), eq("key-unknown"));
        expect_that!(repeat.outcome.as_str(), eq("unknown"));
    }
    expect_that!(runs(&bench.fleet, "lost"), eq(1));
}
