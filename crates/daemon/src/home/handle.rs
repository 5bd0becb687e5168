//! The handle by which other tasks reach the home task.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use medlarrill_core::clock::Millis;
use medlarrill_core::ids::DaemonId;
use medlarrill_core::wire::{
    Cancel, Credit, DirectoryTransfer, Forward, Placed, PoolLoad, StateQuery,
};
use medlarrill_net::link::PeerId;
use tokio::sync::{mpsc, oneshot};

use super::message::Message;
use super::show::EndpointRow;

/// Sends messages to the home task. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Handle {
    sender: mpsc::UnboundedSender<Message>,
    held: Arc<AtomicUsize>,
    moving: Arc<AtomicUsize>,
}

impl Handle {
    /// A handle and the receiver of its task.
    pub(crate) fn new() -> (Self, mpsc::UnboundedReceiver<Message>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        let handle = Self {
            sender,
            held: Arc::default(),
            moving: Arc::default(),
        };
        (handle, receiver)
    }

    /// Offers a request; false if the task has ended.
    pub fn offer(&self, from: PeerId, forward: Forward) -> bool {
        self.send(Message::Offer(from, Box::new(forward)))
    }

    /// Adds credit for more of an answer; false if the task has ended.
    pub fn credit(&self, from: PeerId, credit: Credit) -> bool {
        self.send(Message::Credit(from, credit))
    }

    /// Cancels a request; false if the task has ended.
    pub fn cancel(&self, from: PeerId, cancel: Cancel) -> bool {
        self.send(Message::Cancel(from, cancel))
    }

    /// Records where a chat was served; false if the task has ended.
    pub fn placed(&self, placed: Placed) -> bool {
        self.send(Message::Placed(placed))
    }

    /// Takes over directory entries from another daemon; false if the task has ended.
    pub fn moved(&self, moved: DirectoryTransfer) -> bool {
        self.send(Message::Moved(moved))
    }

    /// Reports that a peer process is lost.
    pub fn peer_lost(&self, peer: PeerId) {
        self.send(Message::PeerLost(peer));
    }

    /// Reports the load of the endpoints that a peer is home of.
    pub fn load_received(&self, from: DaemonId, at: Millis, pools: Vec<PoolLoad>) {
        self.send(Message::LoadReceived(from, at, pools));
    }

    /// The state of all configured endpoints; empty if the task has ended.
    pub async fn show(&self) -> Vec<EndpointRow> {
        let (sender, receiver) = oneshot::channel();
        self.send(Message::Show(sender));
        receiver.await.unwrap_or_default()
    }

    /// Requests the state of endpoints for another daemon; false if the task has ended.
    pub fn state_requested(&self, from: PeerId, ask: StateQuery) -> bool {
        self.send(Message::StateRequested(from, ask))
    }

    /// Number of requests at this home, waiting or dispatched.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Number of directory entries that are still to be examined for a move.
    pub fn moving(&self) -> usize {
        self.moving.load(Ordering::Relaxed)
    }

    pub(super) fn set_moving(&self, moving: usize) {
        self.moving.store(moving, Ordering::Relaxed);
    }

    pub(super) fn set_held(&self, held: usize) {
        self.held.store(held, Ordering::Relaxed);
    }

    pub(super) fn send(&self, message: Message) -> bool {
        self.sender.send(message).is_ok()
    }
}
