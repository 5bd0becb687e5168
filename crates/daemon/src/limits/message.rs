//! Messages to the limits task.

use medlarrill_core::clock::Millis;
use medlarrill_core::ids::{AttemptId, DaemonId, PoolId};
use medlarrill_core::limits::{AccountHash, Limits};
use medlarrill_core::reason::Reason;
use medlarrill_core::wire::{Grant, Usage};
use tokio::sync::oneshot;

/// A request for a permit.
#[derive(Clone, Debug)]
pub struct PermitRequest {
    /// Identifies the request.
    pub id: AttemptId,
    /// The account.
    pub account: AccountHash,
    /// The account's limits.
    pub limits: Limits,
}

/// Why a permit is refused, and when to retry.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// Time to wait before a retry.
    pub retry_after: Millis,
}

/// Decision on a request for a permit.
pub type Decision = Result<(), Refusal>;

/// A message to the limits task.
#[derive(Debug)]
pub enum Message {
    /// Asks for a permit.
    Acquire(PermitRequest, oneshot::Sender<Decision>),
    /// Releases a permit, or withdraws the request for it.
    Release(AttemptId),
    /// An entry reports its usage to this daemon as owner.
    Usage(DaemonId, Usage),
    /// An owner grants shares to this daemon as entry.
    Grant(DaemonId, Grant),
    /// The link to a daemon is closed, or a message could not be sent to it.
    DaemonLost(DaemonId),
    /// A first attempt in a pool.
    FirstAttempt(PoolId),
    /// Takes a retry from a pool's budget.
    TakeRetry(PoolId, oneshot::Sender<bool>),
}
