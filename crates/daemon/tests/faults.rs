//! Faults alone and in pairs, under a steady load whose answers are checked.
//!
//! Callers repeat what failed at another daemon, as one behind a balancer
//! does. After every fault the load's end checks that each answer was right to
//! the byte, nothing was lost, and no booking ran twice or was misreported.

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

use bench::{GUARD, bench};
use common::{
    IMPATIENT, PATIENT, ROOM, all_leaving, daemons_known, late, leaving, platform_outage, restart,
    settled,
};
use googletest::prelude::*;
use load::Load;
use medlarrill_core::clock::Millis;
use medlarrill_testkit::engine::{self, Message, expected_answer, messages_text};
use medlarrill_testkit::fleet::{CallError, Layout};
use medlarrill_testkit::http::Outage;
use medlarrill_testkit::platform;
use nix::sys::signal::Signal;

#[gtest]
#[tokio::test]
async fn each_daemon_killed_in_turn_loses_nothing_that_a_retry_saves() {
    let _room = ROOM.acquire().await.unwrap();
    let mut bench = bench(Layout::default()).await;
    let mut load = Load::start(&bench.fleet, PATIENT);
    load.progress(3).await;
    for at in 0..3 {
        bench.fleet.daemons[at].kill().await.unwrap();
        load.progress(5).await;
        restart(&mut bench, &mut load, at).await;
    }
    load.finish(&bench.fleet).await;
}

#[gtest]
#[tokio::test]
async fn a_frozen_daemon_is_replaced_and_wakes_without_harm() {
    let _room = ROOM.acquire().await.unwrap();
    let bench = bench(Layout::default()).await;
    let mut load = Load::start(&bench.fleet, IMPATIENT);
    load.progress(3).await;
    bench.fleet.daemons[0].signal(Signal::SIGSTOP).unwrap();
    daemons_known(&bench, 1, 2.0).await;
    daemons_known(&bench, 2, 2.0).await;
    load.progress(5).await;
    bench.fleet.daemons[0].signal(Signal::SIGCONT).unwrap();
    settled(&bench, &mut load).await;
    load.progress(5).await;
    load.finish(&bench.fleet).await;
}

/// While one daemon is frozen all engines but one begin to leave; what waited
/// in its sockets must not go where it last knew.
#[gtest]
#[tokio::test]
async fn a_daemon_that_wakes_sends_nothing_on_what_it_knew() {
    let _room = ROOM.acquire().await.unwrap();
    let bench = bench(Layout::default()).await;
    for at in 0..3 {
        bench.fleet.daemons[at].signal(Signal::SIGSTOP).unwrap();
        let others: Vec<usize> = (0..3).filter(|other| *other != at).collect();
        for other in &others {
            daemons_known(&bench, *other, 2.0).await;
        }
        for engine in 1..4 {
            leaving(&bench, engine);
        }
        for other in &others {
            all_leaving(&bench, *other, &["e2", "e3", "e4"]).await;
        }
        let before = late(&bench);
        let mut calls = Vec::new();
        for number in 0..12 {
            let caller = bench.fleet.caller(at).unwrap();
            let messages = vec![Message::new("user", &format!("stale {at} {number} "))];
            calls.push(tokio::spawn(async move {
                let right = expected_answer(&messages_text(&messages), 24);
                let chat = format!("stale-{at}-{number}");
                let answer = caller.chat(&chat, &messages, 24).await;
                answer.map(|answer| answer.text == right)
            }));
        }
        tokio::time::sleep(Millis(300).as_duration()).await;
        bench.fleet.daemons[at].signal(Signal::SIGCONT).unwrap();
        for call in calls {
            // A daemon that is not sure of what it knows may refuse.
            match call.await.unwrap() {
                Ok(right) => expect_that!(right, eq(true)),
                Err(CallError::Problem(problem)) => {
                    expect_that!(problem.outcome.as_str(), eq("not-run"));
                }
                Err(error) => panic!("{error}"),
            }
        }
        expect_that!(late(&bench), eq(before));
        for engine in &bench.fleet.engines[1..] {
            engine.set_faults(engine::Faults::default());
        }
        assert!(bench.fleet.wait_ready(GUARD).await);
    }
}

#[gtest]
#[tokio::test]
async fn graceful_stops_in_turn_cut_off_nothing() {
    let _room = ROOM.acquire().await.unwrap();
    let mut bench = bench(Layout::default()).await;
    let mut load = Load::start(&bench.fleet, PATIENT);
    load.progress(3).await;
    for at in 0..3 {
        expect_that!(bench.fleet.daemons[at].stop().await.unwrap(), eq(true));
        load.progress(3).await;
        restart(&mut bench, &mut load, at).await;
    }
    let tally = load.finish(&bench.fleet).await;
    expect_that!(tally.troubles(), is_empty());
}

#[gtest]
#[tokio::test]
async fn a_platform_outage_under_load_stops_no_chat_and_refuses_bookings_truly() {
    let _room = ROOM.acquire().await.unwrap();
    let bench = bench(Layout::default()).await;
    let load = Load::start(&bench.fleet, PATIENT);
    load.progress(3).await;
    for outage in [Outage::Unavailable, Outage::Cut, Outage::Hang] {
        platform_outage(&bench, Some(outage));
        load.chats(100).await;
        platform_outage(&bench, None);
        load.progress(5).await;
    }
    let tally = load.finish(&bench.fleet).await;
    expect_that!(tally.chat_errors, is_empty());
    expect_that!(
        tally.booking_errors.keys().collect::<Vec<_>>(),
        each(contains_substring("claim-unavailable"))
    );
}

#[gtest]
#[tokio::test]
async fn a_slow_platform_slows_bookings_only() {
    let _room = ROOM.acquire().await.unwrap();
    let bench = bench(Layout::default()).await;
    let load = Load::start(&bench.fleet, PATIENT);
    load.progress(3).await;
    bench.fleet.platform.set_faults(platform::Faults {
        delay: Millis(300),
        ..platform::Faults::default()
    });
    load.progress(5).await;
    let tally = load.finish(&bench.fleet).await;
    expect_that!(tally.chat_errors, is_empty());
}

#[gtest]
#[tokio::test]
async fn a_daemon_killed_in_a_platform_outage_comes_back_by_its_peers() {
    let _room = ROOM.acquire().await.unwrap();
    let mut bench = bench(Layout::default()).await;
    let mut load = Load::start(&bench.fleet, PATIENT);
    load.progress(3).await;
    platform_outage(&bench, Some(Outage::Unavailable));
    bench.fleet.daemons[1].kill().await.unwrap();
    load.chats(40).await;
    bench.fleet.restart_daemon(1).await.unwrap();
    settled(&bench, &mut load).await;
    load.chats(100).await;
    platform_outage(&bench, None);
    load.progress(5).await;
    load.finish(&bench.fleet).await;
}

#[gtest]
#[tokio::test]
async fn a_daemon_frozen_in_a_platform_outage_wakes_without_harm() {
    let _room = ROOM.acquire().await.unwrap();
    let bench = bench(Layout::default()).await;
    let mut load = Load::start(&bench.fleet, IMPATIENT);
    load.progress(3).await;
    bench.fleet.daemons[2].signal(Signal::SIGSTOP).unwrap();
    platform_outage(&bench, Some(Outage::Hang));
    daemons_known(&bench, 0, 2.0).await;
    load.chats(40).await;
    bench.fleet.daemons[2].signal(Signal::SIGCONT).unwrap();
    load.chats(40).await;
    platform_outage(&bench, None);
    settled(&bench, &mut load).await;
    load.progress(5).await;
    load.finish(&bench.fleet).await;
}

#[gtest]
#[tokio::test]
async fn wrong_lists_of_vms_part_nobody() {
    let _room = ROOM.acquire().await.unwrap();
    let mut bench = bench(Layout::default()).await;
    let mut load = Load::start(&bench.fleet, PATIENT);
    load.progress(3).await;
    let all = bench.fleet.vms();
    let mut ghost = all[0].clone();
    ghost.vm = "d9".into();
    ghost.address = "127.0.0.1:1".into();
    let platform = &bench.fleet.platform;
    platform.set_vms_for("d1", Some(vec![all[0].clone()]));
    platform.set_vms_for("d2", Some(vec![all[2].clone(), ghost]));
    platform.set_vms_for("d3", Some(Vec::new()));
    bench.fleet.daemons[0].kill().await.unwrap();
    load.progress(5).await;
    restart(&mut bench, &mut load, 0).await;
    load.finish(&bench.fleet).await;
}

#[gtest]
#[tokio::test]
async fn a_daemon_that_is_heard_and_not_reached_harms_nobody() {
    let _room = ROOM.acquire().await.unwrap();
    let bench = bench(Layout::default().with_relays()).await;
    let mut load = Load::start(&bench.fleet, IMPATIENT);
    load.progress(3).await;
    bench.fleet.relays[0].hold(true);
    daemons_known(&bench, 1, 2.0).await;
    daemons_known(&bench, 2, 2.0).await;
    load.progress(5).await;
    bench.fleet.relays[0].hold(false);
    settled(&bench, &mut load).await;
    load.progress(5).await;
    load.finish(&bench.fleet).await;
}
