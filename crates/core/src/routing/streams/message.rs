//! Datagrams about streams, encoded as Protocol Buffers.
//!
//! They arrive on the socket of the exchange. Their tags differ from those of
//! its messages, so that daemons that don't know them ignore them.

use bytes::Bytes;
use prost::{DecodeError, Message as _, Oneof};

use super::history::{BuildEvidence, RecentBuild};
use super::lookup::Reply;
use super::{Origin, PoolHash, StreamKey};

/// Streams that began.
#[derive(Clone, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct Began {
    #[prost(fixed64, repeated, tag = "1")]
    streams: Vec<u64>,
    /// The origin of each of them.
    #[prost(fixed64, repeated, tag = "2")]
    origins: Vec<u64>,
}

/// Streams that the platform has from now on.
#[derive(Clone, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct Kept {
    #[prost(fixed64, repeated, tag = "1")]
    streams: Vec<u64>,
}

/// Asks where a stream began.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct Question {
    /// Distinguishes the questions of one daemon.
    #[prost(fixed64, tag = "1")]
    pub token: u64,
    #[prost(fixed64, tag = "2")]
    stream: u64,
}

/// Answers a question.
#[derive(Clone, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct Answer {
    /// The token of the question.
    #[prost(fixed64, tag = "1")]
    pub token: u64,
    #[prost(fixed64, optional, tag = "2")]
    origin: Option<u64>,
    #[prost(bool, tag = "3")]
    is_ambiguous: bool,
    #[prost(bool, tag = "4")]
    is_complete: bool,
    #[prost(fixed64, repeated, tag = "5")]
    recent: Vec<u64>,
    /// The pool of each of them, 0 if it isn't known; missing from daemons of earlier builds.
    #[prost(fixed64, repeated, tag = "6")]
    pools: Vec<u64>,
}

/// A message about streams.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Message {
    /// From a daemon to those that it tells.
    Began(Began),
    /// From a daemon that is asked to go on with a stream.
    Question(Question),
    /// What the other one knows.
    Answer(Answer),
    /// From the daemon that writes the archive to one that told it of streams.
    Kept(Kept),
}

#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
struct Datagram {
    // Tags 1 to 5 and 9 belong to the exchange.
    #[prost(oneof = "Content", tags = "6, 7, 8, 10")]
    content: Option<Content>,
}

#[derive(Clone, PartialEq)]
#[derive(Oneof)]
enum Content {
    #[prost(message, tag = "6")]
    Began(Began),
    #[prost(message, tag = "7")]
    Question(Question),
    #[prost(message, tag = "8")]
    Answer(Answer),
    #[prost(message, tag = "10")]
    Kept(Kept),
}

impl Began {
    /// Streams with their origins.
    pub fn new(streams: &[(StreamKey, Origin)]) -> Self {
        Self {
            streams: streams.iter().map(|(key, _)| key.0).collect(),
            origins: streams.iter().map(|(_, origin)| origin.0).collect(),
        }
    }

    /// The streams with their origins.
    pub fn streams(&self) -> impl Iterator<Item = (StreamKey, Origin)> {
        let both = self.streams.iter().zip(&self.origins);
        both.map(|(key, origin)| (StreamKey(*key), Origin(*origin)))
    }
}

impl Kept {
    /// Confirms streams.
    pub fn new(streams: &[StreamKey]) -> Self {
        let streams = streams.iter().map(|key| key.0).collect();
        Self { streams }
    }

    /// The streams.
    pub fn streams(&self) -> impl Iterator<Item = StreamKey> {
        self.streams.iter().copied().map(StreamKey)
    }
}

impl Question {
    /// Asks for a stream.
    pub const fn new(token: u64, key: StreamKey) -> Self {
        let stream = key.0;
        Self { token, stream }
    }

    /// The stream.
    pub const fn key(&self) -> StreamKey {
        StreamKey(self.stream)
    }
}

impl Answer {
    /// Answers a question.
    pub fn new(token: u64, reply: Reply) -> Self {
        let empty = Self {
            token,
            ..Self::default()
        };
        match reply {
            Reply::Known(origin) => Self {
                origin: Some(origin.0),
                ..empty
            },
            Reply::Ambiguous => Self {
                is_ambiguous: true,
                ..empty
            },
            Reply::Unknown(evidence) => Self {
                is_complete: evidence.is_complete,
                recent: evidence.recent.iter().map(|build| build.origin.0).collect(),
                pools: evidence.recent.iter().map(pool_number).collect(),
                ..empty
            },
        }
    }

    fn recent(&self) -> Vec<RecentBuild> {
        let pools = self.pools.iter().copied().chain(std::iter::repeat(0));
        let recent = self.recent.iter().copied().zip(pools);
        let build = |(origin, pool)| RecentBuild {
            origin: Origin(origin),
            pool: (pool != 0).then_some(PoolHash(pool)),
        };
        recent.map(build).collect()
    }

    /// What the daemon knows.
    pub fn reply(&self) -> Reply {
        match self.origin {
            _ if self.is_ambiguous => Reply::Ambiguous,
            Some(origin) => Reply::Known(Origin(origin)),
            None => Reply::Unknown(BuildEvidence {
                is_complete: self.is_complete,
                recent: self.recent(),
            }),
        }
    }
}

fn pool_number(build: &RecentBuild) -> u64 {
    build.pool.map_or(0, |pool| pool.0)
}

impl Message {
    /// Encodes the message as a datagram.
    pub fn encode(self) -> Bytes {
        let content = match self {
            Self::Began(began) => Content::Began(began),
            Self::Question(question) => Content::Question(question),
            Self::Answer(answer) => Content::Answer(answer),
            Self::Kept(kept) => Content::Kept(kept),
        };
        let content = Some(content);
        Datagram { content }.encode_to_vec().into()
    }

    /// Decodes a datagram; `None` for another kind of message.
    ///
    /// # Errors
    ///
    /// When the bytes aren't Protocol Buffers.
    pub fn decode(bytes: &[u8]) -> Result<Option<Self>, DecodeError> {
        let content = Datagram::decode(bytes)?.content;
        Ok(content.map(|content| match content {
            Content::Began(began) => Self::Began(began),
            Content::Question(question) => Self::Question(question),
            Content::Answer(answer) => Self::Answer(answer),
            Content::Kept(kept) => Self::Kept(kept),
        }))
    }
}
