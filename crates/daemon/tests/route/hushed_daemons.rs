//! Daemons that stand still for a moment and go on where they were.

use std::time::Duration;

use googletest::prelude::*;
use medlarrill_platform_standin::Outage;
use medlarrill_testkit::wait::until;
use nix::sys::signal::Signal;

use super::setup::Bench;
use super::versions::{TWO, begin, finish, restart_all, start};

/// Signals the two daemons that know the streams.
fn signal(bench: &Bench, signal: Signal) {
    for daemon in &bench.daemons[..2] {
        daemon.signal(signal).expect("a signal");
    }
}

#[gtest]
#[tokio::test]
async fn streams_refused_since_the_daemons_that_know_them_stand_still() {
    let mut bench = start(2, &TWO).await;
    let begun = begin(&bench, 0).await;
    bench.add_daemon(&[0, 1]);
    bench.ready(2, TWO.len()).await;
    bench.takes_connections(2).await;
    bench.until_all_live(3).await;
    signal(&bench, Signal::SIGSTOP);
    bench.store.fail(Outage::Silent);
    let (taken_up, ()) = tokio::join!(finish(&bench, 2, &begun, "again"), async {
        tokio::time::sleep(Duration::from_millis(600)).await;
        signal(&bench, Signal::SIGCONT);
        bench.store.fail(Outage::None);
    });
    println!("{taken_up:?}");
    taken_up.assert_all_whole();
}

#[gtest]
#[tokio::test]
async fn streams_refused_since_the_platform_that_keeps_them_is_silent() {
    let mut bench = start(2, &TWO).await;
    let begun = begin(&bench, 0).await;
    // The archive is written twice a second.
    tokio::time::sleep(Duration::from_secs(1)).await;
    restart_all(&mut bench).await;
    bench.store.fail(Outage::Silent);
    let (taken_up, ()) = tokio::join!(finish(&bench, 0, &begun, "again"), async {
        tokio::time::sleep(Duration::from_millis(600)).await;
        bench.store.fail(Outage::None);
    });
    println!("{taken_up:?}");
    taken_up.assert_all_whole();
}

/// Guards against an archive that isn't used since it can't be told what came after it.
#[gtest]
#[tokio::test]
async fn streams_refused_since_the_list_of_endpoints_is_refused() {
    let mut bench = start(2, &TWO).await;
    let begun = begin(&bench, 0).await;
    let is_kept = async || bench.store.has("streams", "fleet");
    until("an archive", is_kept).await;
    // The archive is written twice a second.
    tokio::time::sleep(Duration::from_secs(1)).await;
    restart_all(&mut bench).await;
    bench.store.fail(Outage::Only("servers"));
    let taken_up = finish(&bench, 0, &begun, "again").await;
    taken_up.assert_all_whole();
}
