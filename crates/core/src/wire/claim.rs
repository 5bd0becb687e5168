//! Claims of the right to run a non-idempotent request, and the state of claimed keys.

use bytes::Bytes;
use prost::Message;

/// Requests the claim of an idempotency key from its owner.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct ClaimRequest {
    /// Sequence number, repeated in the answer.
    #[prost(uint64, tag = "1")]
    pub ask: u64,
    /// Hash of institution and key, 32 bytes.
    #[prost(bytes = "bytes", tag = "2")]
    pub key: Bytes,
    /// Digest of the request, 32 bytes.
    #[prost(bytes = "bytes", tag = "3")]
    pub digest: Bytes,
    /// Incarnation of the claimant, the only process that may run the request.
    #[prost(fixed64, tag = "4")]
    pub claimant: u64,
    /// Name of the claimant's daemon.
    #[prost(string, tag = "5")]
    pub daemon: String,
    /// How long the claim is retained, in milliseconds.
    #[prost(uint64, tag = "6")]
    pub lifetime: u64,
    /// Identifier of the caller's request, 16 bytes.
    #[prost(bytes = "bytes", tag = "7")]
    pub request: Bytes,
    /// Claimant of an earlier claim of this key, if that claimant confirmed that it will never run; else zero.
    #[prost(fixed64, tag = "8")]
    pub abandoned_claimant: u64,
    /// That claimant's sequence number of the earlier claim.
    #[prost(uint64, tag = "9")]
    pub abandoned_ask: u64,
}

/// Answers `ClaimRequest`.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct ClaimAnswer {
    /// Sequence number of the request.
    #[prost(uint64, tag = "1")]
    pub ask: u64,
    /// 0 granted, 1 held by another claim, 2 used for another request, 3 unavailable, 4 not the owner.
    #[prost(uint32, tag = "2")]
    pub verdict: u32,
    /// Incarnation of the holder, for verdict 1.
    #[prost(fixed64, tag = "3")]
    pub claimant: u64,
    /// Name of the holder's daemon, for verdict 1.
    #[prost(string, tag = "4")]
    pub daemon: String,
    /// Identifier of the holder's request, for verdict 1.
    #[prost(bytes = "bytes", tag = "5")]
    pub request: Bytes,
    /// The holder's sequence number of its claim, for verdict 1.
    #[prost(uint64, tag = "6")]
    pub held: u64,
    /// Incarnation of the requester: a later process of the same daemon must ignore the answer.
    #[prost(fixed64, tag = "7")]
    pub asker: u64,
}

/// Asks a claimant for the state of a key.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct KeyQuery {
    /// Sequence number, repeated in the answer.
    #[prost(uint64, tag = "1")]
    pub ask: u64,
    /// Hash of institution and key, 32 bytes.
    #[prost(bytes = "bytes", tag = "2")]
    pub key: Bytes,
    /// Incarnation of the claimant.
    #[prost(fixed64, tag = "3")]
    pub claimant: u64,
    /// The claimant's sequence number of its claim.
    #[prost(uint64, tag = "4")]
    pub held: u64,
    /// Incarnation of the requester.
    #[prost(fixed64, tag = "5")]
    pub asker: u64,
}

/// Answers `KeyQuery`.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct KeyAnswer {
    /// Sequence number of the request.
    #[prost(uint64, tag = "1")]
    pub ask: u64,
    /// 0 unknown, 1 running, 2 ran and response stored, 3 ran and response not stored any more, 4 not run and never will.
    #[prost(uint32, tag = "2")]
    pub state: u32,
    /// HTTP status of the stored response.
    #[prost(uint32, tag = "3")]
    pub status: u32,
    /// Headers of the stored response.
    #[prost(message, repeated, tag = "4")]
    pub headers: Vec<super::Header>,
    /// Body of the stored response.
    #[prost(bytes = "bytes", tag = "5")]
    pub body: Bytes,
    /// Incarnation of the requester.
    #[prost(fixed64, tag = "6")]
    pub asker: u64,
}
