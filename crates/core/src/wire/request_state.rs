//! Queries for the state of a request, sent to the entry that accepted it.

use bytes::Bytes;
use prost::Message;

/// Asks an entry for the state of a request.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct RequestQuery {
    /// Identifier of the request, 16 bytes.
    #[prost(bytes = "bytes", tag = "1")]
    pub request: Bytes,
    /// Identifier of the query, repeated in the answer.
    #[prost(fixed64, tag = "2")]
    pub question: u64,
}

/// Answers `RequestQuery`.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct RequestAnswer {
    /// Identifier of the query.
    #[prost(fixed64, tag = "1")]
    pub question: u64,
    /// `running`, `answered` or `failed`; empty if the request isn't known.
    #[prost(string, tag = "2")]
    pub state: String,
    /// Code of the reason, if it failed.
    #[prost(string, tag = "3")]
    pub code: String,
    /// Whether it ran, as an outcome, if it failed.
    #[prost(string, tag = "4")]
    pub outcome: String,
}
