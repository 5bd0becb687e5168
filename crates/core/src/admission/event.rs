//! What a home is told and what it asks for.

use derive_more::Debug;

use crate::clock::Millis;
use crate::ids::{AccountId, AttemptId, InstitutionId};
use crate::reason::Reason;
use crate::units::Tokens;

/// A request that asks to run at the endpoint.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub struct Offer {
    /// The try.
    pub id: AttemptId,
    /// Whose contract it runs under.
    pub institution: InstitutionId,
    /// The contract's weight against other institutions.
    pub share: u32,
    /// Who asks.
    pub account: AccountId,
    /// Estimated prompt that the endpoint's cache doesn't hold.
    pub prompt: Tokens,
    /// Expected output.
    pub output: Tokens,
    /// Longest wait before it runs, from now on.
    pub patience: Millis,
    /// Whether another endpoint could take it and hops allow that.
    pub movable: bool,
    /// Whether it had better wait here, where its prefix is cached, than be passed on.
    pub keep_local: bool,
}

/// The endpoint's own report of its load.
#[derive(Clone, Copy, PartialEq, Eq, Default)]
#[derive(Debug)]
pub struct Report {
    /// When it held, on the home's clock.
    pub as_of: Millis,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait inside the endpoint.
    pub waiting: u32,
    /// Estimated work in hand.
    pub tokens: Tokens,
    /// Requests that it runs at once; zero if it doesn't say.
    pub slots: u32,
}

/// The mean load of the pool's endpoints that take work.
#[derive(Clone, Copy, PartialEq, Eq, Default)]
#[derive(Debug)]
pub struct Mean {
    /// When it held, on the home's clock.
    pub as_of: Millis,
    /// Work in flight per endpoint, by the homes' own counts.
    pub load: Tokens,
    /// Endpoints that it was taken over.
    pub endpoints: u32,
}

/// Whether the home may admit work to its endpoint.
#[derive(Clone, Copy, PartialEq, Eq, Default)]
#[derive(Debug)]
pub enum State {
    /// The endpoint takes work.
    #[default]
    Ready,
    /// The endpoint hasn't answered this home yet. It may be leaving, so that requests wait.
    Unconfirmed,
    /// The endpoint takes no new work; what runs goes on.
    Leaving,
    /// The endpoint can't be reached or the evidence about it is too old.
    Unreachable,
    /// Another daemon is the endpoint's home now.
    Moved,
}

impl State {
    /// Whether requests may wait for the endpoint.
    pub const fn admits(self) -> bool {
        matches!(self, Self::Ready | Self::Unconfirmed)
    }
}

/// How a request that ran came to its end.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub enum Ending {
    /// The endpoint gave its whole answer.
    Done,
    /// The endpoint was lost or failed.
    Failed,
    /// The endpoint refused it for want of room.
    Full,
    /// The endpoint refused it, and wants no work for this long.
    Paused(Millis),
}

/// What a home is told.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub enum Event {
    /// A request asks to run. A try that is held already is ignored.
    Offer(Offer),
    /// A dispatched request has generated this much in all.
    Progress {
        /// The try.
        id: AttemptId,
        /// Output so far.
        output: Tokens,
    },
    /// A dispatched request has ended.
    Finished {
        /// The try.
        id: AttemptId,
        /// How it ended.
        ending: Ending,
    },
    /// The caller went away, whether its request waits or runs.
    Cancelled {
        /// The try.
        id: AttemptId,
    },
    /// The endpoint reports its load.
    Report(Report),
    /// The pool's mean load is known anew.
    Mean(Mean),
    /// The endpoint, or who is its home, has changed.
    State(State),
    /// Time has passed; wanted by [`Home::wake`](super::Home::wake).
    Tick,
}

/// What a home asks for. Each offer gets exactly one of these, unless it is cancelled first.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub enum Action {
    /// Send the request to the endpoint.
    Dispatch {
        /// The try.
        id: AttemptId,
        /// Hint for the endpoint, 0 to 9, higher first.
        priority: u8,
    },
    /// Answer the caller that the request was not run.
    Refuse {
        /// The try.
        id: AttemptId,
        /// Why.
        reason: Reason,
        /// When to come back.
        retry_after: Millis,
    },
    /// Place the request at another endpoint; it was not sent to this one.
    PassOn {
        /// The try.
        id: AttemptId,
        /// Why it can't stay.
        reason: Reason,
    },
}

impl Action {
    /// The try that it is about.
    pub const fn id(&self) -> AttemptId {
        match self {
            Self::Dispatch { id, .. } | Self::Refuse { id, .. } | Self::PassOn { id, .. } => *id,
        }
    }
}
