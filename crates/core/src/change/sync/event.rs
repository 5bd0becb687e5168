//! Events and actions of the configuration's synchronisation.

use bytes::Bytes;

use crate::change::digest::Digest;
use crate::clock::Millis;
use crate::config::Config;
use crate::ids::{Generation, Incarnation};
use crate::wire::{PartAnswer, PartRequest};

/// Input of `ConfigSync`.
#[derive(Clone, PartialEq, Debug)]
pub enum Event {
    /// The time of the last `Wait` has been reached.
    Timer,
    /// A peer announced its generation.
    Announced {
        /// The peer.
        peer: Incarnation,
        /// Whether it is in the same data centre.
        local: bool,
        /// Its generation in force; zero for none.
        generation: Generation,
    },
    /// A peer was removed from the membership.
    PeerLost(Incarnation),
    /// A peer answered.
    Answer {
        /// The peer.
        peer: Incarnation,
        /// Its answer.
        answer: PartAnswer,
    },
    /// A peer can't be reached or didn't answer.
    Unanswered(Incarnation),
    /// Whether this daemon is a watcher, which reads the platform.
    Watching(bool),
    /// The platform's head has changed.
    HeadChanged,
    /// The head as read from the platform, or as written by this daemon.
    Head {
        /// The encoded head.
        head: Bytes,
        /// Parts that came with it.
        parts: Vec<Bytes>,
    },
    /// The platform's head couldn't be read.
    HeadFailed,
    /// A part was read from the platform; `None` if there is none.
    Part(Digest, Option<Bytes>),
    /// A part couldn't be read from the platform.
    PartFailed(Digest),
}

/// Call or change that `ConfigSync` requests.
#[derive(Clone, PartialEq, Debug)]
pub enum Action {
    /// Send a request to a peer.
    Request {
        /// The peer.
        peer: Incarnation,
        /// The request.
        request: PartRequest,
    },
    /// Read the head from the platform.
    ReadHead,
    /// Read a part from the platform.
    ReadPart(Digest),
    /// Put a configuration in force; it is newer than every previous one.
    Apply(Box<Config>),
    /// Received data was rejected; for counters and logs.
    Reject(Rejected),
    /// Send a `Timer` at this time.
    Wait(Millis),
}

/// Why received data was rejected.
#[derive(Clone, PartialEq, Eq)]
#[derive(derive_more::Debug, derive_more::Display)]
pub enum Rejected {
    /// A head that can't be decoded.
    #[display("a head can't be read: {_0}")]
    Head(String),
    /// A part whose digest was not requested.
    #[display("a part has digest {_0}, which was not asked for")]
    Digest(Digest),
    /// Parts that can't be assembled to a configuration.
    #[display("generation {_0} can't be put together: {_1}")]
    Whole(Generation, String),
}
