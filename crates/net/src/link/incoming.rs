//! Links that others dial: one task a link, which owns its socket.

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

/// Links that may be opening at once; strangers can't take more.
const OPENING: usize = 128;
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Bytes of the length before each message.
const LENGTH: usize = 4;

pub(super) async fn listen(listener: TcpListener, shared: Arc<Shared>) {
    let opening = Arc::new(Semaphore::new(OPENING));
    loop {
        let Ok(permit) = Arc::clone(&opening).acquire_owned().await else {
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
                tokio::time::sleep(ACCEPT_PAUSE).await;
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
            log::warn!(target: "link", "link: refused {from}: no proof in time");
            None
        }
    }
}

async fn serve(opened: Opened, shared: &Shared) {
    let Opened {
        peer,
        address,
        mut wire,
    } = opened;
    shared.note_address(&peer.daemon, address);
    (shared.handler)(Event::Opened(peer.clone()));
    while let Some(read) = wire.next().await {
        let bytes = match read {
            Ok(bytes) => bytes,
            Err(error) => {
                shared.counts.add_malformed();
                log::warn!(target: "link", "link: {peer} sent what can't be read: {error}");
                break;
            }
        };
        let size = bytes.len() + LENGTH;
        let Ok(frame) = Frame::decode(bytes.freeze()) else {
            shared.counts.add_malformed();
            log::warn!(target: "link", "link: {peer} sent a message that can't be decoded");
            break;
        };
        // A newer daemon may send kinds that this one doesn't know.
        let Some(body) = frame.body else {
            shared.counts.add_heard("unknown", size);
            continue;
        };
        shared.counts.add_heard(body.kind(), size);
        (shared.handler)(Event::Message(peer.clone(), Box::new(body)));
    }
    (shared.handler)(Event::Closed(peer));
}
