//! The handle by which requests reach the limits task.

use medlarrill_core::clock::Millis;
use medlarrill_core::ids::{AttemptId, PoolId};
use medlarrill_core::reason::Reason;

use super::message::{Message, PermitRequest, Refusal};
use crate::mailbox::Mailbox;

/// Sends messages to the limits task. Cheap to clone.
pub type Handle = Mailbox<Message>;

/// Permission to run a request within its account's limits; released when dropped.
#[derive(Debug)]
pub struct Permit {
    handle: Handle,
    id: AttemptId,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.handle.send(Message::Release(self.id));
    }
}

impl Handle {
    /// Acquires a permit within an account's limits.
    ///
    /// # Errors
    ///
    /// When the account's rate or concurrency is used up.
    pub async fn acquire(&self, request: PermitRequest) -> Result<Permit, Refusal> {
        // Created first, so that a caller that goes away releases the permit.
        let permit = Permit {
            handle: self.clone(),
            id: request.id,
        };
        let decision = self
            .request(|sender| Message::Acquire(request, sender))
            .await;
        let stopped = Refusal {
            reason: Reason::Stopping,
            retry_after: Millis::ZERO,
        };
        decision.unwrap_or(Err(stopped)).map(|()| permit)
    }

    /// Records a first attempt in a pool, which adds a fraction of a retry to its budget.
    pub fn record_attempt(&self, pool: PoolId) {
        self.send(Message::FirstAttempt(pool));
    }

    /// Takes a retry from a pool's budget; false if the budget is exhausted.
    pub async fn take_retry(&self, pool: PoolId) -> bool {
        let taken = self
            .request(|sender| Message::TakeRetry(pool, sender))
            .await;
        taken.unwrap_or(false)
    }
}
