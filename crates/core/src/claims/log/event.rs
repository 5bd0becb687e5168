//! Events, actions and limits of [`ShardLog`](super::ShardLog).

use bytes::Bytes;
use derive_more::{Debug, Display};

use crate::claims::backoff::Backoff;
use crate::clock::Millis;
use crate::ids::{DaemonId, Incarnation};
use crate::wire::{ClaimAnswer, ClaimRequest};

/// Identifies a process of the fleet.
#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(Debug)]
pub struct ProcessId {
    /// Name of the daemon.
    pub daemon: DaemonId,
    /// Incarnation of the daemon, which differs after each start.
    pub incarnation: Incarnation,
}

/// Identifies a call to the platform.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Debug, Display)]
#[display("{_0}")]
pub struct CallId(pub u64);

/// Input of the state machine.
#[derive(Clone, PartialEq)]
#[derive(Debug)]
pub enum Event {
    /// Time has passed.
    Tick {
        /// Wall time.
        wall: Millis,
    },
    /// Placement assigns the shard to this daemon, or no longer does.
    Assign(bool),
    /// A claimant requests a claim.
    Request(ClaimRequest),
    /// The platform replied to a call.
    Reply {
        /// The call that is replied to.
        call: CallId,
        /// Result of the call.
        reply: Reply,
    },
}

/// The platform's reply to a call.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub enum Reply {
    /// The object was created.
    Created,
    /// An object of this name exists already.
    Exists,
    /// Content of the object.
    Found(Bytes),
    /// There is no such object.
    NotFound,
    /// Objects, ordered by name.
    Listed {
        /// The listed objects.
        objects: Vec<ListedObject>,
        /// Whether there are more objects after these.
        more: bool,
    },
    /// The object was deleted.
    Deleted,
    /// The object to delete has another version.
    Changed,
    /// Timeout, broken connection, 503 or 429: the call may have taken effect, or may still do so.
    Lost,
}

/// An object in a listing.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub struct ListedObject {
    /// Name of the object.
    pub key: String,
    /// Version of the object, needed to delete it.
    pub version: u64,
}

/// Output of the state machine, carried out by the driver.
#[derive(Clone, PartialEq)]
#[derive(Debug)]
pub enum Action {
    /// Create an object unless one of this name exists.
    Create {
        /// Identifies the call in the reply.
        call: CallId,
        /// Name of the object.
        key: String,
        /// Content of the object.
        bytes: Bytes,
    },
    /// Read an object.
    Read {
        /// Identifies the call in the reply.
        call: CallId,
        /// Name of the object.
        key: String,
    },
    /// List the objects whose names start with `prefix` and sort after `after`.
    List {
        /// Identifies the call in the reply.
        call: CallId,
        /// Common prefix of the names.
        prefix: String,
        /// The name after which the listing starts.
        after: String,
        /// Largest number of objects to list.
        limit: usize,
    },
    /// Delete an object if it has this version.
    Delete {
        /// Identifies the call in the reply.
        call: CallId,
        /// Name of the object.
        key: String,
        /// Version to delete.
        version: u64,
    },
    /// Answer a claimant.
    Answer {
        /// The claimant's daemon, as named in its request.
        to: String,
        /// Incarnation of the claimant.
        claimant: Incarnation,
        /// The answer to send.
        answer: ClaimAnswer,
    },
}

/// An owner's answer to a requested claim.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Debug, Display)]
pub enum ClaimStatus {
    /// The claim is recorded in the chain.
    #[display("granted")]
    Granted,
    /// Another claim holds the key.
    #[display("held")]
    Held,
    /// The key was used for a request with another digest.
    #[display("reused")]
    Reused,
    /// The claim can't be granted now. Even if it is recorded later, the claimant must not use it.
    #[display("unavailable")]
    Unavailable,
    /// Another daemon owns the shard.
    #[display("not-owner")]
    NotOwner,
}

impl ClaimStatus {
    /// Every status, in the order of its code.
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

    /// Decodes a code; an unknown one counts as `Unavailable`.
    pub fn from_code(code: u32) -> Self {
        let known = Self::ALL.get(code as usize);
        known.copied().unwrap_or(Self::Unavailable)
    }
}

/// Timing and size limits of [`ShardLog`](super::ShardLog).
#[derive(Clone, PartialEq)]
#[derive(Debug)]
pub struct LogLimits {
    /// Shortest interval between two batches.
    pub batch_interval: Millis,
    /// Longest time until a requested claim is answered.
    pub claim_timeout: Millis,
    /// Largest number of queued claims.
    pub max_queue: usize,
    /// Largest number of claims in a batch.
    pub max_batch: usize,
    /// Number of objects after which a checkpoint is written.
    pub checkpoint_objects: u64,
    /// Number of claims in no checkpoint after which one is written.
    pub checkpoint_claims: usize,
    /// Number of claims up to which a checkpoint copies those of earlier ones; keeps it well under 1 MiB.
    pub segment_claims: usize,
    /// Added to a key's lifetime to allow for differences between wall clocks.
    pub clock_skew: Millis,
    /// Delay after the first failure of a platform call.
    pub retry_min: Millis,
    /// Longest delay between attempts of a platform call.
    pub retry_max: Millis,
    /// Shortest delay between two takeovers.
    pub takeover_min: Millis,
    /// Longest delay between two takeovers.
    pub takeover_max: Millis,
    /// Shortest interval between two deletions.
    pub delete_interval: Millis,
}

impl Default for LogLimits {
    fn default() -> Self {
        Self {
            batch_interval: Millis(250),
            claim_timeout: Millis(1500),
            max_queue: 4096,
            max_batch: 512,
            checkpoint_objects: 64,
            checkpoint_claims: 1024,
            segment_claims: 3072,
            clock_skew: Millis::from_secs(60),
            retry_min: Millis(50),
            retry_max: Millis::from_secs(2),
            takeover_min: Millis::from_secs(1),
            takeover_max: Millis::from_secs(30),
            delete_interval: Millis(200),
        }
    }
}

impl LogLimits {
    pub(super) const fn takeover_backoff(&self) -> Backoff {
        Backoff::new(self.takeover_min, self.takeover_max)
    }

    pub(super) const fn retry_backoff(&self) -> Backoff {
        Backoff::new(self.retry_min, self.retry_max)
    }
}
