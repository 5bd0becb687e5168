//! Silences on the ways between daemons and endpoints: behind helpers, on kept connections, and with
//! callers that leave meanwhile.

use std::net::SocketAddr;
use std::time::Duration;

use googletest::prelude::*;
use medlarrill_platform_standin::{Behaviour, Call, Caller, Reply};
use nix::sys::signal::Signal;
use tokio::task::JoinHandle;

use super::cut::{Cut, Site};
use super::setup::{Bench, stream_body};
use super::silence_play::PACED;

const STREAMS: usize = 12;

/// Begins streams at a daemon.
async fn begin(address: SocketAddr) -> Vec<JoinHandle<Reply>> {
    let streams = (0..STREAMS).map(|number| {
        let call = Call::new(format!("s-{number}"), "/stream/x").with_wait(3900);
        tokio::spawn(async move { Caller::new(address).send(&call).await })
    });
    let streams = streams.collect();
    Bench::pause(400).await;
    streams
}

/// Sends streams to a daemon that reaches endpoints through two others only.
async fn tunnelled() -> (Site, Vec<JoinHandle<Reply>>) {
    let site = Site::start(4, 1, 3).await;
    site.bench.behave(PACED);
    site.cut(0, Cut::Reset);
    site.first_tries(0, "before", 8).await;
    let streams = begin(site.bench.daemons[0].callers()).await;
    (site, streams)
}

async fn all_whole(streams: Vec<JoinHandle<Reply>>) {
    for (number, reply) in streams.into_iter().enumerate() {
        let reply = reply.await.expect("a reply");
        let expected = stream_body(&format!("s-{number}"), 1, PACED.events);
        expect_that!(reply.is_success(), eq(true), "s-{number}");
        expect_that!(reply.body.as_ref(), eq(expected.as_bytes()));
    }
}

#[gtest]
#[tokio::test]
async fn streams_cut_behind_helpers_while_endpoints_are_silent() {
    let (site, streams) = tunnelled().await;
    for endpoint in &site.bench.endpoints {
        endpoint.pause(true);
    }
    Bench::pause(1200).await;
    for endpoint in &site.bench.endpoints {
        endpoint.pause(false);
    }
    all_whole(streams).await;
}

#[gtest]
#[tokio::test]
async fn streams_cut_while_their_helpers_stand_still() {
    let (site, streams) = tunnelled().await;
    let helpers = &site.bench.daemons[1..];
    for helper in helpers {
        helper.signal(Signal::SIGSTOP).expect("a signal");
    }
    Bench::pause(1200).await;
    for helper in helpers {
        helper.signal(Signal::SIGCONT).expect("a signal");
    }
    all_whole(streams).await;
}

#[gtest]
#[tokio::test]
async fn streams_cut_while_their_own_daemon_stands_still() {
    let bench = Bench::start(4).await;
    bench.behave(PACED);
    let streams = begin(bench.daemons[0].callers()).await;
    bench.daemons[0].signal(Signal::SIGSTOP).expect("a signal");
    Bench::pause(1500).await;
    bench.daemons[0].signal(Signal::SIGCONT).expect("a signal");
    all_whole(streams).await;
}

#[gtest]
#[tokio::test]
async fn requests_lost_on_kept_connections_of_silent_endpoints() {
    let bench = Bench::start(2).await;
    let mut callers = Vec::new();
    for number in 0..6 {
        let mut caller = bench.caller();
        let call = Call::new(format!("before-{number}"), "/once/x");
        assert_that!(caller.send(&call).await.is_success(), eq(true));
        callers.push(caller);
    }
    bench
        .endpoints
        .iter()
        .for_each(|endpoint| endpoint.pause(true));
    let mut waiting = Vec::new();
    for (number, mut caller) in callers.into_iter().enumerate() {
        let path = ["/once/x", "/plain/x"][number % 2];
        let call = Call::new(format!("r-{number}"), path);
        waiting.push(tokio::spawn(async move { caller.send(&call).await }));
    }
    Bench::pause(1200).await;
    bench
        .endpoints
        .iter()
        .for_each(|endpoint| endpoint.pause(false));
    for reply in waiting {
        expect_that!(reply.await.expect("a reply").is_success(), eq(true));
    }
}

#[gtest]
#[tokio::test]
async fn work_left_running_after_its_caller_left_in_a_silence() {
    let bench = Bench::start(3).await;
    bench.behave(Behaviour {
        events: 200,
        ..PACED
    });
    let waiting: Vec<_> = (0..6)
        .map(|number| {
            let mut caller = bench.caller();
            let call = Call::new(format!("s-{number}"), "/stream/x").with_wait(3900);
            tokio::spawn(async move { caller.send(&call).await })
        })
        .collect();
    Bench::pause(400).await;
    bench.endpoints[0].pause(true);
    // Other endpoints are sought from twice the target gap on.
    Bench::pause(800).await;
    waiting.iter().for_each(JoinHandle::abort);
    bench.endpoints[0].pause(false);
    Bench::pause(500).await;
    let streams = bench.endpoints.iter().map(|endpoint| endpoint.streams());
    expect_that!(streams.sum::<usize>(), eq(0));
}

#[gtest]
#[tokio::test]
async fn plain_requests_refused_or_unevenly_spread_after_a_silence() {
    let bench = Bench::start(4).await;
    bench.behave(Behaviour {
        pace: Duration::from_millis(30),
        ..Behaviour::DEFAULT
    });
    let silent = &bench.endpoints[..2];
    let mut waiting = Vec::new();
    let send = |name: &str, number: usize| {
        let mut caller = bench.caller();
        let call = Call::new(format!("{name}-{number}"), "/plain/x");
        tokio::spawn(async move { caller.send(&call).await })
    };
    for number in 0..500 {
        match number {
            100 => silent.iter().for_each(|endpoint| endpoint.pause(true)),
            300 => silent.iter().for_each(|endpoint| endpoint.pause(false)),
            _ => {}
        }
        waiting.push(send("r", number));
        Bench::pause(5).await;
    }
    let mut refused = Vec::new();
    for (number, reply) in waiting.into_iter().enumerate() {
        let reply = reply.await.expect("a reply");
        if !reply.is_success() {
            refused.push((number, reply.status));
        }
    }
    // The silence ends with request 300; half a second later all is as before.
    let late = refused.iter().filter(|(number, _)| *number >= 400).count();
    println!("{} refused, {late} late: {refused:?}", refused.len());
    expect_that!(late, eq(0));
    let untrue = refused
        .iter()
        .filter(|(_, status)| status.is_none_or(|status| ![429, 503].contains(&status.as_u16())));
    expect_that!(untrue.count(), eq(0));
    let after = (400..500).map(|number| format!("r-{number}"));
    let runs = after.flat_map(|attempt| bench.ledger.runs(&attempt));
    let names = ["e-0", "e-1"];
    let at_silent = runs
        .filter(|run| names.contains(&run.endpoint.as_str()))
        .count();
    // Half of 100, less what chance may take.
    expect_that!(at_silent, ge(35));
}
