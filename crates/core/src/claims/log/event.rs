//! Events, actions and limits of a shard's machine.

use bytes::Bytes;
use derive_more::{Debug, Display};

use crate::claims::backoff::Backoff;
use crate::clock::Millis;
use crate::ids::{DaemonId, Incarnation};
use crate::wire::{ClaimAnswer, ClaimRequest};

/// A process of the fleet.
#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(Debug)]
pub struct Member {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its run.
    pub incarnation: Incarnation,
}

/// Number of one call to the platform.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Debug, Display)]
#[display("{_0}")]
pub struct CallId(pub u64);

/// What a machine is told.
#[derive(Clone, PartialEq)]
#[derive(Debug)]
pub enum Event {
    /// Time has passed.
    Tick {
        /// Wall time.
        wall: Millis,
    },
    /// Whether placement wants this daemon to own the shard.
    Own(bool),
    /// A claimant asks.
    Ask(ClaimRequest),
    /// The platform replied to a call.
    Reply {
        /// The call.
        call: CallId,
        /// The reply.
        reply: Reply,
    },
}

/// The platform's reply to a call.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub enum Reply {
    /// The object was created.
    Created,
    /// An object of this name exists.
    Exists,
    /// The object read.
    Found(Bytes),
    /// There is no such object.
    NotFound,
    /// Objects in the order of their names.
    Listed {
        /// The objects.
        objects: Vec<Listed>,
        /// Whether there are more.
        more: bool,
    },
    /// The object was deleted.
    Deleted,
    /// The object to delete has another version.
    Changed,
    /// No reply within the timeout, a cut connection, 503 or 429: it may have taken effect, or may yet.
    Lost,
}

/// An object in a list.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub struct Listed {
    /// Its name.
    pub key: String,
    /// Its version.
    pub version: u64,
}

/// What a machine wants done.
#[derive(Clone, PartialEq)]
#[derive(Debug)]
pub enum Action {
    /// Create an object unless one of its name exists.
    Create {
        /// The call to reply to.
        call: CallId,
        /// Its name.
        key: String,
        /// Its bytes.
        bytes: Bytes,
    },
    /// Read an object.
    Read {
        /// The call to reply to.
        call: CallId,
        /// Its name.
        key: String,
    },
    /// List the objects that start with `prefix` and come after `after`.
    List {
        /// The call to reply to.
        call: CallId,
        /// Start of the names.
        prefix: String,
        /// The name to start behind.
        after: String,
        /// Most objects.
        limit: usize,
    },
    /// Delete an object if it has this version.
    Delete {
        /// The call to reply to.
        call: CallId,
        /// Its name.
        key: String,
        /// Its version.
        version: u64,
    },
    /// Answer a claimant.
    Answer {
        /// The claimant's daemon, as it named itself.
        to: String,
        /// The claimant.
        claimant: Incarnation,
        /// The answer.
        answer: ClaimAnswer,
    },
}

/// What an owner says of a claim asked for.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Debug, Display)]
pub enum Verdict {
    /// It stands in the chain.
    #[display("granted")]
    Granted,
    /// Another claim holds the key.
    #[display("held")]
    Held,
    /// The key was used for another request.
    #[display("reused")]
    Reused,
    /// It can't be had now; whatever is recorded later, the claimant must not use it.
    #[display("unavailable")]
    Unavailable,
    /// Another daemon owns the shard.
    #[display("not-owner")]
    NotOwner,
}

impl Verdict {
    /// Every verdict, in the order of its code.
    pub const ALL: [Self; 5] = [
        Self::Granted,
        Self::Held,
        Self::Reused,
        Self::Unavailable,
        Self::NotOwner,
    ];

    /// The code in [`ClaimAnswer`].
    pub const fn code(self) -> u32 {
        self as u32
    }

    /// Reads a code; an unknown one grants nothing.
    pub fn from_code(code: u32) -> Self {
        let known = Self::ALL.get(code as usize);
        known.copied().unwrap_or(Self::Unavailable)
    }
}

/// Times and sizes of a shard's machine.
#[derive(Clone, PartialEq)]
#[derive(Debug)]
pub struct LogLimits {
    /// Shortest time between two batches.
    pub pace: Millis,
    /// Longest wait of a claimant for its answer.
    pub ask_wait: Millis,
    /// Most claimants that wait.
    pub queue: usize,
    /// Most claims in a batch.
    pub batch: usize,
    /// Objects after which a checkpoint is written.
    pub checkpoint_objects: u64,
    /// Claims in no checkpoint after which one is written.
    pub checkpoint_claims: usize,
    /// Claims up to which a checkpoint repeats those of earlier ones, so that it stays well under 1 MiB.
    pub segment_claims: usize,
    /// Added to a key's lifetime, for wall clocks that differ.
    pub skew: Millis,
    /// Delay after a first failure of the platform.
    pub retry_first: Millis,
    /// Longest delay between tries.
    pub retry_most: Millis,
    /// Delay before a second takeover.
    pub takeover_first: Millis,
    /// Longest delay before a takeover.
    pub takeover_most: Millis,
    /// Shortest time between two deletions.
    pub delete_pace: Millis,
}

impl Default for LogLimits {
    fn default() -> Self {
        Self {
            pace: Millis(250),
            ask_wait: Millis(1500),
            queue: 4096,
            batch: 512,
            checkpoint_objects: 64,
            checkpoint_claims: 1024,
            segment_claims: 3072,
            skew: Millis::from_secs(60),
            retry_first: Millis(50),
            retry_most: Millis::from_secs(2),
            takeover_first: Millis::from_secs(1),
            takeover_most: Millis::from_secs(30),
            delete_pace: Millis(200),
        }
    }
}

impl LogLimits {
    pub(super) const fn takeover_backoff(&self) -> Backoff {
        Backoff::new(self.takeover_first, self.takeover_most)
    }

    pub(super) const fn retry_backoff(&self) -> Backoff {
        Backoff::new(self.retry_first, self.retry_most)
    }
}
