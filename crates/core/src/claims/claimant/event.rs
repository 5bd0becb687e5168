//! Events, actions and limits of the entry's machine.

use bytes::Bytes;
use derive_more::{Debug, Display};

use crate::claims::hash::{Digest, KeyHash};
use crate::claims::held::{HeldAnswer, HeldLimits};
use crate::clock::Millis;
use crate::ids::{Incarnation, RequestId};
use crate::reason::Reason;
use crate::wire::{ClaimAnswer, ClaimRequest, KeyAnswer, KeyQuery};

/// A caller's keyed request.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub struct Start {
    /// The request; never used twice.
    pub request: RequestId,
    /// Its institution and key.
    pub key: KeyHash,
    /// What it asks for.
    pub digest: Digest,
    /// How long the key is remembered.
    pub lifetime: Millis,
}

/// How a dispatched request ended.
#[derive(Clone, PartialEq)]
#[derive(Debug)]
pub enum End {
    /// It ran; the answer, if it is whole and known.
    Ran(Option<HeldAnswer>),
    /// It was not sent to an endpoint and never will be, or the endpoint's refusal means so.
    NotRun,
    /// It may have run.
    Unknown,
}

/// What a machine is told.
#[derive(Clone, PartialEq)]
#[derive(Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A caller's request came.
    Start(Start),
    /// An owner answered.
    Answer(ClaimAnswer),
    /// A question could not be sent, or its answer can't come any more.
    AskLost {
        /// Number of the question.
        ask: u64,
    },
    /// Another daemon asks what became of a key.
    KeyAsked {
        /// The daemon.
        from: String,
        /// Its question.
        ask: KeyQuery,
    },
    /// Another claimant said what became of a key.
    KeyAnswer(KeyAnswer),
    /// Another claimant can't be reached.
    KeyAskLost {
        /// Number of the question.
        ask: u64,
    },
    /// The object that a claimant left; `None` if there is none or it can't be read.
    Farewell {
        /// The claimant.
        claimant: Incarnation,
        /// The object.
        bytes: Option<Bytes>,
    },
    /// A dispatched request ended.
    Ended {
        /// The request.
        request: RequestId,
        /// How.
        end: End,
    },
    /// The caller of a request that is not dispatched went away.
    Cancelled {
        /// The request.
        request: RequestId,
    },
    /// The daemon stops: no request is dispatched from now on.
    Stop,
}

/// What a machine wants done.
#[derive(Clone, PartialEq)]
#[derive(Debug)]
pub enum Action {
    /// Send a question to the owner of the key's shard.
    Ask(ClaimRequest),
    /// Run the request; it ends with [`Event::Ended`].
    Dispatch {
        /// The request.
        request: RequestId,
    },
    /// Refuse the request; the reason's outcome is about this request alone.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why.
        reason: Reason,
    },
    /// Answer the request as the earlier one with its key was.
    Replay {
        /// The request.
        request: RequestId,
        /// The answer.
        answer: HeldAnswer,
    },
    /// Ask another claimant what became of a key.
    AskKey {
        /// Its daemon.
        to: String,
        /// The question.
        ask: KeyQuery,
    },
    /// Read the object that a claimant left.
    ReadFarewell {
        /// The claimant.
        claimant: Incarnation,
    },
    /// Answer another daemon.
    TellKey {
        /// The daemon.
        to: String,
        /// The answer.
        answer: KeyAnswer,
    },
}

/// What a claimant says of a key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Debug, Display)]
pub enum KeyState {
    /// It may have run.
    #[display("unknown")]
    Unknown,
    /// It is asked for or running.
    #[display("running")]
    Running,
    /// It ran, and the answer is with this.
    #[display("held")]
    Held,
    /// It ran.
    #[display("ran")]
    Ran,
    /// It has not run and never will.
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

    /// Reads a code; an unknown one says nothing.
    pub fn from_code(code: u32) -> Self {
        let known = Self::ALL.get(code as usize);
        known.copied().unwrap_or(Self::Unknown)
    }
}

/// Times and sizes of the entry's machine.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub struct ClaimantLimits {
    /// Longest time from a request to its claim.
    pub claim_wait: Millis,
    /// Delay before an owner is asked again.
    pub retry_wait: Millis,
    /// Most keys that are remembered after their requests have ended.
    pub keys: usize,
    /// Answers that are kept.
    pub held: HeldLimits,
}

impl Default for ClaimantLimits {
    fn default() -> Self {
        Self {
            claim_wait: Millis::from_secs(4),
            retry_wait: Millis(100),
            keys: 100_000,
            held: HeldLimits::default(),
        }
    }
}
