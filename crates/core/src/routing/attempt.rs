//! How one attempt at an endpoint failed.

use derive_more::{Debug, Display};

use crate::body_end::BodyEnd;
use crate::outcome::Outcome;

/// Why an attempt has no response that can be passed on to the caller.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Debug, Display)]
pub enum Fault {
    /// No connection could be made; nothing was sent.
    #[display("not-sent")]
    NotSent,
    /// This daemon is cut off from all endpoints, and no other daemon could connect to one for it;
    /// nothing was sent.
    #[display("cut-off")]
    CutOff,
    /// The endpoint's process isn't known to be the one that is listed; nothing was sent.
    #[display("unconfirmed")]
    Unconfirmed,
    /// The endpoint is full or busy and states that it didn't run the request.
    #[display("rejected")]
    Rejected,
    /// Another endpoint has the address now; the request wasn't run.
    #[display("other-endpoint")]
    OtherEndpoint,
    /// The connection was closed, or the response was invalid.
    #[display("lost")]
    Lost,
    /// The response belongs to another attempt.
    #[display("foreign-answer")]
    Foreign,
    /// No response arrived within the time allowed for this attempt.
    #[display("slow")]
    Slow,
    /// The endpoint responded with a failure.
    #[display("failed")]
    Failed,
    /// The response was truncated.
    #[display("cut")]
    Cut,
    /// The stream ended before any event, and nothing marked its end.
    #[display("no-event")]
    NoEvent,
}

impl Fault {
    /// The fault of a response whose body ended early, with a text for the log; none if it is
    /// complete.
    pub const fn of_end(end: BodyEnd) -> Option<(Self, &'static str)> {
        match end {
            BodyEnd::Marked | BodyEnd::Closed => None,
            BodyEnd::WithinEvent => Some((Self::Cut, "ended within an event")),
            BodyEnd::NoEvent => Some((Self::NoEvent, "ended before any event, without a mark")),
            BodyEnd::Broken => Some((Self::Cut, "the connection failed")),
            BodyEnd::Stalled => Some((Self::Slow, "the answer didn't end")),
        }
    }

    /// Whether the request ran, as far as the fault shows.
    pub const fn outcome(self) -> Outcome {
        match self {
            Self::NotSent
            | Self::CutOff
            | Self::Unconfirmed
            | Self::Rejected
            | Self::OtherEndpoint => Outcome::NotRun,
            Self::Failed | Self::Cut => Outcome::Ran,
            Self::Lost | Self::Foreign | Self::Slow | Self::NoEvent => Outcome::Unknown,
        }
    }

    /// Whether the fault counts against the endpoint's health: not if it couldn't be reached from
    /// here or isn't the one that was meant, and not if it is full, which its reported load shows.
    pub const fn is_failure(self) -> bool {
        !matches!(
            self,
            Self::NotSent | Self::CutOff | Self::Unconfirmed | Self::Rejected | Self::OtherEndpoint
        )
    }

    /// Whether nothing was sent to the endpoint, though others may be reached.
    pub const fn is_unsent(self) -> bool {
        matches!(self, Self::NotSent | Self::Unconfirmed)
    }

    /// Whether the connection was lost while the endpoint had the request, as happens when the
    /// endpoint's process ends.
    pub const fn is_loss(self) -> bool {
        matches!(self, Self::Lost | Self::Cut)
    }

    /// Short name, for metrics and logs.
    pub const fn code(self) -> &'static str {
        match self {
            Self::NotSent => "not-sent",
            Self::CutOff => "cut-off",
            Self::Unconfirmed => "unconfirmed",
            Self::Rejected => "rejected",
            Self::OtherEndpoint => "other-endpoint",
            Self::Lost => "lost",
            Self::Foreign => "foreign-answer",
            Self::Slow => "slow",
            Self::Failed => "failed",
            Self::Cut => "cut",
            Self::NoEvent => "no-event",
        }
    }
}
