//! Why a call to the platform did not do what was asked.

use derive_more::{Debug, Display, Error};
use medlarrill_core::clock::Millis;

use super::model::Version;
use super::role::Ending;

/// Result of a call.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a call did not do what was asked.
///
/// Only `Unknown` leaves open whether a write took effect, and it may do so
/// late: read the object back before writing again.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug, Display, Error)]
pub enum Error {
    /// The condition did not hold; nothing was written.
    #[display("the object has another version")]
    Precondition {
        /// The present version; none if the object is absent.
        present: Option<Version>,
    },
    /// There is no such object.
    #[display("there is no such object")]
    NotFound,
    /// The revision asked for is no longer held: list again.
    #[display("the revision is no longer held")]
    Gone,
    /// The object, or the answer to a read, is too large; nothing was written.
    #[display("more than {limit} bytes")]
    TooLarge {
        /// The limit, in bytes.
        limit: u64,
    },
    /// Certainly not done.
    #[display("not done: {why}")]
    NotDone {
        /// What stood against it.
        #[error(not(source))]
        why: Refusal,
        /// When a retry may help, if that is known.
        after: Option<Millis>,
    },
    /// Sent, with no whole answer: it may have taken effect or still may.
    #[display("it may have been done: {cause}")]
    Unknown {
        /// What went wrong, in words.
        cause: String,
    },
    /// The answer to a read can't be read.
    #[display("the platform's answer can't be read: {cause}")]
    Malformed {
        /// What is wrong with it.
        cause: String,
    },
}

/// What stood against a call that was certainly not done.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Debug, Display)]
pub enum Refusal {
    /// The role's budget here is spent.
    #[display("the role's budget is spent")]
    Budget,
    /// The platform looks down, and another call is finding out.
    #[display("the platform looks down")]
    Down,
    /// No connection could be made in time.
    #[display("the platform can't be reached")]
    Unreachable,
    /// The platform answered 503.
    #[display("the platform is unavailable")]
    Unavailable,
    /// The platform answered 429.
    #[display("the platform's budget is spent")]
    Throttled,
    /// The call is wrong and would be refused again.
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

    /// The name that counters give it.
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

    /// Whether the platform itself, or the way to it, failed.
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
