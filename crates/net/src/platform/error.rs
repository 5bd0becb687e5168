//! Errors of calls to the platform.

use derive_more::{Debug, Display, Error};
use medlarrill_core::clock::Millis;

use super::model::Version;
use super::role::Ending;

/// Result of a call.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a call failed.
///
/// After `Unknown` alone, a write may have taken effect or may do so later: read
/// the object back before writing again.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug, Display, Error)]
pub enum Error {
    /// The precondition failed; nothing was written.
    #[display("the object has another version")]
    Precondition {
        /// The current version; `None` if the object does not exist.
        present: Option<Version>,
    },
    /// The object does not exist.
    #[display("there is no such object")]
    NotFound,
    /// The platform no longer holds the revision: list again.
    #[display("the revision is no longer held")]
    Gone,
    /// The object, or the response to a read, is too large; nothing was written.
    #[display("more than {limit} bytes")]
    TooLarge {
        /// The limit, in bytes.
        limit: u64,
    },
    /// The call certainly had no effect.
    #[display("not done: {why}")]
    NotDone {
        /// The reason.
        #[error(not(source))]
        why: Refusal,
        /// Delay before a retry, if known.
        after: Option<Millis>,
    },
    /// Sent without a complete response: it may have taken effect, or may later.
    #[display("it may have been done: {cause}")]
    Unknown {
        /// Description of the error.
        cause: String,
    },
    /// The response to a read can't be parsed.
    #[display("the platform's answer can't be read: {cause}")]
    Malformed {
        /// Error of the parser.
        cause: String,
    },
}

/// Why a call certainly had no effect.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Debug, Display)]
pub enum Refusal {
    /// The role's budget is exhausted.
    #[display("the role's budget is spent")]
    Budget,
    /// The circuit breaker is open, or another call is probing the platform.
    #[display("the platform is considered down")]
    Down,
    /// No connection could be established in time.
    #[display("the platform can't be reached")]
    Unreachable,
    /// The platform answered 503.
    #[display("the platform is unavailable")]
    Unavailable,
    /// The platform answered 429.
    #[display("the platform's budget is spent")]
    Throttled,
    /// The call is invalid and would be rejected again.
    #[display("the platform rejects the call with status {_0}")]
    Rejected(u16),
}

impl Error {
    pub(super) const fn not_done(why: Refusal, after: Millis) -> Self {
        Self::NotDone {
            why,
            after: Some(after),
        }
    }

    pub(super) const fn rejected(status: u16) -> Self {
        Self::NotDone {
            why: Refusal::Rejected(status),
            after: None,
        }
    }

    pub(super) fn malformed(cause: impl ToString) -> Self {
        Self::Malformed {
            cause: cause.to_string(),
        }
    }

    /// The ending under which it is counted.
    pub const fn ending(&self) -> Ending {
        match self {
            Self::Precondition { .. } => Ending::Precondition,
            Self::NotFound => Ending::NotFound,
            Self::Gone => Ending::Gone,
            Self::TooLarge { .. } => Ending::TooLarge,
            Self::NotDone { why, .. } => why.ending(),
            Self::Unknown { .. } => Ending::Unknown,
            Self::Malformed { .. } => Ending::Malformed,
        }
    }

    /// Whether the platform, or the network to it, failed.
    pub(super) const fn is_outage(&self) -> bool {
        matches!(
            self.ending(),
            Ending::Unreachable | Ending::Unavailable | Ending::Unknown
        )
    }
}

impl Refusal {
    const fn ending(self) -> Ending {
        match self {
            Self::Budget => Ending::Budget,
            Self::Down => Ending::Down,
            Self::Unreachable => Ending::Unreachable,
            Self::Unavailable => Ending::Unavailable,
            Self::Throttled => Ending::Throttled,
            Self::Rejected(_) => Ending::Rejected,
        }
    }
}
