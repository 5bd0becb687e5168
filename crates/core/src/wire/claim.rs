//! The right to run a non-idempotent request, and what became of it.

use bytes::Bytes;
use prost::Message;

/// Asks for the right to run a key.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct ClaimRequest {
    /// Number of the question, for its answer.
    #[prost(uint64, tag = "1")]
    pub ask: u64,
    /// Hash of institution and key, 32 bytes.
    #[prost(bytes = "bytes", tag = "2")]
    pub key: Bytes,
    /// Digest of the request, 32 bytes.
    #[prost(bytes = "bytes", tag = "3")]
    pub digest: Bytes,
    /// The asking process, which alone may run it.
    #[prost(fixed64, tag = "4")]
    pub claimant: u64,
    /// The asking daemon.
    #[prost(string, tag = "5")]
    pub daemon: String,
    /// How long the key is remembered, in milliseconds.
    #[prost(uint64, tag = "6")]
    pub lifetime: u64,
    /// The caller's request, 16 bytes.
    #[prost(bytes = "bytes", tag = "7")]
    pub request: Bytes,
    /// Claimant of an earlier claim of this key that, by its claimant's own word, never runs; zero if there is none.
    #[prost(fixed64, tag = "8")]
    pub abandoned_claimant: u64,
    /// That claimant's number for the earlier claim.
    #[prost(uint64, tag = "9")]
    pub abandoned_ask: u64,
}

/// Answers `ClaimRequest`.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct ClaimAnswer {
    /// Number of the question.
    #[prost(uint64, tag = "1")]
    pub ask: u64,
    /// 0 granted, 1 held by another claim, 2 used for another request, 3 can't be had now, 4 not the owner.
    #[prost(uint32, tag = "2")]
    pub verdict: u32,
    /// The process that holds it, for verdict 1.
    #[prost(fixed64, tag = "3")]
    pub claimant: u64,
    /// The daemon that holds it, for verdict 1.
    #[prost(string, tag = "4")]
    pub daemon: String,
    /// The request that holds it, for verdict 1.
    #[prost(bytes = "bytes", tag = "5")]
    pub request: Bytes,
    /// The holder's number for its claim, for verdict 1.
    #[prost(uint64, tag = "6")]
    pub held: u64,
    /// The process that asked: a later one of the same daemon must not take the answer for its own.
    #[prost(fixed64, tag = "7")]
    pub asker: u64,
}

/// Asks a claimant what became of a key.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct KeyQuery {
    /// Number of the question, for its answer.
    #[prost(uint64, tag = "1")]
    pub ask: u64,
    /// Hash of institution and key, 32 bytes.
    #[prost(bytes = "bytes", tag = "2")]
    pub key: Bytes,
    /// The process asked about.
    #[prost(fixed64, tag = "3")]
    pub claimant: u64,
    /// That process's number for its claim.
    #[prost(uint64, tag = "4")]
    pub held: u64,
    /// The asking process.
    #[prost(fixed64, tag = "5")]
    pub asker: u64,
}

/// Answers `KeyQuery`.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct KeyAnswer {
    /// Number of the question.
    #[prost(uint64, tag = "1")]
    pub ask: u64,
    /// 0 unknown, 1 running, 2 ran and answer held, 3 ran and answer gone, 4 not run and never will.
    #[prost(uint32, tag = "2")]
    pub state: u32,
    /// HTTP status of a held answer.
    #[prost(uint32, tag = "3")]
    pub status: u32,
    /// Headers of a held answer.
    #[prost(message, repeated, tag = "4")]
    pub headers: Vec<super::Header>,
    /// A held answer.
    #[prost(bytes = "bytes", tag = "5")]
    pub body: Bytes,
    /// The process that asked.
    #[prost(fixed64, tag = "6")]
    pub asker: u64,
}
