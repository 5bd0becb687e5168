//! What an entry's accounts are told and ask for.

use derive_more::Debug;

use crate::clock::Millis;
use crate::ids::{AttemptId, DaemonId};
use crate::reason::Reason;
use crate::wire::{Grant, Usage};

use super::{AccountHash, Limits};

/// What an entry is told.
#[derive(Clone, PartialEq)]
#[derive(Debug)]
pub enum Event {
    /// A request asks to go on.
    Acquire {
        /// The try.
        id: AttemptId,
        /// Its account.
        account: AccountHash,
        /// The account's limits.
        limits: Limits,
    },
    /// An admitted request has ended, or a held one was cancelled.
    Release {
        /// The try.
        id: AttemptId,
    },
    /// An owner has sent a grant.
    Grant {
        /// Who sent it.
        from: DaemonId,
        /// What it says.
        grant: Grant,
    },
    /// The link to an owner was lost, or a message to it couldn't be sent.
    OwnerLost(DaemonId),
    /// The live daemons have changed.
    Members {
        /// How many there are.
        live: u32,
    },
    /// Time has passed; wanted by [`Accounts::wake`](super::EntryLimiter::wake).
    Tick,
}

/// What an entry asks for. Each ask is admitted or refused once, unless it is done before.
#[derive(Clone, PartialEq)]
#[derive(Debug)]
pub enum Action {
    /// The request may go on.
    Admit {
        /// The try.
        id: AttemptId,
    },
    /// The request was not run.
    Refuse {
        /// The try.
        id: AttemptId,
        /// Why.
        reason: Reason,
        /// When to come back.
        retry_after: Millis,
    },
    /// Send to the owner of these accounts, which may be this daemon itself.
    Send {
        /// The owner.
        to: DaemonId,
        /// What to send.
        usage: Usage,
    },
}
