//! Outgoing links: one task per link owns its socket.

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

use super::handshake::{FramedStream, Opened, dial};
use super::{
    ACK_TIMEOUT, Event, HANDSHAKE_TIMEOUT, LinkError, PeerId, QUEUE_LEN, REDIAL_DELAY, Result,
    Shared,
};

/// Size of the length prefix of each message, in bytes.
const LENGTH_PREFIX: usize = 4;

/// Sending half of a link to one process. Cheap to clone.
#[derive(Clone)]
pub struct Link {
    /// The peer that accepted the link.
    pub peer: PeerId,
    sender: mpsc::Sender<Body>,
}

impl Link {
    /// Queues a message; waits while the queue is full.
    ///
    /// # Errors
    ///
    /// When the link is closed; the message was not sent.
    pub async fn send(&self, body: Body) -> Result<()> {
        self.sender.send(body).await.map_err(|_| LinkError::Closed)
    }

    /// Queues a message without waiting.
    ///
    /// # Errors
    ///
    /// When the link is closed or its queue is full; the message was not sent.
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

/// The link to one address, or the time of the last failed dial.
#[derive(Default)]
pub(super) struct Slot {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    link: Option<Link>,
    failed_at: Option<Instant>,
}

impl Slot {
    pub(super) async fn link(&self, shared: &Arc<Shared>, address: SocketAddr) -> Result<Link> {
        let mut state = self.state.lock().await;
        if let Some(link) = state.usable() {
            return Ok(link);
        }
        if state.is_backing_off() {
            return Err(LinkError::Resting);
        }
        match open(shared, address).await {
            Ok(link) => {
                state.link = Some(link.clone());
                state.failed_at = None;
                Ok(link)
            }
            Err(error) => {
                state.link = None;
                state.failed_at = Some(Instant::now());
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

    fn is_backing_off(&self) -> bool {
        let recent = |failed_at: Instant| failed_at.elapsed() < REDIAL_DELAY;
        self.failed_at.is_some_and(recent)
    }
}

async fn open(shared: &Arc<Shared>, address: SocketAddr) -> Result<Link> {
    let dialled = timeout(HANDSHAKE_TIMEOUT, connect(shared, address));
    let Opened { peer, stream, .. } = dialled.await.map_err(|_| LinkError::Timeout)??;
    let (sender, receiver) = mpsc::channel(QUEUE_LEN);
    let link = Link {
        peer: peer.clone(),
        sender,
    };
    (shared.handler)(Event::Opened(peer.clone()));
    tokio::spawn(write(peer, stream, receiver, Arc::clone(shared)));
    Ok(link)
}

async fn connect(shared: &Shared, address: SocketAddr) -> Result<Opened> {
    let socket = TcpStream::connect(address).await?;
    socket.set_nodelay(true)?;
    let raw = SockRef::from(&socket);
    raw.set_tcp_user_timeout(Some(ACK_TIMEOUT))?;
    raw.set_tcp_keepalive(
        &TcpKeepalive::new()
            .with_time(ACK_TIMEOUT)
            .with_interval(ACK_TIMEOUT),
    )?;
    dial(socket, &shared.identity).await
}

async fn write(
    peer: PeerId,
    mut stream: FramedStream,
    mut receiver: mpsc::Receiver<Body>,
    shared: Arc<Shared>,
) {
    loop {
        tokio::select! {
            // The peer never sends on this link, so a completed read means that it closed.
            _ = stream.next() => break,
            body = receiver.recv() => {
                let Some(body) = body else { break };
                if write_batch(&mut stream, body, &mut receiver, &shared).await.is_err() {
                    break;
                }
            }
        }
    }
    drop(receiver);
    log::debug!(target: "link", "link: to {peer} closed");
    (shared.handler)(Event::Closed(peer));
}

/// Writes all queued messages with one flush, which saves system calls.
async fn write_batch(
    stream: &mut FramedStream,
    first: Body,
    receiver: &mut mpsc::Receiver<Body>,
    shared: &Shared,
) -> Result<()> {
    stream.feed(encode(first, shared)).await?;
    while let Ok(body) = receiver.try_recv() {
        stream.feed(encode(body, shared)).await?;
    }
    SinkExt::<Bytes>::flush(stream).await?;
    Ok(())
}

fn encode(body: Body, shared: &Shared) -> Bytes {
    let kind = body.kind();
    let bytes = Frame::from(body).encode_to_vec();
    shared.counts.add_sent(kind, bytes.len() + LENGTH_PREFIX);
    bytes.into()
}
