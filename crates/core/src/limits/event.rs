//! Events and actions of the account limits at an entry.

use derive_more::Debug;

use crate::clock::Millis;
use crate::ids::{AttemptId, DaemonId};
use crate::reason::Reason;
use crate::wire::{Grant, Usage};

use super::{AccountHash, Daemons, Limits};

/// An event at an entry.
#[derive(Clone, PartialEq)]
#[derive(Debug)]
pub enum Event {
    /// A request asks to be admitted.
    Acquire {
        /// The attempt.
        id: AttemptId,
        /// The account that it counts against.
        account: AccountHash,
        /// The account's limits.
        limits: Limits,
    },
    /// An admitted request has ended, or a held one was cancelled.
    Release {
        /// The attempt.
        id: AttemptId,
    },
    /// An owner has sent a grant.
    Grant {
        /// The owner.
        from: DaemonId,
        /// The message.
        grant: Grant,
    },
    /// The link to an owner was lost, or a message to it couldn't be sent.
    OwnerLost(DaemonId),
    /// The daemons have changed.
    Members(Daemons),
    /// Time has passed; due at [`EntryLimiter::wake`](super::EntryLimiter::wake).
    Tick,
}

/// An action at an entry. Each [`Event::Acquire`] is admitted or refused once, unless released
/// before.
#[derive(Clone, PartialEq)]
#[derive(Debug)]
pub enum Action {
    /// The request is admitted.
    Admit {
        /// The attempt.
        id: AttemptId,
    },
    /// The request is refused and was not run.
    Refuse {
        /// The attempt.
        id: AttemptId,
        /// The limit that was exceeded.
        reason: Reason,
        /// Time after which the caller may retry.
        retry_after: Millis,
    },
    /// Send a usage message to the owner of its accounts, which may be this daemon itself.
    Send {
        /// The owner.
        to: DaemonId,
        /// The message.
        usage: Usage,
    },
}
