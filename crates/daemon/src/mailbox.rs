//! The way to send to a task.

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
    /// A mailbox and what its task receives from.
    pub(crate) fn new() -> (Self, mpsc::UnboundedReceiver<M>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Self { sender }, receiver)
    }

    /// Tells the task; false if it has ended.
    pub fn send(&self, message: M) -> bool {
        self.sender.send(message).is_ok()
    }

    /// Asks the task; `None` if it has ended.
    pub async fn request<T>(&self, question: impl FnOnce(oneshot::Sender<T>) -> M) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        self.send(question(sender));
        receiver.await.ok()
    }
}
