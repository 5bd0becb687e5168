//! Tickets as callers see them, and events, actions and limits of their machine.

use std::str::FromStr;

use derive_more::{Debug, Display, Error};
use serde_with::{DeserializeFromStr, SerializeDisplay};

use crate::claims::answer_cache::{CacheLimits, CachedAnswer};
use crate::claims::claimant::RunOutcome;
use crate::claims::hash::Digest;
use crate::clock::Millis;
use crate::ids::{AccountId, DaemonId, Incarnation, InstitutionId, RequestId};
use crate::reason::Reason;

/// Result of reading a ticket.
pub type Result<T> = std::result::Result<T, TicketError>;

/// A text that is no ticket.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug, Display, Error)]
#[display("`{text}` is no ticket: it is daemon, incarnation, number and expiry, parted by colons")]
pub struct TicketError {
    /// The text as given.
    text: String,
}

/// What a caller gets and sends back.
#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(Debug, Display, SerializeDisplay, DeserializeFromStr)]
#[debug("{daemon}:{incarnation}:{number}:{}", expiry.0)]
#[display("{daemon}:{incarnation}:{number}:{}", expiry.0)]
pub struct Ticket {
    /// The daemon that issued it.
    pub daemon: DaemonId,
    /// The process that issued it, which alone may run it.
    pub incarnation: Incarnation,
    /// Its number at that process.
    pub number: u64,
    /// When it can no longer be used, in wall time; the process goes by its own memory.
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

/// Whom a ticket was issued to.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Debug)]
pub struct TicketHolder {
    /// The institution.
    pub institution: InstitutionId,
    /// Its account.
    pub account: AccountId,
}

/// A request that comes with a ticket.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub struct Redemption {
    /// The request; never used twice.
    pub request: RequestId,
    /// The ticket.
    pub ticket: Ticket,
    /// Who sends it.
    pub holder: TicketHolder,
    /// What it asks for.
    pub digest: Digest,
}

/// What the machine is told.
#[derive(Clone, PartialEq)]
#[derive(Debug)]
pub enum TicketEvent {
    /// Time has passed.
    Tick,
    /// A caller wants a ticket.
    Issue {
        /// The caller's request.
        request: RequestId,
        /// Who asks.
        holder: TicketHolder,
        /// Wall time.
        wall: Millis,
    },
    /// A request came with a ticket.
    Redeem(Redemption),
    /// A dispatched request ended.
    Ended {
        /// The request.
        request: RequestId,
        /// How.
        end: RunOutcome,
    },
    /// The daemon stops: no ticket is issued or run from now on.
    Stop,
}

/// What the machine wants done.
#[derive(Clone, PartialEq)]
#[derive(Debug)]
pub enum TicketAction {
    /// Give the caller its ticket.
    Issued {
        /// The caller's request.
        request: RequestId,
        /// The ticket.
        ticket: Ticket,
    },
    /// Run the request; it ends with [`TicketEvent::Ended`].
    Dispatch {
        /// The request.
        request: RequestId,
    },
    /// Refuse the request.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why.
        reason: Reason,
    },
    /// Answer as the earlier request with this ticket was.
    Replay {
        /// The request.
        request: RequestId,
        /// The answer.
        answer: CachedAnswer,
    },
}

/// Times and sizes of the machine.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub struct TicketLimits {
    /// How long a ticket can be used.
    pub lifetime: Millis,
    /// How long it is remembered that a ticket ran.
    pub retention: Millis,
    /// Most tickets in memory.
    pub max_tickets: usize,
    /// Most unused tickets of one account.
    pub max_unused: u32,
    /// Answers that are kept.
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
