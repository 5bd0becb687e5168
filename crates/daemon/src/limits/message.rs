//! What the limits task is told.

use medlarrill_core::clock::Millis;
use medlarrill_core::ids::{AttemptId, DaemonId, PoolId};
use medlarrill_core::limits::{AccountHash, Limits};
use medlarrill_core::reason::Reason;
use medlarrill_core::wire::{Grant, Usage};
use tokio::sync::oneshot;

/// A request of an account.
#[derive(Clone, Debug)]
pub struct PermitRequest {
    /// Names it.
    pub id: AttemptId,
    /// The account.
    pub account: AccountHash,
    /// The account's limits.
    pub limits: Limits,
}

/// Why an account may not go on, and when to come back.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// When to come back.
    pub retry_after: Millis,
}

/// What the task decides.
pub type Verdict = Result<(), Refusal>;

/// One message.
#[derive(Debug)]
pub enum Message {
    /// A request asks to go on.
    Ask(PermitRequest, oneshot::Sender<Verdict>),
    /// A request has ended, or is no longer wanted.
    Done(AttemptId),
    /// An entry reports to this daemon as owner.
    Usage(DaemonId, Usage),
    /// An owner grants to this daemon as entry.
    Grant(DaemonId, Grant),
    /// A daemon is gone.
    Lost(DaemonId),
    /// A first try of a pool.
    First(PoolId),
    /// A retry of a pool asks to go on.
    Spend(PoolId, oneshot::Sender<bool>),
}
