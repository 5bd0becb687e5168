//! Events, actions and limits of [`Claimant`](super::Claimant).

use bytes::Bytes;
use derive_more::{Debug, Display};

use crate::claims::answer_cache::{CacheLimits, CachedAnswer};
use crate::claims::hash::{Digest, KeyHash};
use crate::clock::Millis;
use crate::ids::{Incarnation, RequestId};
use crate::reason::Reason;
use crate::wire::{ClaimAnswer, ClaimRequest, KeyAnswer, KeyQuery};

/// A caller's request with an idempotency key.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub struct KeyedRequest {
    /// Identifier of the request, which must be unique.
    pub request: RequestId,
    /// Hash of institution and idempotency key.
    pub key: KeyHash,
    /// Digest of method, path and body.
    pub digest: Digest,
    /// How long the key stays in use after the request.
    pub lifetime: Millis,
}

/// How a dispatched request ended.
#[derive(Clone, PartialEq)]
#[derive(Debug)]
pub enum RunOutcome {
    /// It ran; contains the answer if it was received completely.
    Ran(Option<CachedAnswer>),
    /// It was not and will not be sent to an endpoint, or the endpoint's refusal means that it did not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Input of the state machine.
#[derive(Clone, PartialEq)]
#[derive(Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A caller's request was received.
    Start(KeyedRequest),
    /// An owner answered a requested claim.
    Answer(ClaimAnswer),
    /// A claim request could not be sent, or its answer was lost.
    ClaimRequestLost {
        /// Number of the claim.
        number: u64,
    },
    /// Another daemon queries the outcome of a key.
    KeyQueried {
        /// Name of the daemon.
        from: String,
        /// The query.
        query: KeyQuery,
    },
    /// Another claimant answered a query.
    KeyAnswer(KeyAnswer),
    /// Another claimant could not be reached.
    QueryLost {
        /// Number of the query.
        number: u64,
    },
    /// A claimant's shutdown record was read, or could not be.
    ShutdownRecord {
        /// Incarnation of the claimant.
        claimant: Incarnation,
        /// The encoded record; `None` if there is none or it can't be read.
        bytes: Option<Bytes>,
    },
    /// A dispatched request ended.
    Ended {
        /// Identifier of the request.
        request: RequestId,
        /// How it ended.
        end: RunOutcome,
    },
    /// The caller of a request that is not dispatched has disconnected.
    Cancelled {
        /// Identifier of the request.
        request: RequestId,
    },
    /// The daemon stops: no more requests are dispatched.
    Stop,
}

/// Output of the state machine, carried out by the driver.
#[derive(Clone, PartialEq)]
#[derive(Debug)]
pub enum Action {
    /// Request a claim from the owner of the key's shard.
    RequestClaim(ClaimRequest),
    /// Run the request, then report [`Event::Ended`].
    Dispatch {
        /// Identifier of the request.
        request: RequestId,
    },
    /// Refuse the request. The reason's outcome applies to this request only, not to its key.
    Refuse {
        /// Identifier of the request.
        request: RequestId,
        /// Why it is refused.
        reason: Reason,
    },
    /// Answer the request with the cached answer of the earlier one with its key.
    Replay {
        /// Identifier of the request.
        request: RequestId,
        /// The cached answer.
        answer: CachedAnswer,
    },
    /// Query another claimant about the outcome of a key.
    QueryKey {
        /// Name of its daemon.
        to: String,
        /// The query.
        query: KeyQuery,
    },
    /// Read a claimant's shutdown record.
    ReadShutdownRecord {
        /// Incarnation of the claimant.
        claimant: Incarnation,
    },
    /// Answer a query of another daemon.
    AnswerKey {
        /// Name of the daemon.
        to: String,
        /// The answer to send.
        answer: KeyAnswer,
    },
}

/// State of a key, as reported by its claimant.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Debug, Display)]
pub enum KeyState {
    /// The request may have run.
    #[display("unknown")]
    Unknown,
    /// The claim is pending or the request is running.
    #[display("running")]
    Running,
    /// The request ran, and the answer is included.
    #[display("held")]
    Held,
    /// The request ran.
    #[display("ran")]
    Ran,
    /// The request has not run and never will.
    #[display("not-run")]
    NotRun,
}

impl KeyState {
    /// Every state, in the order of its code.
    pub const ALL: [Self; 5] = [
        Self::Unknown,
        Self::Running,
        Self::Held,
        Self::Ran,
        Self::NotRun,
    ];

    /// The code in [`KeyAnswer`].
    pub const fn code(self) -> u32 {
        self as u32
    }

    /// Decodes a code; an unknown one counts as `Unknown`.
    pub fn from_code(code: u32) -> Self {
        let known = Self::ALL.get(code as usize);
        known.copied().unwrap_or(Self::Unknown)
    }
}

/// Timing and size limits of [`Claimant`](super::Claimant).
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub struct ClaimantLimits {
    /// Longest time from a request's receipt until its claim is granted.
    pub claim_timeout: Millis,
    /// Delay before a claim is requested again.
    pub retry_delay: Millis,
    /// Largest number of keys whose requests have ended.
    pub max_keys: usize,
    /// Bounds of the cache of answers.
    pub answers: CacheLimits,
}

impl Default for ClaimantLimits {
    fn default() -> Self {
        Self {
            claim_timeout: Millis::from_secs(4),
            retry_delay: Millis(100),
            max_keys: 100_000,
            answers: CacheLimits::default(),
        }
    }
}
