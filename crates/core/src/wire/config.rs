//! Spread of configuration between daemons.

use bytes::Bytes;
use prost::Message;

/// Asks for a head, and for parts of it by digest.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct PartRequest {
    /// Digests wanted; none asks for the head.
    #[prost(bytes = "bytes", repeated, tag = "1")]
    pub digests: Vec<Bytes>,
}

/// Answers `PartRequest`.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct PartAnswer {
    /// The head, as stored, if it was asked for.
    #[prost(bytes = "bytes", tag = "1")]
    pub head: Bytes,
    /// Parts as stored; each is checked against its digest.
    #[prost(bytes = "bytes", repeated, tag = "2")]
    pub parts: Vec<Bytes>,
}
