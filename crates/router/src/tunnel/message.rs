//! Messages of a connection that carries bytes to and from an endpoint, encoded as Protocol
//! Buffers.

use bytes::Bytes;
use medlarrill_core::routing::endpoint::{InstanceId, StartTime};
use prost::{DecodeError, Enumeration, Message, Oneof};

/// The first message on any connection between daemons, as far as it asks for an endpoint. Other
/// first messages don't have the field.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct Opening {
    #[prost(message, optional, tag = "2")]
    wanted: Option<Target>,
}

/// The endpoint to connect to.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct Target {
    #[prost(string, tag = "1")]
    endpoint: String,
    #[prost(uint64, optional, tag = "2")]
    started: Option<u64>,
}

impl Opening {
    /// Asks for a connection to an instance of an endpoint.
    pub fn new(id: &InstanceId) -> Self {
        Self {
            wanted: Some(Target {
                endpoint: id.endpoint.as_str().to_owned(),
                started: id.started.map(|started| started.0),
            }),
        }
    }

    /// Encodes the message.
    pub fn encode(&self) -> Bytes {
        self.encode_to_vec().into()
    }

    /// What a first message asks for; `None` if it is another message.
    pub fn read(bytes: &[u8]) -> Option<Target> {
        Self::decode(bytes).ok()?.wanted
    }
}

impl Target {
    /// The instance to connect to; `None` if its id isn't valid.
    pub fn id(&self) -> Option<InstanceId> {
        let endpoint = self.endpoint.parse().ok()?;
        Some(InstanceId::new(endpoint, self.started.map(StartTime)))
    }
}

/// What a helper replies.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug, Enumeration)]
pub enum Verdict {
    /// It tries to connect.
    Accepted = 1,
    /// It is connected; pieces follow both ways.
    Open = 2,
    /// It reaches no endpoint.
    CutOff = 3,
    /// It helps too many others.
    Busy = 4,
    /// It is about to stop.
    Stopping = 5,
    /// It knows no such endpoint that takes work.
    Unknown = 6,
    /// It couldn't connect to the endpoint.
    Unreachable = 7,
}

/// A helper's reply. Its tag isn't used by other messages on connections between daemons, so that
/// one of a daemon that doesn't know these isn't taken for a reply.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Message)]
pub struct Reply {
    #[prost(enumeration = "Verdict", optional, tag = "6")]
    verdict: Option<i32>,
}

impl Reply {
    /// Creates a reply.
    pub fn new(verdict: Verdict) -> Self {
        Self {
            verdict: Some(verdict.into()),
        }
    }

    /// Encodes the message.
    pub fn encode(&self) -> Bytes {
        self.encode_to_vec().into()
    }

    /// Decodes a reply; `None` if it is another message, or a verdict of a newer daemon.
    pub fn read(bytes: &[u8]) -> Option<Verdict> {
        let verdict = Self::decode(bytes).ok()?.verdict?;
        Verdict::try_from(verdict).ok()
    }
}

/// How the endpoint's side of a connection ended.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug, Enumeration)]
pub enum End {
    /// The endpoint closed it.
    Closed = 1,
    /// It broke.
    Broken = 2,
}

/// Bytes from one side, or the end of the endpoint's side.
#[derive(Clone, PartialEq, Eq)]
#[derive(Oneof)]
pub enum Piece {
    /// Bytes.
    #[prost(bytes = "bytes", tag = "1")]
    Data(Bytes),
    /// The end.
    #[prost(enumeration = "End", tag = "2")]
    End(i32),
}

#[derive(Clone, PartialEq)]
#[derive(Message)]
struct Envelope {
    #[prost(oneof = "Piece", tags = "1, 2")]
    piece: Option<Piece>,
}

impl Piece {
    /// Encodes the piece as a message.
    pub fn into_message(self) -> Bytes {
        let piece = Some(self);
        Envelope { piece }.encode_to_vec().into()
    }

    /// Decodes a piece; one of a kind that only newer daemons know is empty.
    ///
    /// # Errors
    ///
    /// When the bytes aren't a piece.
    pub fn read(bytes: Bytes) -> Result<Self, DecodeError> {
        let piece = Envelope::decode(bytes)?.piece;
        Ok(piece.unwrap_or(Self::Data(Bytes::new())))
    }
}
