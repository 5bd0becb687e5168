//! Incoming links: one task per link owns its socket.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use medlarrill_core::wire::Frame;
use prost::Message;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::timeout;

use super::handshake::{Opened, answer};
use super::{Event, HANDSHAKE_TIMEOUT, Shared};

/// Handshakes allowed at once; bounds what unauthenticated peers can occupy.
const MAX_HANDSHAKES: usize = 128;
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Size of the length prefix of each message, in bytes.
const LENGTH_PREFIX: usize = 4;

pub(super) async fn listen(listener: TcpListener, shared: Arc<Shared>) {
    let handshakes = Arc::new(Semaphore::new(MAX_HANDSHAKES));
    loop {
        let Ok(permit) = Arc::clone(&handshakes).acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok((socket, _)) => {
                let shared = Arc::clone(&shared);
                tokio::spawn(async move {
                    let opened = open(socket, &shared).await;
                    drop(permit);
                    if let Some(opened) = opened {
                        serve(opened, &shared).await;
                    }
                });
            }
            Err(error) => {
                log::warn!(target: "link", "link: accept failed: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn open(socket: TcpStream, shared: &Shared) -> Option<Opened> {
    let from = socket.peer_addr().ok()?;
    socket.set_nodelay(true).ok()?;
    match timeout(HANDSHAKE_TIMEOUT, answer(socket, &shared.identity)).await {
        Ok(Ok(opened)) => Some(opened),
        Ok(Err(error)) => {
            shared.counts.add_refused();
            log::warn!(target: "link", "link: refused {from}: {error}");
            None
        }
        Err(_) => {
            shared.counts.add_refused();
            log::warn!(target: "link", "link: refused {from}: handshake timed out");
            None
        }
    }
}

async fn serve(opened: Opened, shared: &Shared) {
    let Opened {
        peer,
        address,
        mut stream,
    } = opened;
    shared.record_address(&peer.daemon, address);
    (shared.handler)(Event::Opened(peer.clone()));
    while let Some(read) = stream.next().await {
        let bytes = match read {
            Ok(bytes) => bytes,
            Err(error) => {
                shared.counts.add_malformed();
                log::warn!(target: "link", "link: can't read a frame from {peer}: {error}");
                break;
            }
        };
        let size = bytes.len() + LENGTH_PREFIX;
        let Ok(frame) = Frame::decode(bytes.freeze()) else {
            shared.counts.add_malformed();
            log::warn!(target: "link", "link: can't decode a message from {peer}");
            break;
        };
        // A newer daemon may send message kinds that this one doesn't know.
        let Some(body) = frame.body else {
            shared.counts.add_received("unknown", size);
            continue;
        };
        shared.counts.add_received(body.kind(), size);
        (shared.handler)(Event::Message(peer.clone(), Box::new(body)));
    }
    (shared.handler)(Event::Closed(peer));
}
