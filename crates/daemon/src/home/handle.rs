//! Sends to the home task.

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

/// Sends to the home task. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Handle {
    sender: mpsc::UnboundedSender<Message>,
    held: Arc<AtomicUsize>,
    moving: Arc<AtomicUsize>,
}

impl Handle {
    /// A handle and what its task receives from.
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

    /// Gives room for more of an answer; false if the task has ended.
    pub fn credit(&self, from: PeerId, credit: Credit) -> bool {
        self.send(Message::Credit(from, credit))
    }

    /// Cancels a request; false if the task has ended.
    pub fn cancel(&self, from: PeerId, cancel: Cancel) -> bool {
        self.send(Message::Cancel(from, cancel))
    }

    /// Notes where a chat was served; false if the task has ended.
    pub fn placed(&self, placed: Placed) -> bool {
        self.send(Message::Placed(placed))
    }

    /// Hands over directory entries; false if the task has ended.
    pub fn moved(&self, moved: DirectoryTransfer) -> bool {
        self.send(Message::Moved(moved))
    }

    /// Tells that a peer process is gone.
    pub fn peer_lost(&self, peer: PeerId) {
        self.send(Message::PeerLost(peer));
    }

    /// Tells the load of the endpoints that a peer is home of.
    pub fn load_heard(&self, from: DaemonId, at: Millis, pools: Vec<PoolLoad>) {
        self.send(Message::LoadHeard(from, at, pools));
    }

    /// What is known of endpoints; none if the task has ended.
    pub async fn show(&self) -> Vec<EndpointRow> {
        let (sender, receiver) = oneshot::channel();
        self.send(Message::Show(sender));
        receiver.await.unwrap_or_default()
    }

    /// Asks for the state of endpoints on another daemon's behalf; false if the task has ended.
    pub fn state_asked(&self, from: PeerId, ask: StateQuery) -> bool {
        self.send(Message::StateAsked(from, ask))
    }

    /// Requests that the home holds.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Directory entries that may have to move yet.
    pub fn moving(&self) -> usize {
        self.moving.load(Ordering::Relaxed)
    }

    pub(super) fn note_moving(&self, moving: usize) {
        self.moving.store(moving, Ordering::Relaxed);
    }

    pub(super) fn note_held(&self, held: usize) {
        self.held.store(held, Ordering::Relaxed);
    }

    pub(super) fn send(&self, message: Message) -> bool {
        self.sender.send(message).is_ok()
    }
}
