//! Sends to the limits task.

use medlarrill_core::clock::Millis;
use medlarrill_core::ids::{AttemptId, PoolId};
use medlarrill_core::reason::Reason;

use super::message::{Message, PermitRequest, Refusal};
use crate::mailbox::Mailbox;

/// Sends to the limits task.
pub type Handle = Mailbox<Message>;

/// Room of an account, given back when dropped.
#[derive(Debug)]
pub struct Permit {
    handle: Handle,
    id: AttemptId,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.handle.send(Message::Done(self.id));
    }
}

impl Handle {
    /// Asks for room of an account.
    ///
    /// # Errors
    ///
    /// When the account's rate or concurrency is used up.
    pub async fn acquire(&self, ask: PermitRequest) -> Result<Permit, Refusal> {
        // Made first, so that a caller that goes away gives the room back.
        let permit = Permit {
            handle: self.clone(),
            id: ask.id,
        };
        let verdict = self.request(|sender| Message::Ask(ask, sender)).await;
        let stopped = Refusal {
            reason: Reason::Stopping,
            retry_after: Millis::ZERO,
        };
        verdict.unwrap_or(Err(stopped)).map(|()| permit)
    }

    /// Counts a first try of a pool, which pays for a share of a retry.
    pub fn record_attempt(&self, pool: PoolId) {
        self.send(Message::First(pool));
    }

    /// Takes a retry from a pool's budget; false if too much of its work is retries.
    pub async fn take_retry(&self, pool: PoolId) -> bool {
        let spent = self.request(|sender| Message::Spend(pool, sender)).await;
        spent.unwrap_or(false)
    }
}
