//! Most new connections come to one of several daemons, while callers open new ones more often.
//! Judged by what callers see: requests that a daemon has read are served, and a connection that is
//! closed unread has run nothing.

use std::time::Duration;

use googletest::prelude::*;
use medlarrill_platform_standin::{Behaviour, Call, Caller, Reply};
use medlarrill_testkit::routed::{WAIT, read};
use nix::sys::signal::Signal;
use tokio::time::Instant;

use super::setup::Bench;

const DAEMONS: usize = 4;
const ENDPOINTS: usize = 9;
const STEP: Duration = Duration::from_millis(10);
const CALM: Duration = Duration::from_secs(2);
const CROWD: Duration = Duration::from_secs(4);

async fn fleet(files: usize) -> Bench {
    let mut bench = Bench::without_daemon(ENDPOINTS).await;
    bench.behave(Behaviour {
        pace: Duration::from_millis(15),
        ..Behaviour::DEFAULT
    });
    for number in 0..DAEMONS {
        bench.add_daemon_with_files(if number == 0 { &[] } else { &[0] }, files);
        bench.ready(number, ENDPOINTS).await;
    }
    bench.until_all_live(DAEMONS).await;
    bench
}

/// Whether a request was read: anything came back.
fn is_read(reply: &Reply) -> bool {
    reply.status.is_some()
}

/// Sends requests on new connections for a time, nine in ten of them to the crowded daemon if there
/// is one; returns how many were read at the first try, and how many of these were served.
async fn send_for(
    bench: &Bench,
    name: &str,
    time: Duration,
    crowded: Option<usize>,
) -> (usize, usize) {
    let end = Instant::now() + time;
    let mut sent = Vec::new();
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let daemon = match crowded {
            Some(daemon) if number % 10 != 0 => daemon,
            _ => number % DAEMONS,
        };
        let paths = ["/plain/x", "/once/x", "/stream/x", "/stream-once/x"];
        let call = Call::new(format!("{name}-{number}"), paths[number % paths.len()]);
        let mut caller = Caller::new(bench.daemons[daemon].callers());
        sent.push(tokio::spawn(async move { caller.send(&call).await }));
        tokio::time::sleep(STEP).await;
    }
    let (mut read, mut served) = (0, 0);
    for reply in sent {
        let reply = reply.await.expect("a reply");
        read += usize::from(is_read(&reply));
        served += usize::from(reply.is_success());
    }
    (read, served)
}

#[gtest]
#[tokio::test]
async fn requests_that_a_crowded_daemon_reads_are_served_as_before() {
    let bench = fleet(4096).await;
    let (read, served) = send_for(&bench, "calm", CALM, None).await;
    let before = served as f64 / read as f64;
    for crowded in [0, 2] {
        let name = format!("crowd-{crowded}");
        let (read, served) = send_for(&bench, &name, CROWD, Some(crowded)).await;
        let after = served as f64 / read as f64;
        println!("{before:.3} before, {after:.3} of {read} with daemon {crowded} crowded");
        expect_that!(after, ge(before * 0.75));
    }
}

#[gtest]
#[tokio::test]
async fn connections_beyond_the_file_descriptors_are_closed_unread_and_those_open_go_on() {
    // Room for six connections.
    let bench = fleet(312).await;
    let mut kept = Vec::new();
    for number in 0..6 {
        let mut caller = Caller::new(bench.daemons[0].callers());
        let reply = caller
            .send(&Call::new(format!("kept-{number}"), "/plain/x"))
            .await;
        assert_that!(reply.is_success(), eq(true), "{reply:?}");
        kept.push(caller);
    }
    for number in 0..10 {
        let call = Call::new(format!("beyond-{number}"), "/once/x");
        let reply = bench.send_to(0, &call).await;
        expect_that!(is_read(&reply), eq(false), "{reply:?}");
        expect_that!(bench.ledger.runs(&call.attempt), is_empty());
        // The next try meets another daemon.
        let reply = bench.send_to(1, &call).await;
        expect_that!(reply.is_success(), eq(true), "{reply:?}");
    }
    for (number, caller) in kept.iter_mut().enumerate() {
        let reply = caller
            .send(&Call::new(format!("again-{number}"), "/plain/x"))
            .await;
        expect_that!(reply.is_success(), eq(true), "{reply:?}");
    }
}

#[gtest]
#[tokio::test]
async fn a_daemon_without_room_for_connections_closes_idle_ones_or_is_not_ready() {
    for (pace, closes_idle) in [(10, true), (3600, false)] {
        let mut bench = Bench::without_daemon(1).await;
        bench.behave(Behaviour {
            pace: Duration::from_millis(pace),
            ..Behaviour::DEFAULT
        });
        // Room for six connections.
        bench.add_daemon_with_files(&[], 312);
        bench.ready(0, 1).await;
        let kept = (0..6).map(|number| {
            let mut caller = bench.caller();
            let call = Call::new(format!("kept-{number}"), "/once/x").with_wait(4000);
            tokio::spawn(async move { (caller.send(&call).await, caller) })
        });
        let kept: Vec<_> = kept.collect();
        Bench::pause(300).await;
        let ready = bench.daemons[0].listen[1];
        let (mut taken, mut not_ready) = (0, 0);
        for number in 0..30 {
            let call = Call::new(format!("new-{number}"), "/plain/x").with_wait(100);
            taken += usize::from(is_read(&bench.send(&call).await));
            not_ready += usize::from(read(ready, "/ready", WAIT).is_err());
            Bench::pause(100).await;
        }
        expect_that!((taken > 0, not_ready > 0), eq((closes_idle, !closes_idle)));
        for caller in kept {
            let (reply, _) = caller.await.expect("a reply");
            expect_that!(reply.is_success(), eq(true), "{reply:?}");
        }
        bench.takes_connections(0).await;
    }
}

#[gtest]
#[tokio::test]
async fn a_daemon_that_stood_still_for_a_moment_takes_the_connections_that_come_then() {
    let bench = Bench::start(1).await;
    let daemon = &bench.daemons[0];
    daemon.signal(Signal::SIGSTOP).expect("a signal");
    Bench::pause(400).await;
    daemon.signal(Signal::SIGCONT).expect("a signal");
    let sent = (0..20).map(async |number| {
        Bench::pause(2 * number).await;
        bench
            .send(&Call::new(format!("r-{number}"), "/once/x"))
            .await
    });
    for reply in futures_util::future::join_all(sent).await {
        expect_that!(is_read(&reply), eq(true), "{reply:?}");
    }
}
