//! Record of the outcomes of a process's claims and tickets, written at a graceful shutdown.
//!
//! It is one object, written after the last request has ended. Numbers that
//! it does not list were never sent to an endpoint.

use bytes::Bytes;
use prost::Message;

use crate::claims::record::{RecordError, Result};
use crate::clock::Millis;
use crate::config::Config;
use crate::ids::Incarnation;
use crate::outcome::Outcome;

/// Common prefix of the names of shutdown records.
pub const SHUTDOWN_PREFIX: &str = "farewell/";

/// Least time for which a record is kept.
const MIN_RETENTION: Millis = Millis::from_secs(7 * 86_400);
/// Time for which it is kept beyond the longest lifetime of a key; clocks may differ.
const RETENTION_MARGIN: Millis = Millis::from_secs(86_400);

/// How long a shutdown record is kept: longer than any key that it answers for.
pub fn shutdown_retention(config: &Config) -> Millis {
    let institutions = config.institutions.values();
    let longest = institutions.map(|institution| institution.contract.key_lifetime);
    let longest = longest.max().unwrap_or(Millis::ZERO);
    MIN_RETENTION.max(longest + RETENTION_MARGIN)
}

/// Outcomes of a process's claims and tickets.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct ShutdownRecord {
    /// Incarnation of the process.
    #[prost(fixed64, tag = "1")]
    pub writer: u64,
    /// Outcomes of its claims.
    #[prost(message, optional, tag = "2")]
    pub claims: Option<NumberOutcomes>,
    /// Outcomes of its tickets.
    #[prost(message, optional, tag = "3")]
    pub tickets: Option<NumberOutcomes>,
    /// When the object may be deleted, in milliseconds of wall time.
    #[prost(uint64, tag = "4")]
    pub expiry: u64,
}

/// Outcomes of consecutively issued numbers.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct NumberOutcomes {
    /// The first number that was never issued.
    #[prost(uint64, tag = "1")]
    pub next: u64,
    /// The outcomes of numbers up to this one are unknown.
    #[prost(uint64, tag = "2")]
    pub forgotten: u64,
    /// Numbers whose requests ran.
    #[prost(uint64, repeated, tag = "3")]
    pub ran: Vec<u64>,
    /// Numbers whose requests may have run.
    #[prost(uint64, repeated, tag = "4")]
    pub unknown: Vec<u64>,
}

impl NumberOutcomes {
    /// The outcome of a number.
    pub fn outcome(&self, number: u64) -> Outcome {
        if self.ran.contains(&number) {
            return Outcome::Ran;
        }
        if number <= self.forgotten || number >= self.next || self.unknown.contains(&number) {
            return Outcome::Unknown;
        }
        Outcome::NotRun
    }

    /// Whether no number was issued.
    pub const fn is_empty(&self) -> bool {
        self.next <= 1
    }
}

impl ShutdownRecord {
    /// A record of process `writer` that is kept until wall time `expiry`.
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

    /// Whether the process issued no numbers, so that no record is needed.
    pub fn is_empty(&self) -> bool {
        let all = self.claims.iter().chain(&self.tickets);
        all.into_iter().all(NumberOutcomes::is_empty)
    }

    /// The object name of a process's record.
    pub fn object_key(incarnation: Incarnation) -> String {
        format!("{SHUTDOWN_PREFIX}{incarnation}")
    }

    /// Decodes a record.
    pub fn read(bytes: Bytes) -> Result<Self> {
        Self::decode(bytes).map_err(|e| RecordError::Coding(e.to_string()))
    }

    /// Encodes the record.
    pub fn to_bytes(&self) -> Bytes {
        self.encode_to_vec().into()
    }

    /// The outcome of a claim.
    pub fn claim(&self, number: u64) -> Outcome {
        let outcomes = self.claims.as_ref();
        outcomes.map_or(Outcome::Unknown, |outcomes| outcomes.outcome(number))
    }

    /// The outcome of a ticket.
    pub fn ticket(&self, number: u64) -> Outcome {
        let outcomes = self.tickets.as_ref();
        outcomes.map_or(Outcome::Unknown, |outcomes| outcomes.outcome(number))
    }
}
