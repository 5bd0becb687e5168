//! Links that this daemon dials: one task a link, which owns its socket.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use medlarrill_core::wire::{Body, Frame};
use prost::Message;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::sync::{Mutex, mpsc};
use tokio::time::{Instant, timeout};

use super::handshake::{Opened, Wire, dial};
use super::{
    Event, HANDSHAKE_TIMEOUT, LinkError, PeerId, QUEUE, REDIAL_AFTER, Result, SILENCE, Shared,
};

const LENGTH: usize = 4;

/// An open link to one process.
#[derive(Clone)]
pub struct Link {
    /// Who answered.
    pub peer: PeerId,
    sender: mpsc::Sender<Body>,
}

impl Link {
    /// Queues a message, waiting for room.
    ///
    /// # Errors
    ///
    /// When the link is closed; then this message was not sent.
    pub async fn send(&self, body: Body) -> Result<()> {
        self.sender.send(body).await.map_err(|_| LinkError::Closed)
    }

    /// Queues a message if there is room now.
    ///
    /// # Errors
    ///
    /// When the link is closed or its queue is full; then it was not sent.
    pub fn try_send(&self, body: Body) -> Result<()> {
        self.sender.try_send(body).map_err(|error| match error {
            mpsc::error::TrySendError::Full(_) => LinkError::Full,
            mpsc::error::TrySendError::Closed(_) => LinkError::Closed,
        })
    }

    /// Whether the link is still open.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }
}

/// The place for the link to one address.
#[derive(Default)]
pub(super) struct Slot {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    link: Option<Link>,
    failed: Option<Instant>,
}

impl Slot {
    pub(super) async fn link(&self, shared: &Arc<Shared>, address: SocketAddr) -> Result<Link> {
        let mut state = self.state.lock().await;
        if let Some(link) = state.usable() {
            return Ok(link);
        }
        if state.resting() {
            return Err(LinkError::Resting);
        }
        match open(shared, address).await {
            Ok(link) => {
                state.link = Some(link.clone());
                state.failed = None;
                Ok(link)
            }
            Err(error) => {
                state.link = None;
                state.failed = Some(Instant::now());
                log::debug!(target: "link", "link: to {address}: {error}");
                if error.is_refusal() {
                    (shared.handler)(Event::Refused(address));
                }
                Err(error)
            }
        }
    }
}

impl State {
    fn usable(&self) -> Option<Link> {
        self.link.clone().filter(Link::is_open)
    }

    fn resting(&self) -> bool {
        let recent = |failed: Instant| failed.elapsed() < REDIAL_AFTER;
        self.failed.is_some_and(recent)
    }
}

async fn open(shared: &Arc<Shared>, address: SocketAddr) -> Result<Link> {
    let dialled = timeout(HANDSHAKE_TIMEOUT, connect(shared, address));
    let Opened { peer, wire, .. } = dialled.await.map_err(|_| LinkError::Timeout)??;
    let (sender, receiver) = mpsc::channel(QUEUE);
    let link = Link {
        peer: peer.clone(),
        sender,
    };
    (shared.handler)(Event::Opened(peer.clone()));
    tokio::spawn(write(peer, wire, receiver, Arc::clone(shared)));
    Ok(link)
}

async fn connect(shared: &Shared, address: SocketAddr) -> Result<Opened> {
    let socket = TcpStream::connect(address).await?;
    socket.set_nodelay(true)?;
    let raw = SockRef::from(&socket);
    raw.set_tcp_user_timeout(Some(SILENCE))?;
    raw.set_tcp_keepalive(
        &TcpKeepalive::new()
            .with_time(SILENCE)
            .with_interval(SILENCE),
    )?;
    dial(socket, &shared.identity).await
}

async fn write(
    peer: PeerId,
    mut wire: Wire,
    mut receiver: mpsc::Receiver<Body>,
    shared: Arc<Shared>,
) {
    loop {
        tokio::select! {
            // The other side never sends on this link, so any read is its end.
            _ = wire.next() => break,
            body = receiver.recv() => {
                let Some(body) = body else { break };
                if write_batch(&mut wire, body, &mut receiver, &shared).await.is_err() {
                    break;
                }
            }
        }
    }
    drop(receiver);
    log::debug!(target: "link", "link: to {peer} closed");
    (shared.handler)(Event::Closed(peer));
}

/// Writes what is queued in one go, so that many small messages cost one call.
async fn write_batch(
    wire: &mut Wire,
    first: Body,
    receiver: &mut mpsc::Receiver<Body>,
    shared: &Shared,
) -> Result<()> {
    wire.feed(encode(first, shared)).await?;
    while let Ok(body) = receiver.try_recv() {
        wire.feed(encode(body, shared)).await?;
    }
    SinkExt::<Bytes>::flush(wire).await?;
    Ok(())
}

fn encode(body: Body, shared: &Shared) -> Bytes {
    let kind = body.kind();
    let bytes = Frame::from(body).encode_to_vec();
    shared.counts.add_sent(kind, bytes.len() + LENGTH);
    bytes.into()
}
