//! Sends to the limits task.

use medlarrill_core::clock::Millis;
use medlarrill_core::ids::{AttemptId, PoolId};
use medlarrill_core::reason::Reason;
use tokio::sync::{mpsc, oneshot};

use super::message::{Ask, Message, Refusal};

/// Sends to the limits task. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Handle {
    sender: mpsc::UnboundedSender<Message>,
}

/// Room of an account, given back when dropped.
#[derive(Debug)]
pub struct Permit {
    handle: Handle,
    id: AttemptId,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.handle.tell(Message::Done(self.id));
    }
}

impl Handle {
    /// A handle and what its task receives from.
    pub(crate) fn new() -> (Self, mpsc::UnboundedReceiver<Message>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Self { sender }, receiver)
    }

    /// Tells the task; false if it has ended.
    pub fn tell(&self, message: Message) -> bool {
        self.sender.send(message).is_ok()
    }

    /// Asks for room of an account.
    ///
    /// # Errors
    ///
    /// When the account's rate or concurrency is used up.
    pub async fn enter(&self, ask: Ask) -> Result<Permit, Refusal> {
        // Made first, so that a caller that goes away gives the room back.
        let permit = Permit {
            handle: self.clone(),
            id: ask.id,
        };
        let (sender, receiver) = oneshot::channel();
        self.tell(Message::Ask(ask, sender));
        let stopped = Refusal {
            reason: Reason::Stopping,
            after: Millis::ZERO,
        };
        receiver.await.unwrap_or(Err(stopped)).map(|()| permit)
    }

    /// Counts a first try of a pool, which pays for a share of a retry.
    pub fn first(&self, pool: PoolId) {
        self.tell(Message::First(pool));
    }

    /// Takes a retry from a pool's budget; false if too much of its work is retries.
    pub async fn spend(&self, pool: PoolId) -> bool {
        let (sender, receiver) = oneshot::channel();
        self.tell(Message::Spend(pool, sender));
        receiver.await.unwrap_or(false)
    }
}
