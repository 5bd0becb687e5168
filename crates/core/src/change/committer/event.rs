//! Events and actions of the committer, and the outcomes of a change.

use bytes::Bytes;
use derive_more::{Debug, Display};

use crate::change::apply::Faults;
use crate::change::digest::Digest;
use crate::change::head::Head;
use crate::change::part::PartName;
use crate::clock::Millis;
use crate::ids::{ChangeId, Generation};

/// A stored object as read from the platform.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub struct Stored {
    /// Version, for conditional writes.
    pub version: u64,
    /// Contents.
    pub bytes: Bytes,
}

/// Input of the committer.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub enum Event {
    /// Starts the change.
    Start,
    /// The time of the last `Wait`, or the deadline, has been reached.
    Timer,
    /// The head was read; `None` if there is none.
    Head(Option<Stored>),
    /// The head couldn't be read.
    HeadFailed,
    /// A part was read; `None` if there is none.
    Part(Digest, Option<Bytes>),
    /// A part couldn't be read.
    PartFailed,
    /// A part is stored, by this call or an earlier one.
    Created(Digest),
    /// It isn't known whether a part is stored.
    CreateUnknown,
    /// The head was written.
    Written,
    /// The head's version is not the one to be replaced.
    VersionMismatch,
    /// The head's write may have taken effect, or may do so later.
    WriteUnknown,
    /// The head's write had no effect, such as after status 429.
    WriteFailed,
}

/// Call or timer that the committer requests.
#[derive(Clone, PartialEq)]
#[derive(Debug)]
pub enum Action {
    /// Read the head.
    ReadHead,
    /// Read a part.
    ReadPart(Digest),
    /// Store a part; if it exists already, that is a success too.
    CreatePart(Digest, Bytes),
    /// Write the head if its version still matches; create it if `None`.
    WriteHead {
        /// The version to be replaced.
        version: Option<u64>,
        /// The new bytes.
        bytes: Bytes,
    },
    /// Send a `Timer` at this time.
    Wait(Millis),
    /// The change has ended with this outcome.
    Finish(Outcome),
}

/// How a change ended.
#[derive(Clone, PartialEq)]
#[derive(Debug)]
pub enum Outcome {
    /// It is in force, durably.
    Accepted(Accepted),
    /// It is invalid; nothing was changed.
    Refused(Faults),
    /// It conflicts with an earlier change; nothing was changed.
    Conflict(Conflict),
    /// An earlier request for it was withdrawn; nothing was changed, nor will be.
    Withdrawn,
    /// It couldn't be committed, for this reason; nothing was changed.
    Unavailable(String),
    /// It may be in force, or may still come into force.
    Unknown,
}

/// An accepted change.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub struct Accepted {
    /// The first generation that contains it.
    pub generation: Generation,
    /// A head that contains it, as stored; empty if it changed nothing.
    pub head: Bytes,
    /// Parts that it added, as stored.
    pub parts: Vec<Bytes>,
}

impl Accepted {
    /// A change that makes no difference to the configuration.
    pub(super) const fn unchanged(head: &Head) -> Self {
        Self::read(head.generation, Bytes::new())
    }

    /// A change that is recorded in a head.
    pub(super) const fn read(generation: Generation, head: Bytes) -> Self {
        Self {
            generation,
            head,
            parts: Vec::new(),
        }
    }
}

/// Two changes of the same part.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug, Display)]
#[display("change {change} conflicts with {} of generation {generation}: both concern part {part}", self.other())]
pub struct Conflict {
    /// The change that was not accepted.
    pub change: ChangeId,
    /// The change that was accepted first, if it is still recorded.
    pub with: Option<ChangeId>,
    /// The generation of the other change.
    pub generation: Generation,
    /// The part that both concern.
    pub part: PartName,
}

impl Conflict {
    fn other(&self) -> String {
        match self.with {
            Some(change) => format!("change {change}"),
            None => "a change".into(),
        }
    }
}
