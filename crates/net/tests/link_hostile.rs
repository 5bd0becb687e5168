//! Invalid input at the port for peer links is counted, closes its own connection
//! and harms no other link.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use medlarrill_core::ids::Incarnation;
use medlarrill_core::wire::{Body, Cancel, Frame, Hello, MAX_FRAME, Proof};
use medlarrill_net::link::{Event, FleetKey, HANDSHAKE_TIMEOUT, Identity, Link, Links, PeerId};
use prost::Message;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;

const GUARD_TIMEOUT: Duration = Duration::from_secs(30);
const SECRET: &[u8] = b"the secret of a test fleet";
const POLL_INTERVAL: Duration = Duration::from_millis(5);

struct Node {
    links: Links,
    address: SocketAddr,
    events: mpsc::UnboundedReceiver<Event>,
}

async fn node(name: &str) -> Node {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let identity = Identity {
        fleet: "test".into(),
        key: FleetKey::of(SECRET),
        me: PeerId {
            daemon: name.parse().unwrap(),
            incarnation: Incarnation(7),
        },
        address,
    };
    let (sender, events) = mpsc::unbounded_channel();
    let handler = Arc::new(move |event| drop(sender.send(event)));
    Node {
        links: Links::start(listener, identity, handler),
        address,
        events,
    }
}

/// A node that receives invalid input, and a valid link to it.
struct Setup {
    node: Node,
    _valid_peer: Node,
    link: Link,
}

async fn setup() -> Setup {
    let (node, valid_peer) = (node("node").await, node("friend").await);
    let link = valid_peer.links.at(node.address).await.unwrap();
    Setup {
        node,
        _valid_peer: valid_peer,
        link,
    }
}

impl Setup {
    /// Checks that the valid link still carries messages.
    async fn expect_valid_link_works(&mut self) {
        self.link
            .send(Body::Cancel(Cancel::default()))
            .await
            .unwrap();
        let received = async {
            loop {
                if let Event::Message(peer, body) = self.node.events.recv().await.unwrap()
                    && body.kind() == "cancel"
                {
                    return peer;
                }
            }
        };
        let peer = timeout(GUARD_TIMEOUT, received).await.unwrap();
        expect_that!(peer.daemon.as_str(), eq("friend"));
    }

    fn refused(&self) -> u64 {
        self.node.links.counts().refused.load(Ordering::Relaxed)
    }

    fn malformed(&self) -> u64 {
        self.node.links.counts().malformed.load(Ordering::Relaxed)
    }
}

async fn until(mut condition: impl FnMut() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    timeout(GUARD_TIMEOUT, wait).await.unwrap();
}

async fn write(socket: &mut TcpStream, bytes: &[u8]) {
    let len = u32::try_from(bytes.len()).unwrap();
    socket.write_all(&len.to_be_bytes()).await.unwrap();
    socket.write_all(bytes).await.unwrap();
}

async fn read(socket: &mut TcpStream) -> Body {
    let len = socket.read_u32().await.unwrap();
    let mut bytes = vec![0; len as usize];
    socket.read_exact(&mut bytes).await.unwrap();
    Frame::decode(Bytes::from(bytes)).unwrap().body.unwrap()
}

/// Waits until the peer has closed the connection; a reset counts as closing.
async fn expect_closed(socket: &mut TcpStream) {
    let mut rest = Vec::new();
    let _ = timeout(GUARD_TIMEOUT, socket.read_to_end(&mut rest))
        .await
        .unwrap();
}

/// A socket after a handshake written byte by byte.
async fn handshaken(address: SocketAddr) -> TcpStream {
    let mut socket = TcpStream::connect(address).await.unwrap();
    let mine = Hello {
        fleet: "test".into(),
        daemon: "rogue".into(),
        incarnation: 1,
        nonce: Bytes::from_static(&[9; 32]),
        address: "127.0.0.1:1".into(),
    };
    let frame = Frame::from(Body::Hello(mine.clone()));
    write(&mut socket, &frame.encode_to_vec()).await;
    let Body::Hello(challenge) = read(&mut socket).await else {
        panic!("no challenge");
    };
    let key = blake3::derive_key("medlarrill peer link 1", SECRET);
    let mut hasher = blake3::Hasher::new_keyed(&key);
    hasher.update(&[1]);
    hasher.update(&mine.encode_length_delimited_to_vec());
    hasher.update(&challenge.nonce);
    let proof = Proof {
        mac: Bytes::copy_from_slice(hasher.finalize().as_bytes()),
    };
    let frame = Frame::from(Body::Proof(proof));
    write(&mut socket, &frame.encode_to_vec()).await;
    read(&mut socket).await;
    read(&mut socket).await;
    socket
}

#[gtest]
#[tokio::test]
async fn an_unknown_kind_is_ignored_and_counted() {
    let mut setup = setup().await;
    let mut rogue = handshaken(setup.node.address).await;
    // Field 1000, a message of two bytes: a kind of a later version.
    write(&mut rogue, &[0xc2, 0x3e, 2, 8, 1]).await;
    write(&mut rogue, &[]).await;
    let known = Frame::from(Body::Cancel(Cancel::default()));
    write(&mut rogue, &known.encode_to_vec()).await;
    let received = async {
        while !matches!(setup.node.events.recv().await.unwrap(), Event::Message(peer, _) if peer.daemon.as_str() == "rogue")
        {
        }
    };
    timeout(GUARD_TIMEOUT, received).await.unwrap();
    expect_that!(
        setup.node.links.counts().received()["unknown"].messages,
        eq(2)
    );
    expect_that!(setup.malformed(), eq(0));
    setup.expect_valid_link_works().await;
}

#[gtest]
#[tokio::test]
async fn invalid_frames_close_only_their_own_link() {
    let mut setup = setup().await;
    let too_large = u32::try_from(MAX_FRAME + 1).unwrap().to_be_bytes();
    let frames: [&[u8]; 4] = [
        // Larger than any frame.
        &too_large,
        &[0xff; 4],
        // A known kind, truncated.
        &[0, 0, 0, 3, 0x52, 9, 1],
        // No field at all.
        &[0, 0, 0, 2, 0xff, 0xff],
    ];
    for (at, frame) in frames.into_iter().enumerate() {
        let mut rogue = handshaken(setup.node.address).await;
        rogue.write_all(frame).await.unwrap();
        expect_closed(&mut rogue).await;
        let count = at as u64 + 1;
        until(|| setup.malformed() == count).await;
        setup.expect_valid_link_works().await;
    }
}

#[gtest]
#[tokio::test]
async fn a_truncated_frame_closes_its_link_and_is_counted() {
    let mut setup = setup().await;
    let mut rogue = handshaken(setup.node.address).await;
    rogue.write_all(&[0, 0, 1, 0, 1, 2, 3]).await.unwrap();
    drop(rogue);
    until(|| setup.malformed() == 1).await;
    setup.expect_valid_link_works().await;
}

#[gtest]
#[tokio::test]
async fn random_bytes_before_the_proof_are_refused_and_counted() {
    let mut setup = setup().await;
    let mut seed = 1u64;
    for len in [1usize, 3, 4, 5, 64, 900, 5000] {
        let bytes: Vec<u8> = (0..len)
            .map(|_| {
                seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
                (seed >> 56) as u8
            })
            .collect();
        let before = setup.refused();
        let mut rogue = TcpStream::connect(setup.node.address).await.unwrap();
        // The peer may close the connection during the write.
        let _ = rogue.write_all(&bytes).await;
        let _ = rogue.shutdown().await;
        expect_closed(&mut rogue).await;
        until(|| setup.refused() == before + 1).await;
    }
    setup.expect_valid_link_works().await;
}

#[gtest]
#[tokio::test]
async fn half_open_handshakes_time_out_and_block_nobody() {
    const SILENT: usize = 300;
    let mut setup = setup().await;
    let mut silent = Vec::new();
    for _ in 0..SILENT {
        silent.push(TcpStream::connect(setup.node.address).await.unwrap());
    }
    setup.expect_valid_link_works().await;
    // Another daemon can still connect behind the silent connections.
    let late = node("late").await;
    let link = async {
        loop {
            if let Ok(link) = late.links.at(setup.node.address).await {
                return link;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    timeout(GUARD_TIMEOUT, link).await.unwrap();
    until(|| setup.refused() >= SILENT as u64).await;
    for socket in &mut silent {
        expect_closed(socket).await;
    }
    expect_that!(HANDSHAKE_TIMEOUT, le(GUARD_TIMEOUT / 5));
}
