//! Typed sender for the messages of one task.

use derive_more::Debug;
use tokio::sync::{mpsc, oneshot};

/// Sends messages to one task. Cheap to clone.
#[derive(Debug)]
pub struct Mailbox<M> {
    #[debug(skip)]
    sender: mpsc::UnboundedSender<M>,
}

impl<M> Clone for Mailbox<M> {
    fn clone(&self) -> Self {
        Self {
            sender: self.sender.clone(),
        }
    }
}

impl<M> Mailbox<M> {
    /// A mailbox and the receiver for its task.
    pub(crate) fn new() -> (Self, mpsc::UnboundedReceiver<M>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Self { sender }, receiver)
    }

    /// Sends a message without waiting; false if the task has ended.
    pub fn send(&self, message: M) -> bool {
        self.sender.send(message).is_ok()
    }

    /// Sends a request and waits for the reply; `None` if the task has ended.
    pub async fn request<T>(&self, make: impl FnOnce(oneshot::Sender<T>) -> M) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        self.send(make(sender));
        receiver.await.ok()
    }
}
