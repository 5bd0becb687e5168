//! Events and actions of a home's admission control.

use derive_more::Debug;

use crate::clock::Millis;
use crate::ids::{AccountId, AttemptId, InstitutionId};
use crate::reason::Reason;
use crate::units::Tokens;

/// A request to be run at the endpoint.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub struct Offer {
    /// The attempt.
    pub id: AttemptId,
    /// The institution under whose contract it runs.
    pub institution: InstitutionId,
    /// The contract's weight relative to other institutions.
    pub share: u32,
    /// The client account that sent the request.
    pub account: AccountId,
    /// Estimated prompt tokens that the endpoint's cache doesn't hold.
    pub prompt: Tokens,
    /// Expected output tokens.
    pub output: Tokens,
    /// Maximum wait before dispatch, from now on.
    pub patience: Millis,
    /// Whether it may be passed on: another endpoint could take it, and the hop limit allows that.
    pub movable: bool,
    /// Whether waiting here, where its prefix is cached, is preferred to passing it on.
    pub keep_local: bool,
}

/// The endpoint's own report of its load.
#[derive(Clone, Copy, PartialEq, Eq, Default)]
#[derive(Debug)]
pub struct Report {
    /// When it was measured, on the home's clock.
    pub as_of: Millis,
    /// Number of running requests.
    pub running: u32,
    /// Number of requests that wait inside the endpoint.
    pub waiting: u32,
    /// Estimated tokens still to be processed.
    pub tokens: Tokens,
    /// Number of requests that it runs concurrently; zero if it doesn't report it.
    pub slots: u32,
}

/// The mean load of the pool's endpoints that accept work.
#[derive(Clone, Copy, PartialEq, Eq, Default)]
#[derive(Debug)]
pub struct Mean {
    /// When it was computed, on the home's clock.
    pub as_of: Millis,
    /// Mean work in flight per endpoint, by the homes' own counts.
    pub load: Tokens,
    /// Number of endpoints in the mean.
    pub endpoints: u32,
}

/// Whether the home may admit work to its endpoint.
#[derive(Clone, Copy, PartialEq, Eq, Default)]
#[derive(Debug)]
pub enum State {
    /// The endpoint accepts work.
    #[default]
    Ready,
    /// The endpoint hasn't answered this home yet. It may be leaving, so requests wait.
    Unconfirmed,
    /// The endpoint accepts no new work; running requests continue.
    Leaving,
    /// The endpoint can't be reached, or its last answer is too old.
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

/// How a dispatched request ended.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub enum Ending {
    /// The endpoint sent its complete response.
    Done,
    /// The endpoint was lost or failed.
    Failed,
    /// The endpoint refused it for lack of capacity.
    Full,
    /// The endpoint refused it and asked for no work for this duration.
    Paused(Millis),
}

/// An event for a home.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub enum Event {
    /// A request is to be run. An attempt that already waits or runs is ignored.
    Offer(Offer),
    /// A dispatched request has generated output.
    Progress {
        /// The attempt.
        id: AttemptId,
        /// Total output tokens so far.
        output: Tokens,
    },
    /// A dispatched request has ended.
    Finished {
        /// The attempt.
        id: AttemptId,
        /// How it ended.
        ending: Ending,
    },
    /// The caller disconnected; its request may wait or run.
    Cancelled {
        /// The attempt.
        id: AttemptId,
    },
    /// The endpoint has reported its load.
    Report(Report),
    /// A new mean load of the pool was computed.
    Mean(Mean),
    /// The state of the endpoint, or its home, has changed.
    State(State),
    /// Time has passed; due at [`Home::wake`](super::Home::wake).
    Tick,
}

/// An action for the caller of a home. Each offer results in exactly one, unless it is cancelled first.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub enum Action {
    /// Send the request to the endpoint.
    Dispatch {
        /// The attempt.
        id: AttemptId,
        /// Priority hint for the endpoint, 0 to 9, higher first.
        priority: u8,
    },
    /// Tell the caller that the request was refused without being run.
    Refuse {
        /// The attempt.
        id: AttemptId,
        /// Why it was refused.
        reason: Reason,
        /// Delay after which the caller may retry.
        retry_after: Millis,
    },
    /// Place the request at another endpoint; it was not sent to this one.
    PassOn {
        /// The attempt.
        id: AttemptId,
        /// Why it wasn't kept here.
        reason: Reason,
    },
}

impl Action {
    /// The attempt that the action is about.
    pub const fn id(&self) -> AttemptId {
        match self {
            Self::Dispatch { id, .. } | Self::Refuse { id, .. } | Self::PassOn { id, .. } => *id,
        }
    }
}
