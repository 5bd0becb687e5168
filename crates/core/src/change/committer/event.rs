//! What a committer is told, and what it asks for.

use bytes::Bytes;
use derive_more::{Debug, Display};

use crate::change::apply::Faults;
use crate::change::digest::Digest;
use crate::change::head::Head;
use crate::change::part::PartName;
use crate::clock::Millis;
use crate::ids::{ChangeId, Generation};

/// An object as it was read.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub struct Stored {
    /// Its version.
    pub version: u64,
    /// Its bytes.
    pub bytes: Bytes,
}

/// What happened.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub enum Event {
    /// Begin.
    Start,
    /// The time asked for, or the deadline, has come.
    Timer,
    /// The head was read; `None` if there is none.
    Head(Option<Stored>),
    /// The head couldn't be read.
    HeadFailed,
    /// A part was read; `None` if there is none.
    Part(Digest, Option<Bytes>),
    /// A part couldn't be read.
    PartFailed,
    /// A part is stored, now or before.
    Created(Digest),
    /// It isn't known whether a part is stored.
    CreateUnknown,
    /// The head is written.
    Written,
    /// The head has another version than the one to be replaced.
    VersionMismatch,
    /// The head's write may have taken effect, or may yet.
    WriteUnknown,
    /// The head's write surely had no effect, such as with 429.
    WriteFailed,
}

/// What to do.
#[derive(Clone, PartialEq)]
#[derive(Debug)]
pub enum Action {
    /// Read the head.
    ReadHead,
    /// Read a part.
    ReadPart(Digest),
    /// Store a part; that it exists is as good.
    CreatePart(Digest, Bytes),
    /// Write the head on condition of its version; create it if `None`.
    WriteHead {
        /// The version to be replaced.
        version: Option<u64>,
        /// The new bytes.
        bytes: Bytes,
    },
    /// Send a `Timer` at this time.
    Wait(Millis),
    /// The change has come to its end.
    Finish(Outcome),
}

/// How a change ended.
#[derive(Clone, PartialEq)]
#[derive(Debug)]
pub enum Outcome {
    /// It is in force and won't be lost.
    Accepted(Accepted),
    /// It is wrong; nothing was changed.
    Refused(Faults),
    /// Another change came first; nothing was changed.
    Conflict(Conflict),
    /// It was given up before; nothing was changed, nor will be.
    Withdrawn,
    /// It couldn't be made; nothing was changed.
    Unavailable(String),
    /// It may be in force or come into force yet.
    Unknown,
}

/// An accepted change.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub struct Accepted {
    /// The first generation that has it.
    pub generation: Generation,
    /// A head that has it, as stored; empty if it was in force before.
    pub head: Bytes,
    /// Parts that are new with it, as stored.
    pub parts: Vec<Bytes>,
}

impl Accepted {
    /// A change that was in force before.
    pub(super) const fn unchanged(head: &Head) -> Self {
        Self::read(head.generation, Bytes::new())
    }

    /// A change found in a head.
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
    /// The change that was not made.
    pub change: ChangeId,
    /// The change that came first, if it is remembered.
    pub with: Option<ChangeId>,
    /// The generation that the other made.
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
