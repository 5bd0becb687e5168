use std::net::SocketAddr;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use googletest::prelude::*;
use medlarrill_core::routing::mirror::{Change, Update};
use medlarrill_core::routing::revision::{Era, Revision};
use medlarrill_platform::store::Kind;
use medlarrill_platform_standin::Outage;
use medlarrill_router::store::relay::message::{Notification, Subscription};
use medlarrill_testkit::proxy::{Harm, Proxy};
use medlarrill_testkit::routed::WAIT;
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use super::setup::Bench;

/// Follows a daemon's copies of a kind from a revision on; returns the first changes it is told.
async fn first_told(source: SocketAddr, kind: Kind, reached: u64) -> Update {
    let stream = TcpStream::connect(source).await.expect("a connection");
    let mut link = Framed::new(stream, LengthDelimitedCodec::new());
    let ask = Subscription::new(&[(kind, Some(Revision::new(Era(1), reached)))]);
    link.send(ask.encode()).await.expect("a message is sent");
    loop {
        let frame = link.next().await.expect("a message").expect("a frame");
        let tell = Notification::read(&frame).expect("a message");
        let told = tell.into_update().expect("an update");
        let update = told.filter(|told| told.0 == kind).map(|told| told.1);
        if let Some(update) = update.filter(|update| !update.changes.is_empty()) {
            return update;
        }
    }
}

/// Whether changes say that an object is gone.
fn removes(update: &Update, object: &str) -> bool {
    let is_gone =
        |change: &Change| matches!(change, Change::Removed { name, .. } if name == object);
    let is_put = |change: &Change| matches!(change, Change::Put(put) if put.name == object);
    let mut changes = update.changes.iter();
    match update.complete {
        true => !changes.any(is_put),
        false => changes.any(is_gone),
    }
}

#[tokio::test]
async fn a_follower_of_a_daemon_that_has_just_started_is_told_what_is_gone() {
    let mut bench = Bench::without_daemon(2).await;
    // The follower knows both endpoints; one is removed while its source starts again.
    let reached = bench.store.put("config", "other", "1".into());
    bench.store.remove("servers", "e-1");
    let proxy = Proxy::start(bench.store.address()).await.expect("a proxy");
    proxy.harm(Harm::Delay(Duration::from_millis(300)));
    bench.add_daemon_behind(&[], proxy.address);
    let source = bench.daemons[0].listen[3];
    let told = tokio::time::timeout(WAIT, first_told(source, Kind::Endpoints, reached)).await;
    let update = told.expect("changes in time");
    assert_that!(removes(&update, "e-1"), eq(true), "{update:?}");
}

#[tokio::test]
async fn a_follower_of_a_daemon_that_read_an_old_list_is_told_what_is_gone() {
    let mut bench = Bench::without_daemon(2).await;
    let reached = bench.store.put("config", "other", "1".into());
    bench.store.remove("servers", "e-1");
    bench.store.fail(Outage::Rate);
    bench.add_daemon(&[]);
    let source = bench.daemons[0].listen[3];
    let told = tokio::time::timeout(WAIT, first_told(source, Kind::Endpoints, reached)).await;
    let update = told.expect("changes in time");
    assert_that!(removes(&update, "e-1"), eq(true), "{update:?}");
}
