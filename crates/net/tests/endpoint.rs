//! Calls to endpoints whose connections fail at set points.

#[path = "support/peer.rs"]
mod peer;

use bytes::Bytes;
use googletest::prelude::*;
use http::Method;
use medlarrill_core::clock::Millis;
use medlarrill_core::outcome::Outcome;
use medlarrill_net::endpoint::{Client, Error, Events, Limits, Request, Reuse};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::mpsc;

use peer::{Peer, read_head};

/// A guard against a test that never ends.
const LONG: Millis = Millis::from_secs(20);
/// A wait that the other side never meets.
const SHORT: Millis = Millis(50);

fn get() -> Request {
    Request::new(Method::GET, "/v1/load").with_waits(LONG, LONG)
}

fn client() -> Client {
    Client::new(&Limits::default())
}

fn chunk(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}

const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

#[gtest]
#[tokio::test]
async fn refused_connection_is_not_sent() {
    let peer = Peer::start().await;
    let address = peer.address;
    drop(peer);
    let error = client().send(address, get()).await.unwrap_err();
    expect_that!(error, matches_pattern!(Error::NotSent { .. }));
    expect_that!(error.outcome(), eq(Outcome::NotRun));
}

#[gtest]
#[tokio::test]
async fn closed_after_the_request_is_lost() {
    let peer = Peer::start().await;
    let client = client();
    let send = client.send(peer.address, get());
    let close = async { read_head(&mut peer.accept().await).await };
    let (answer, _) = tokio::join!(send, close);
    let error = answer.unwrap_err();
    expect_that!(error, matches_pattern!(Error::Lost { .. }));
    expect_that!(error.outcome(), eq(Outcome::Unknown));
}

#[gtest]
#[tokio::test]
async fn silence_after_the_request_is_a_sent_timeout() {
    let peer = Peer::start().await;
    let client = client();
    let request = get().with_waits(SHORT, SHORT);
    let hold = async {
        let mut stream = peer.accept().await;
        read_head(&mut stream).await;
        // The end of the stream shows that the client closed it.
        stream.read(&mut [0]).await.unwrap_or(0)
    };
    let (answer, left) = tokio::join!(client.send(peer.address, request), hold);
    expect_that!(answer.unwrap_err(), eq(&Error::Timeout { sent: true }));
    expect_that!(left, eq(0));
}

#[gtest]
#[tokio::test]
async fn kept_connection_closed_in_use_loses_one_request_and_sends_no_second() {
    let peer = Peer::start().await;
    let client = client();
    let (heads, mut seen) = mpsc::channel(4);
    let address = peer.address;
    let serve = tokio::spawn(async move {
        let mut first = peer.accept().await;
        heads.send(read_head(&mut first).await).await.unwrap();
        let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        first.write_all(answer).await.unwrap();
        heads.send(read_head(&mut first).await).await.unwrap();
        drop(first);
        let mut other = peer.accept().await;
        heads.send(read_head(&mut other).await).await.unwrap();
        other.write_all(answer).await.unwrap();
    });
    let body = client.send(address, get()).await.unwrap().body;
    expect_that!(body.whole(10).await, ok(eq(&Bytes::from_static(b"ok"))));
    let error = client.send(address, get()).await.unwrap_err();
    expect_that!(error.outcome(), eq(Outcome::Unknown));
    let fresh = Request::new(Method::GET, "/fresh").with_reuse(Reuse::Fresh);
    client.send(address, fresh).await.unwrap();
    serve.await.unwrap();
    let mut paths = Vec::new();
    while let Some(head) = seen.recv().await {
        paths.push(head.split(' ').nth(1).unwrap().to_owned());
    }
    expect_that!(
        paths,
        elements_are![eq("/v1/load"), eq("/v1/load"), eq("/fresh")]
    );
}

#[gtest]
#[tokio::test]
async fn events_come_whole_from_any_chunking_and_a_cut_is_an_error() {
    let peer = Peer::start().await;
    let client = client();
    let text = ": hello\n\nid: 1\ndata: a\n\nid: 2\r\ndata: b\r\ndata: c\r\n\r\n";
    let serve = async {
        let mut stream = peer.accept().await;
        read_head(&mut stream).await;
        stream.write_all(CHUNKED.as_bytes()).await.unwrap();
        for at in 0..text.len() {
            let piece = chunk(&text[at..=at]);
            stream.write_all(piece.as_bytes()).await.unwrap();
        }
        // Neither the last chunk nor a whole event follows.
        stream.write_all(b"5\r\nid:").await.unwrap();
    };
    let read = async {
        let answer = client.send(peer.address, get()).await.unwrap();
        let mut events = Events::new(answer.body, 1024);
        let mut seen = Vec::new();
        loop {
            match events.next().await {
                Some(Ok(event)) => seen.push((event.id, event.data)),
                Some(Err(error)) => return (seen, Some(error)),
                None => return (seen, None),
            }
        }
    };
    let (_, (seen, error)) = tokio::join!(serve, read);
    expect_that!(
        seen,
        elements_are![
            eq(&(Some(1), Bytes::from_static(b"a"))),
            eq(&(Some(2), Bytes::from_static(b"b\nc"))),
        ]
    );
    expect_that!(error, some(displays_as(contains_substring("lost"))));
}
