//! Opening a link: both sides name themselves and prove the fleet key.
//!
//! The dialling side sends its `Hello`, the other side answers with a bare
//! nonce, and only after the dialler's proof does it name and prove itself. A
//! stranger therefore learns a random number and nothing else.

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

/// Largest message before the proof, in bytes.
const MAX_HELLO: usize = 1024;
const NONCE: usize = 32;
const DIALLER: u8 = 1;
const LISTENER: u8 = 2;

/// Key that all daemons of a fleet share.
#[derive(Clone, Copy)]
#[derive(From)]
pub struct FleetKey([u8; 32]);

impl FleetKey {
    /// Derives the key from a secret text.
    pub fn of(secret: &[u8]) -> Self {
        Self(blake3::derive_key("medlarrill peer link 1", secret))
    }
}

pub(super) type Wire = Framed<TcpStream, LengthDelimitedCodec>;

/// A link whose sides have proved themselves.
pub(super) struct Opened {
    /// The other side.
    pub(super) peer: PeerId,
    /// Where it takes links.
    pub(super) address: SocketAddr,
    /// The socket.
    pub(super) wire: Wire,
}

/// Opens a link as its dialler; returns who answered.
pub(super) async fn dial(socket: TcpStream, identity: &Identity) -> Result<Opened> {
    let mut wire = framed(socket);
    let mine = hello(identity);
    send(&mut wire, Body::Hello(mine.clone())).await?;
    let challenge = expect_hello(&mut wire).await?;
    let proof = prove(identity, DIALLER, &mine, &challenge);
    send(&mut wire, Body::Proof(proof)).await?;
    let theirs = expect_hello(&mut wire).await?;
    let proof = expect_proof(&mut wire).await?;
    let same_nonce = theirs.nonce == challenge.nonce;
    if !same_nonce || !matches(&proof, &prove(identity, LISTENER, &theirs, &mine)) {
        return Err(LinkError::Proof);
    }
    finish(&mut wire);
    other_side(&theirs, wire)
}

/// Opens a link as its listener; returns who dialled.
pub(super) async fn answer(socket: TcpStream, identity: &Identity) -> Result<Opened> {
    let mut wire = framed(socket);
    let theirs = expect_hello(&mut wire).await?;
    let mine = hello(identity);
    let challenge = Hello {
        nonce: mine.nonce.clone(),
        ..Hello::default()
    };
    send(&mut wire, Body::Hello(challenge.clone())).await?;
    let proof = expect_proof(&mut wire).await?;
    let known = theirs.fleet == identity.fleet;
    if !known || !matches(&proof, &prove(identity, DIALLER, &theirs, &challenge)) {
        return Err(LinkError::Proof);
    }
    let proof = prove(identity, LISTENER, &mine, &theirs);
    send(&mut wire, Body::Hello(mine)).await?;
    send(&mut wire, Body::Proof(proof)).await?;
    finish(&mut wire);
    other_side(&theirs, wire)
}

fn framed(socket: TcpStream) -> Wire {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_HELLO)
        .new_framed(socket)
}

/// Lifts the limit that holds before the proof.
fn finish(wire: &mut Wire) {
    wire.codec_mut().set_max_frame_length(MAX_FRAME);
}

fn hello(identity: &Identity) -> Hello {
    let nonce: [u8; NONCE] = rand::random();
    Hello {
        fleet: identity.fleet.clone(),
        daemon: identity.me.daemon.to_string(),
        incarnation: identity.me.incarnation.0,
        nonce: Bytes::copy_from_slice(&nonce),
        address: identity.address.to_string(),
    }
}

fn other_side(hello: &Hello, wire: Wire) -> Result<Opened> {
    let peer = PeerId {
        daemon: hello.daemon.parse::<DaemonId>()?,
        incarnation: Incarnation(hello.incarnation),
    };
    let address = hello.address.parse().map_err(|_| LinkError::Protocol)?;
    Ok(Opened {
        peer,
        address,
        wire,
    })
}

fn prove(identity: &Identity, side: u8, own: &Hello, other: &Hello) -> Proof {
    let mut hasher = blake3::Hasher::new_keyed(&identity.key.0);
    hasher.update(&[side]);
    hasher.update(&own.encode_length_delimited_to_vec());
    hasher.update(&other.nonce);
    Proof {
        mac: Bytes::copy_from_slice(hasher.finalize().as_bytes()),
    }
}

fn matches(given: &Proof, wanted: &Proof) -> bool {
    given.mac.ct_eq(&wanted.mac).into()
}

async fn send(wire: &mut Wire, body: Body) -> Result<()> {
    let bytes = Frame::from(body).encode_to_vec();
    wire.send(Bytes::from(bytes)).await?;
    Ok(())
}

async fn receive(wire: &mut Wire) -> Result<Body> {
    let bytes = wire.next().await.ok_or(LinkError::Closed)??;
    let frame = Frame::decode(bytes).map_err(|_| LinkError::Protocol)?;
    frame.body.ok_or(LinkError::Protocol)
}

async fn expect_hello(wire: &mut Wire) -> Result<Hello> {
    match receive(wire).await? {
        Body::Hello(hello) if hello.nonce.len() == NONCE => Ok(hello),
        _ => Err(LinkError::Protocol),
    }
}

async fn expect_proof(wire: &mut Wire) -> Result<Proof> {
    match receive(wire).await? {
        Body::Proof(proof) => Ok(proof),
        _ => Err(LinkError::Protocol),
    }
}
