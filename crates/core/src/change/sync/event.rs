//! What the spread is told, and what it asks for.

use bytes::Bytes;

use crate::change::digest::Digest;
use crate::clock::Millis;
use crate::config::Config;
use crate::ids::{Generation, Incarnation};
use crate::wire::{PartAnswer, PartRequest};

/// What happened.
#[derive(Clone, PartialEq, Debug)]
pub enum Event {
    /// The time asked for has come.
    Timer,
    /// A peer said which generation it has.
    Announced {
        /// The peer.
        peer: Incarnation,
        /// Whether it stands in the same data centre.
        local: bool,
        /// The generation that it has; zero for none.
        generation: Generation,
    },
    /// A peer is gone.
    PeerLost(Incarnation),
    /// A peer answered.
    Answer {
        /// The peer.
        peer: Incarnation,
        /// What it answered.
        answer: PartAnswer,
    },
    /// A peer can't be asked or didn't answer.
    Unanswered(Incarnation),
    /// Whether this daemon reads the platform for its data centre.
    Watching(bool),
    /// The platform's head has changed.
    HeadChanged,
    /// The platform's head, or the one that this daemon has written.
    Head {
        /// Its bytes.
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

/// What to do.
#[derive(Clone, PartialEq, Debug)]
pub enum Action {
    /// Ask a peer.
    Request {
        /// The peer.
        peer: Incarnation,
        /// What to ask.
        request: PartRequest,
    },
    /// Read the head from the platform.
    ReadHead,
    /// Read a part from the platform.
    ReadPart(Digest),
    /// Put a configuration in force; it is newer than every one before.
    Apply(Box<Config>),
    /// Something came that can't be used; for counters and logs.
    Reject(Rejected),
    /// Send a `Timer` at this time.
    Wait(Millis),
}

/// Why something that came can't be used.
#[derive(Clone, PartialEq, Eq)]
#[derive(derive_more::Debug, derive_more::Display)]
pub enum Rejected {
    /// A head that can't be read.
    #[display("a head can't be read: {_0}")]
    Head(String),
    /// A part whose digest nobody asked for.
    #[display("a part has digest {_0}, which was not asked for")]
    Digest(Digest),
    /// Parts that make up no configuration.
    #[display("generation {_0} can't be put together: {_1}")]
    Whole(Generation, String),
}
