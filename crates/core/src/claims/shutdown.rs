//! The last word of a process that stops in order: what ran of its claims and tickets.
//!
//! It is one object, written after the last request has ended. Numbers that
//! it does not name were never sent to an endpoint.

use bytes::Bytes;
use prost::Message;

use crate::claims::record::{RecordError, Result};
use crate::clock::Millis;
use crate::ids::Incarnation;
use crate::outcome::Outcome;

/// Start of the names of all these objects.
pub const SHUTDOWN_PREFIX: &str = "farewell/";

/// What became of a process's claims and tickets.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct ShutdownRecord {
    /// The process.
    #[prost(fixed64, tag = "1")]
    pub writer: u64,
    /// Its claims.
    #[prost(message, optional, tag = "2")]
    pub claims: Option<NumberOutcomes>,
    /// Its tickets.
    #[prost(message, optional, tag = "3")]
    pub tickets: Option<NumberOutcomes>,
    /// When the object is of no more use, in milliseconds of wall time.
    #[prost(uint64, tag = "4")]
    pub expiry: u64,
}

/// What became of numbers handed out in order.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct NumberOutcomes {
    /// The first number never handed out.
    #[prost(uint64, tag = "1")]
    pub next: u64,
    /// Nothing is known of numbers up to this one.
    #[prost(uint64, tag = "2")]
    pub forgotten: u64,
    /// Numbers that ran.
    #[prost(uint64, repeated, tag = "3")]
    pub ran: Vec<u64>,
    /// Numbers that may have run.
    #[prost(uint64, repeated, tag = "4")]
    pub unknown: Vec<u64>,
}

impl NumberOutcomes {
    /// What became of a number.
    pub fn outcome(&self, number: u64) -> Outcome {
        if self.ran.contains(&number) {
            return Outcome::Ran;
        }
        if number <= self.forgotten || number >= self.next || self.unknown.contains(&number) {
            return Outcome::Unknown;
        }
        Outcome::NotRun
    }

    /// Whether nothing that is known of the numbers is worth keeping.
    pub const fn is_empty(&self) -> bool {
        self.next <= 1
    }
}

impl ShutdownRecord {
    /// The last word of a process, of use until wall time `expiry`.
    pub const fn new(
        writer: Incarnation,
        claims: Option<NumberOutcomes>,
        tickets: Option<NumberOutcomes>,
        expiry: Millis,
    ) -> Self {
        Self {
            writer: writer.0,
            claims,
            tickets,
            expiry: expiry.0,
        }
    }

    /// Whether there is anything to say.
    pub fn is_empty(&self) -> bool {
        let accounts = self.claims.iter().chain(&self.tickets);
        accounts.into_iter().all(NumberOutcomes::is_empty)
    }

    /// The name of a process's object.
    pub fn object_key(incarnation: Incarnation) -> String {
        format!("{SHUTDOWN_PREFIX}{incarnation}")
    }

    /// Reads an object.
    pub fn read(bytes: Bytes) -> Result<Self> {
        Self::decode(bytes).map_err(|e| RecordError::Coding(e.to_string()))
    }

    /// The bytes of the object.
    pub fn to_bytes(&self) -> Bytes {
        self.encode_to_vec().into()
    }

    /// What became of a claim.
    pub fn claim(&self, number: u64) -> Outcome {
        let account = self.claims.as_ref();
        account.map_or(Outcome::Unknown, |account| account.outcome(number))
    }

    /// What became of a ticket.
    pub fn ticket(&self, number: u64) -> Outcome {
        let account = self.tickets.as_ref();
        account.map_or(Outcome::Unknown, |account| account.outcome(number))
    }
}
