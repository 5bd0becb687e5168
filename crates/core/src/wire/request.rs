//! Requests forwarded to a home, and their responses.

use bytes::Bytes;
use prost::Message;

use crate::ids::{AttemptId, Incarnation, RequestId};

/// Identifier of one attempt of a request; see [`AttemptId`].
#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(Message)]
pub struct Attempt {
    /// Identifier of the request, 16 bytes.
    #[prost(bytes = "bytes", tag = "1")]
    pub request: Bytes,
    /// Number of the attempt.
    #[prost(uint32, tag = "2")]
    pub number: u32,
    /// Incarnation of the sending process.
    #[prost(fixed64, tag = "3")]
    pub sender: u64,
}

impl From<AttemptId> for Attempt {
    fn from(id: AttemptId) -> Self {
        Self {
            request: Bytes::copy_from_slice(&id.request.to_bytes()),
            number: id.number,
            sender: id.sender.0,
        }
    }
}

impl Attempt {
    /// Decodes the identifier; `None` if the request's has a wrong length.
    pub fn id(&self) -> Option<AttemptId> {
        Some(AttemptId {
            request: RequestId::from_bytes(&self.request)?,
            number: self.number,
            sender: Incarnation(self.sender),
        })
    }
}

/// An HTTP header of a request or response.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Header {
    /// Lower-case name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Value as received.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: Bytes,
}

/// Forwards a request to the home of an endpoint.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Forward {
    /// The attempt.
    #[prost(message, optional, tag = "1")]
    pub attempt: Option<Attempt>,
    /// Name of the entry, to which the response is sent.
    #[prost(string, tag = "2")]
    pub origin: String,
    /// How many times a home forwarded it to another home.
    #[prost(uint32, tag = "3")]
    pub hops: u32,
    /// The institution.
    #[prost(string, tag = "4")]
    pub institution: String,
    /// The account.
    #[prost(string, tag = "5")]
    pub account: String,
    /// The pool.
    #[prost(string, tag = "6")]
    pub pool: String,
    /// The chosen endpoint; empty if the receiver is to choose.
    #[prost(string, tag = "7")]
    pub endpoint: String,
    /// Endpoints of earlier attempts.
    #[prost(string, repeated, tag = "8")]
    pub tried: Vec<String>,
    /// Hash of institution and chat; zero without a chat.
    #[prost(fixed64, tag = "9")]
    pub chat: u64,
    /// Estimated length of the prompt, in tokens.
    #[prost(uint64, tag = "10")]
    pub prompt: u64,
    /// Maximum number of tokens to generate.
    #[prost(uint64, tag = "11")]
    pub output: u64,
    /// Whether it may safely run twice.
    #[prost(bool, tag = "12")]
    pub idempotent: bool,
    /// Longest time in a queue before it runs, in milliseconds.
    #[prost(uint64, tag = "13")]
    pub max_wait: u64,
    /// Bytes of the response that may be sent before the first `Credit`.
    #[prost(uint64, tag = "14")]
    pub credit: u64,
    /// HTTP method.
    #[prost(string, tag = "15")]
    pub method: String,
    /// Path and query.
    #[prost(string, tag = "16")]
    pub path: String,
    /// Headers to forward.
    #[prost(message, repeated, tag = "17")]
    pub headers: Vec<Header>,
    /// Request body.
    #[prost(bytes = "bytes", tag = "18")]
    pub body: Bytes,
    /// Prompt tokens expected in the chosen endpoint's cache.
    #[prost(uint64, tag = "19")]
    pub cached: u64,
    /// Whether it resumes a stream that the endpoint already has.
    #[prost(bool, tag = "20")]
    pub resume: bool,
}

/// The home has sent the request to an endpoint.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Accepted {
    /// The attempt.
    #[prost(message, optional, tag = "1")]
    pub attempt: Option<Attempt>,
    /// The endpoint.
    #[prost(string, tag = "2")]
    pub endpoint: String,
    /// HTTP status of the response.
    #[prost(uint32, tag = "3")]
    pub status: u32,
    /// Headers of the response.
    #[prost(message, repeated, tag = "4")]
    pub headers: Vec<Header>,
}

/// The home has forwarded the request to another home.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Rerouted {
    /// The attempt.
    #[prost(message, optional, tag = "1")]
    pub attempt: Option<Attempt>,
    /// Name of the daemon it was forwarded to.
    #[prost(string, tag = "2")]
    pub to: String,
}

/// The request was refused.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Refused {
    /// The attempt.
    #[prost(message, optional, tag = "1")]
    pub attempt: Option<Attempt>,
    /// Code of the reason.
    #[prost(string, tag = "2")]
    pub reason: String,
    /// Whether it was sent to an endpoint, which may have run it.
    #[prost(bool, tag = "3")]
    pub sent: bool,
    /// Delay before a retry is useful, in milliseconds; zero if it never is.
    #[prost(uint64, tag = "4")]
    pub retry_after: u64,
    /// The endpoint of the attempt, if any.
    #[prost(string, tag = "5")]
    pub endpoint: String,
}

/// A piece of the response body.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Chunk {
    /// The attempt.
    #[prost(message, optional, tag = "1")]
    pub attempt: Option<Attempt>,
    /// Offset of this piece in the body, in bytes.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    /// The bytes.
    #[prost(bytes = "bytes", tag = "3")]
    pub data: Bytes,
}

/// The end of the response body.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct End {
    /// The attempt.
    #[prost(message, optional, tag = "1")]
    pub attempt: Option<Attempt>,
    /// Length of the body, in bytes.
    #[prost(uint64, tag = "2")]
    pub length: u64,
    /// Code of the reason if the response was truncated; else empty.
    #[prost(string, tag = "3")]
    pub reason: String,
}

/// Flow control: more bytes of the response may be sent.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Credit {
    /// The attempt.
    #[prost(message, optional, tag = "1")]
    pub attempt: Option<Attempt>,
    /// Number of additional bytes.
    #[prost(uint64, tag = "2")]
    pub bytes: u64,
}

/// Reports to a chat's directory daemon where the chat was served.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Placed {
    /// Hash of institution and chat.
    #[prost(fixed64, tag = "1")]
    pub chat: u64,
    /// The endpoint.
    #[prost(string, tag = "2")]
    pub endpoint: String,
    /// Length of the prefix that it has cached now, in tokens.
    #[prost(uint64, tag = "3")]
    pub prefix: u64,
    /// The pool.
    #[prost(string, tag = "4")]
    pub pool: String,
    /// Estimated work of the finished request, in tokens.
    #[prost(uint64, tag = "5")]
    pub work: u64,
}

/// The response is no longer needed.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Cancel {
    /// The attempt.
    #[prost(message, optional, tag = "1")]
    pub attempt: Option<Attempt>,
    /// Whether the endpoint's stream is left running, as another attempt may have resumed it.
    #[prost(bool, tag = "2")]
    pub detach: bool,
}
