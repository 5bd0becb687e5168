//! Tickets as sent to callers, and events, actions and limits of [`Tickets`](super::Tickets).

use std::str::FromStr;

use derive_more::{Debug, Display, Error};
use serde_with::{DeserializeFromStr, SerializeDisplay};

use crate::claims::answer_cache::{CacheLimits, CachedAnswer};
use crate::claims::claimant::RunOutcome;
use crate::claims::hash::Digest;
use crate::clock::Millis;
use crate::ids::{AccountId, DaemonId, Incarnation, InstitutionId, RequestId};
use crate::reason::Reason;

/// Result of parsing a ticket.
pub type Result<T> = std::result::Result<T, TicketError>;

/// A text that isn't a valid ticket.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug, Display, Error)]
#[display("`{text}` is no ticket: it is daemon, incarnation, number and expiry, parted by colons")]
pub struct TicketError {
    /// The text as given.
    text: String,
}

/// A ticket as sent to the caller, who sends it back with the request.
#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(Debug, Display, SerializeDisplay, DeserializeFromStr)]
#[debug("{daemon}:{incarnation}:{number}:{}", expiry.0)]
#[display("{daemon}:{incarnation}:{number}:{}", expiry.0)]
pub struct Ticket {
    /// Name of the daemon that issued the ticket.
    pub daemon: DaemonId,
    /// Incarnation of the process that issued the ticket; no other may run it.
    pub incarnation: Incarnation,
    /// Number of the ticket in that process.
    pub number: u64,
    /// Wall time at which the ticket expires, for information; the process decides by its own state.
    pub expiry: Millis,
}

impl FromStr for Ticket {
    type Err = TicketError;

    fn from_str(text: &str) -> Result<Self> {
        read_ticket(text).ok_or_else(|| TicketError { text: text.into() })
    }
}

fn read_ticket(text: &str) -> Option<Ticket> {
    let mut fields = text.split(':');
    let ticket = Ticket {
        daemon: fields.next()?.parse().ok()?,
        incarnation: fields.next()?.parse().ok()?,
        number: fields.next()?.parse().ok()?,
        expiry: Millis(fields.next()?.parse().ok()?),
    };
    fields.next().is_none().then_some(ticket)
}

/// The client account that a ticket was issued to.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Debug)]
pub struct TicketHolder {
    /// The institution of the account.
    pub institution: InstitutionId,
    /// The client account.
    pub account: AccountId,
}

/// A request with a ticket.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub struct Redemption {
    /// Identifier of the request, which must be unique.
    pub request: RequestId,
    /// The ticket sent with the request.
    pub ticket: Ticket,
    /// The account that sends the request.
    pub holder: TicketHolder,
    /// Digest of method, path and body.
    pub digest: Digest,
}

/// Input of the state machine.
#[derive(Clone, PartialEq)]
#[derive(Debug)]
pub enum TicketEvent {
    /// Time has passed.
    Tick,
    /// A caller requests a ticket.
    Issue {
        /// Identifier of the caller's request.
        request: RequestId,
        /// The account that requests it.
        holder: TicketHolder,
        /// Current wall time.
        wall: Millis,
    },
    /// A request with a ticket was received.
    Redeem(Redemption),
    /// A dispatched request ended.
    Ended {
        /// Identifier of the request.
        request: RequestId,
        /// How it ended.
        end: RunOutcome,
    },
    /// The daemon stops: no more tickets are issued or run.
    Stop,
}

/// Output of the state machine, carried out by the driver.
#[derive(Clone, PartialEq)]
#[derive(Debug)]
pub enum TicketAction {
    /// Send the ticket to the caller.
    Issued {
        /// Identifier of the caller's request.
        request: RequestId,
        /// The issued ticket.
        ticket: Ticket,
    },
    /// Run the request, then report [`TicketEvent::Ended`].
    Dispatch {
        /// Identifier of the request.
        request: RequestId,
    },
    /// Refuse the request.
    Refuse {
        /// Identifier of the request.
        request: RequestId,
        /// Why it is refused.
        reason: Reason,
    },
    /// Answer the request with the cached answer of the earlier one with this ticket.
    Replay {
        /// Identifier of the request.
        request: RequestId,
        /// The cached answer.
        answer: CachedAnswer,
    },
}

/// Timing and size limits of [`Tickets`](super::Tickets).
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub struct TicketLimits {
    /// How long an unused ticket is valid.
    pub lifetime: Millis,
    /// How long a used ticket is kept after its request has ended.
    pub retention: Millis,
    /// Largest number of tickets in memory.
    pub max_tickets: usize,
    /// Largest number of unused tickets of one account.
    pub max_unused: u32,
    /// Bounds of the cache of answers.
    pub answers: CacheLimits,
}

impl Default for TicketLimits {
    fn default() -> Self {
        Self {
            lifetime: Millis::from_secs(600),
            retention: Millis::from_secs(3600),
            max_tickets: 20_000,
            max_unused: 1000,
            answers: CacheLimits::default(),
        }
    }
}
