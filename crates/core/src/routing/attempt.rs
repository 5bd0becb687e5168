//! How one attempt at an endpoint failed.

use derive_more::{Debug, Display};

use crate::outcome::Outcome;

/// Why an attempt has no answer that can be handed on.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Debug, Display)]
pub enum Fault {
    /// No connection; nothing was sent.
    #[display("not-sent")]
    NotSent,
    /// The endpoint says that it didn't run the request, being full or busy.
    #[display("rejected")]
    Rejected,
    /// Another endpoint has the address now; not run.
    #[display("other-endpoint")]
    OtherEndpoint,
    /// The connection ended, or what came was no answer.
    #[display("lost")]
    Lost,
    /// The answer belongs to another request.
    #[display("foreign-answer")]
    Foreign,
    /// No answer came in the time allowed for this attempt.
    #[display("slow")]
    Slow,
    /// The endpoint answered that it failed.
    #[display("failed")]
    Failed,
    /// The answer began and broke off.
    #[display("cut")]
    Cut,
}

impl Fault {
    /// Whether the request ran, as far as the fault tells.
    pub const fn outcome(self) -> Outcome {
        match self {
            Self::NotSent | Self::Rejected | Self::OtherEndpoint => Outcome::NotRun,
            Self::Failed | Self::Cut => Outcome::Ran,
            Self::Lost | Self::Foreign | Self::Slow => Outcome::Unknown,
        }
    }

    /// Whether the fault speaks against the endpoint: not where it couldn't be reached from here,
    /// and not where it is full, of which its load tells.
    pub const fn is_failure(self) -> bool {
        !matches!(self, Self::NotSent | Self::Rejected | Self::OtherEndpoint)
    }

    /// Whether the connection ended while the endpoint had the request, as it does where the
    /// endpoint itself ends.
    pub const fn is_loss(self) -> bool {
        matches!(self, Self::Lost | Self::Cut)
    }

    /// Short name, for counters and logs.
    pub const fn code(self) -> &'static str {
        match self {
            Self::NotSent => "not-sent",
            Self::Rejected => "rejected",
            Self::OtherEndpoint => "other-endpoint",
            Self::Lost => "lost",
            Self::Foreign => "foreign-answer",
            Self::Slow => "slow",
            Self::Failed => "failed",
            Self::Cut => "cut",
        }
    }
}
