//! A request on its way to a home, and its answer on the way back.

use bytes::Bytes;
use prost::Message;

use crate::ids::{AttemptId, Incarnation, RequestId};

/// One try of a request; see [`AttemptId`].
#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(Message)]
pub struct Attempt {
    /// The request, 16 bytes.
    #[prost(bytes = "bytes", tag = "1")]
    pub request: Bytes,
    /// Which try.
    #[prost(uint32, tag = "2")]
    pub number: u32,
    /// The sending process.
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
    /// The identifier, unless the request has a wrong length.
    pub fn id(&self) -> Option<AttemptId> {
        Some(AttemptId {
            request: RequestId::from_bytes(&self.request)?,
            number: self.number,
            sender: Incarnation(self.sender),
        })
    }
}

/// A header that travels with a request or an answer.
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

/// A request for the home of an endpoint.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Forward {
    /// The try.
    #[prost(message, optional, tag = "1")]
    pub attempt: Option<Attempt>,
    /// The entry daemon, to which the answer goes.
    #[prost(string, tag = "2")]
    pub origin: String,
    /// How often it was passed on.
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
    /// The endpoint chosen; empty leaves the choice to the receiver.
    #[prost(string, tag = "7")]
    pub endpoint: String,
    /// Endpoints already tried.
    #[prost(string, repeated, tag = "8")]
    pub tried: Vec<String>,
    /// Hash of institution and chat; zero without a chat.
    #[prost(fixed64, tag = "9")]
    pub chat: u64,
    /// Estimated prompt, in tokens.
    #[prost(uint64, tag = "10")]
    pub prompt: u64,
    /// Most tokens to generate.
    #[prost(uint64, tag = "11")]
    pub output: u64,
    /// Whether a second run does no harm.
    #[prost(bool, tag = "12")]
    pub idempotent: bool,
    /// Longest wait before it runs, in milliseconds.
    #[prost(uint64, tag = "13")]
    pub max_wait: u64,
    /// Bytes of answer that may be sent before the first `Credit`.
    #[prost(uint64, tag = "14")]
    pub credit: u64,
    /// HTTP method.
    #[prost(string, tag = "15")]
    pub method: String,
    /// Path and query.
    #[prost(string, tag = "16")]
    pub path: String,
    /// Headers that travel on.
    #[prost(message, repeated, tag = "17")]
    pub headers: Vec<Header>,
    /// Body.
    #[prost(bytes = "bytes", tag = "18")]
    pub body: Bytes,
    /// Prompt tokens expected in the chosen endpoint's cache.
    #[prost(uint64, tag = "19")]
    pub cached: u64,
    /// Whether it takes up a stream that the endpoint holds already.
    #[prost(bool, tag = "20")]
    pub resume: bool,
}

/// The home has sent the request to an endpoint.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Accepted {
    /// The try.
    #[prost(message, optional, tag = "1")]
    pub attempt: Option<Attempt>,
    /// The endpoint.
    #[prost(string, tag = "2")]
    pub endpoint: String,
    /// HTTP status of the answer.
    #[prost(uint32, tag = "3")]
    pub status: u32,
    /// Headers of the answer.
    #[prost(message, repeated, tag = "4")]
    pub headers: Vec<Header>,
}

/// The request went on to another home.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Rerouted {
    /// The try.
    #[prost(message, optional, tag = "1")]
    pub attempt: Option<Attempt>,
    /// The daemon it went to.
    #[prost(string, tag = "2")]
    pub to: String,
}

/// The request was refused.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Refused {
    /// The try.
    #[prost(message, optional, tag = "1")]
    pub attempt: Option<Attempt>,
    /// Code of the reason.
    #[prost(string, tag = "2")]
    pub reason: String,
    /// Whether the endpoint may have run it.
    #[prost(bool, tag = "3")]
    pub sent: bool,
    /// When to come back, in milliseconds; zero if never.
    #[prost(uint64, tag = "4")]
    pub retry_after: u64,
    /// The endpoint that was tried, if any.
    #[prost(string, tag = "5")]
    pub endpoint: String,
}

/// A piece of the answer.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Chunk {
    /// The try.
    #[prost(message, optional, tag = "1")]
    pub attempt: Option<Attempt>,
    /// Bytes of the answer before this piece.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    /// The bytes.
    #[prost(bytes = "bytes", tag = "3")]
    pub data: Bytes,
}

/// The whole answer was sent.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct End {
    /// The try.
    #[prost(message, optional, tag = "1")]
    pub attempt: Option<Attempt>,
    /// Bytes of the whole answer.
    #[prost(uint64, tag = "2")]
    pub length: u64,
    /// Code of the reason if the answer was cut short.
    #[prost(string, tag = "3")]
    pub reason: String,
}

/// Room for more of the answer.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Credit {
    /// The try.
    #[prost(message, optional, tag = "1")]
    pub attempt: Option<Attempt>,
    /// Bytes more.
    #[prost(uint64, tag = "2")]
    pub bytes: u64,
}

/// Tells a chat's directory daemon where the chat was served.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Placed {
    /// Hash of institution and chat.
    #[prost(fixed64, tag = "1")]
    pub chat: u64,
    /// The endpoint.
    #[prost(string, tag = "2")]
    pub endpoint: String,
    /// Prefix that it has cached now, in tokens.
    #[prost(uint64, tag = "3")]
    pub prefix: u64,
    /// The pool.
    #[prost(string, tag = "4")]
    pub pool: String,
    /// Estimated work that has ended there.
    #[prost(uint64, tag = "5")]
    pub work: u64,
}

/// The answer is no longer wanted.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Cancel {
    /// The try.
    #[prost(message, optional, tag = "1")]
    pub attempt: Option<Attempt>,
    /// Whether the endpoint isn't told, as another try may have taken the stream up.
    #[prost(bool, tag = "2")]
    pub detach: bool,
}
