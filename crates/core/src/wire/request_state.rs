//! What became of a request, asked of the entry that took it.

use bytes::Bytes;
use prost::Message;

/// Asks an entry for the state of a request.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct RequestQuery {
    /// The request, 16 bytes.
    #[prost(bytes = "bytes", tag = "1")]
    pub request: Bytes,
    /// Names the question.
    #[prost(fixed64, tag = "2")]
    pub question: u64,
}

/// Answers `RequestQuery`.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct RequestAnswer {
    /// The question.
    #[prost(fixed64, tag = "1")]
    pub question: u64,
    /// `running`, `answered` or `failed`; empty if the request isn't known.
    #[prost(string, tag = "2")]
    pub state: String,
    /// Code of the reason, if it failed.
    #[prost(string, tag = "3")]
    pub code: String,
    /// Whether it ran, if it failed.
    #[prost(string, tag = "4")]
    pub outcome: String,
}
