//! Synchronisation of the configuration between daemons.

use bytes::Bytes;
use prost::Message;

/// Requests parts of the configuration by digest, or the head.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct PartRequest {
    /// Digests of the requested parts; none requests the head.
    #[prost(bytes = "bytes", repeated, tag = "1")]
    pub digests: Vec<Bytes>,
}

/// Answers `PartRequest`.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct PartAnswer {
    /// The head as stored, if it was requested.
    #[prost(bytes = "bytes", tag = "1")]
    pub head: Bytes,
    /// Parts as stored; the receiver checks each against its digest.
    #[prost(bytes = "bytes", repeated, tag = "2")]
    pub parts: Vec<Bytes>,
}
