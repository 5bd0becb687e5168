//! Handshake of a link: mutual authentication with the fleet key.
//!
//! The dialler sends its `Hello`, and the listener replies with only a nonce. The
//! listener sends its own name and proof after it has verified the dialler's
//! proof, so that a stranger learns nothing but a random number.

use std::net::SocketAddr;

use bytes::Bytes;
use derive_more::From;
use futures_util::{SinkExt, StreamExt};
use medlarrill_core::ids::{DaemonId, Incarnation};
use medlarrill_core::wire::{Body, Frame, Hello, MAX_FRAME, Proof};
use prost::Message;
use subtle::ConstantTimeEq;
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use super::{Identity, LinkError, PeerId, Result};

/// Largest message during the handshake, in bytes.
const MAX_HELLO: usize = 1024;
/// Length of a nonce, in bytes.
const NONCE_LEN: usize = 32;
const DIALLER: u8 = 1;
const LISTENER: u8 = 2;

/// Secret key shared by all daemons of a fleet.
#[derive(Clone, Copy)]
#[derive(From)]
pub struct FleetKey([u8; 32]);

impl FleetKey {
    /// Derives the key from a secret with the KDF of BLAKE3.
    pub fn of(secret: &[u8]) -> Self {
        Self(blake3::derive_key("medlarrill peer link 1", secret))
    }
}

pub(super) type FramedStream = Framed<TcpStream, LengthDelimitedCodec>;

/// An authenticated link.
pub(super) struct Opened {
    /// The peer.
    pub(super) peer: PeerId,
    /// Address on which the peer accepts links.
    pub(super) address: SocketAddr,
    /// The framed socket.
    pub(super) stream: FramedStream,
}

/// Runs the handshake as the dialler.
pub(super) async fn dial(socket: TcpStream, identity: &Identity) -> Result<Opened> {
    let mut stream = framed(socket);
    let mine = hello(identity);
    send(&mut stream, Body::Hello(mine.clone())).await?;
    let challenge = expect_hello(&mut stream).await?;
    let proof = compute_proof(identity, DIALLER, &mine, &challenge);
    send(&mut stream, Body::Proof(proof)).await?;
    let theirs = expect_hello(&mut stream).await?;
    let proof = expect_proof(&mut stream).await?;
    let same_nonce = theirs.nonce == challenge.nonce;
    if !same_nonce || !proofs_match(&proof, &compute_proof(identity, LISTENER, &theirs, &mine)) {
        return Err(LinkError::Proof);
    }
    lift_frame_limit(&mut stream);
    opened(&theirs, stream)
}

/// Runs the handshake as the listener.
pub(super) async fn answer(socket: TcpStream, identity: &Identity) -> Result<Opened> {
    let mut stream = framed(socket);
    let theirs = expect_hello(&mut stream).await?;
    let mine = hello(identity);
    let challenge = Hello {
        nonce: mine.nonce.clone(),
        ..Hello::default()
    };
    send(&mut stream, Body::Hello(challenge.clone())).await?;
    let proof = expect_proof(&mut stream).await?;
    let known = theirs.fleet == identity.fleet;
    if !known
        || !proofs_match(
            &proof,
            &compute_proof(identity, DIALLER, &theirs, &challenge),
        )
    {
        return Err(LinkError::Proof);
    }
    let proof = compute_proof(identity, LISTENER, &mine, &theirs);
    send(&mut stream, Body::Hello(mine)).await?;
    send(&mut stream, Body::Proof(proof)).await?;
    lift_frame_limit(&mut stream);
    opened(&theirs, stream)
}

fn framed(socket: TcpStream) -> FramedStream {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_HELLO)
        .new_framed(socket)
}

/// Raises the frame limit from `MAX_HELLO` to `MAX_FRAME` after the handshake.
fn lift_frame_limit(stream: &mut FramedStream) {
    stream.codec_mut().set_max_frame_length(MAX_FRAME);
}

fn hello(identity: &Identity) -> Hello {
    let nonce: [u8; NONCE_LEN] = rand::random();
    Hello {
        fleet: identity.fleet.clone(),
        daemon: identity.me.daemon.to_string(),
        incarnation: identity.me.incarnation.0,
        nonce: Bytes::copy_from_slice(&nonce),
        address: identity.address.to_string(),
    }
}

fn opened(hello: &Hello, stream: FramedStream) -> Result<Opened> {
    let peer = PeerId {
        daemon: hello.daemon.parse::<DaemonId>()?,
        incarnation: Incarnation(hello.incarnation),
    };
    let address = hello.address.parse().map_err(|_| LinkError::Protocol)?;
    Ok(Opened {
        peer,
        address,
        stream,
    })
}

fn compute_proof(identity: &Identity, side: u8, own: &Hello, other: &Hello) -> Proof {
    let mut hasher = blake3::Hasher::new_keyed(&identity.key.0);
    hasher.update(&[side]);
    hasher.update(&own.encode_length_delimited_to_vec());
    hasher.update(&other.nonce);
    Proof {
        mac: Bytes::copy_from_slice(hasher.finalize().as_bytes()),
    }
}

fn proofs_match(given: &Proof, wanted: &Proof) -> bool {
    given.mac.ct_eq(&wanted.mac).into()
}

async fn send(stream: &mut FramedStream, body: Body) -> Result<()> {
    let bytes = Frame::from(body).encode_to_vec();
    stream.send(Bytes::from(bytes)).await?;
    Ok(())
}

async fn receive(stream: &mut FramedStream) -> Result<Body> {
    let bytes = stream.next().await.ok_or(LinkError::Closed)??;
    let frame = Frame::decode(bytes).map_err(|_| LinkError::Protocol)?;
    frame.body.ok_or(LinkError::Protocol)
}

async fn expect_hello(stream: &mut FramedStream) -> Result<Hello> {
    match receive(stream).await? {
        Body::Hello(hello) if hello.nonce.len() == NONCE_LEN => Ok(hello),
        _ => Err(LinkError::Protocol),
    }
}

async fn expect_proof(stream: &mut FramedStream) -> Result<Proof> {
    match receive(stream).await? {
        Body::Proof(proof) => Ok(proof),
        _ => Err(LinkError::Protocol),
    }
}
