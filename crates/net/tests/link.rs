//! Peer links: messages arrive, strangers learn nothing, refused dials are reported.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use medlarrill_core::ids::Incarnation;
use medlarrill_core::wire::{Body, Cancel, PartRequest};
use medlarrill_net::link::{Event, FleetKey, Identity, LinkError, Links, PeerId};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;

const GUARD_TIMEOUT: Duration = Duration::from_secs(20);

struct Node {
    links: Links,
    address: SocketAddr,
    events: mpsc::UnboundedReceiver<Event>,
}

async fn node(name: &str, secret: &str) -> Node {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let identity = Identity {
        fleet: "test".into(),
        key: FleetKey::of(secret.as_bytes()),
        me: PeerId {
            daemon: name.parse().unwrap(),
            incarnation: Incarnation(7),
        },
        address,
    };
    let (sender, events) = mpsc::unbounded_channel();
    let handler = Arc::new(move |event| {
        let _ = sender.send(event);
    });
    Node {
        links: Links::start(listener, identity, handler),
        address,
        events,
    }
}

async fn next_message(node: &mut Node) -> (PeerId, Body) {
    loop {
        let event = timeout(GUARD_TIMEOUT, node.events.recv())
            .await
            .unwrap()
            .unwrap();
        if let Event::Message(peer, body) = event {
            return (peer, *body);
        }
    }
}

#[gtest]
#[tokio::test]
async fn messages_arrive_in_order_with_their_sender() {
    let a = node("a", "secret").await;
    let mut b = node("b", "secret").await;
    let link = a.links.to(&"b".parse().unwrap(), b.address).await.unwrap();
    for _ in 0..3 {
        link.send(Body::PartRequest(PartRequest::default()))
            .await
            .unwrap();
    }
    link.send(Body::Cancel(Cancel::default())).await.unwrap();
    for _ in 0..3 {
        let (peer, body) = next_message(&mut b).await;
        expect_that!(peer.daemon.as_str(), eq("a"));
        expect_that!(body.kind(), eq("part-ask"));
    }
    expect_that!(next_message(&mut b).await.1.kind(), eq("cancel"));
    expect_that!(a.links.counts().sent()["part-ask"].messages, eq(3));
}

#[gtest]
#[tokio::test]
async fn a_wrong_key_is_refused_and_counted() {
    let a = node("a", "wrong").await;
    let b = node("b", "secret").await;
    let refused = a.links.to(&"b".parse().unwrap(), b.address).await;
    expect_that!(refused.is_err(), eq(true));
    while b
        .links
        .counts()
        .refused
        .load(std::sync::atomic::Ordering::Relaxed)
        == 0
    {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[gtest]
#[tokio::test]
async fn a_stranger_receives_no_name() {
    let b = node("bravo-daemon", "secret").await;
    let mut socket = TcpStream::connect(b.address).await.unwrap();
    socket.write_all(&[0, 0, 0, 2, 0xff, 0xff]).await.unwrap();
    let mut received = Vec::new();
    timeout(GUARD_TIMEOUT, socket.read_to_end(&mut received))
        .await
        .unwrap()
        .unwrap();
    expect_that!(received, is_empty());
}

#[gtest]
#[tokio::test]
async fn an_oversized_first_message_closes_the_link() {
    let b = node("b", "secret").await;
    let mut socket = TcpStream::connect(b.address).await.unwrap();
    socket.write_all(&[0x7f, 0xff, 0xff, 0xff]).await.unwrap();
    let mut received = Vec::new();
    timeout(GUARD_TIMEOUT, socket.read_to_end(&mut received))
        .await
        .unwrap()
        .unwrap();
    expect_that!(received, is_empty());
}

#[gtest]
#[tokio::test]
async fn another_daemon_at_the_address_is_an_error() {
    let a = node("a", "secret").await;
    let b = node("b", "secret").await;
    let other = a.links.to(&"c".parse().unwrap(), b.address).await;
    expect_that!(matches!(other, Err(LinkError::OtherDaemon)), eq(true));
}

#[gtest]
#[tokio::test]
async fn a_refused_dial_is_reported() {
    let mut a = node("a", "secret").await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let result = a.links.to(&"b".parse().unwrap(), address).await;
    expect_that!(result.is_err(), eq(true));
    let event = timeout(GUARD_TIMEOUT, a.events.recv())
        .await
        .unwrap()
        .unwrap();
    expect_that!(matches!(event, Event::Refused(_)), eq(true));
}
