//! Why a request got no whole answer: stable codes for callers and counters.

use derive_more::Display;

use crate::outcome::Outcome;

/// Result of reading a reason code.
pub type Result<T> = std::result::Result<T, UnknownReason>;

/// A code that names no reason.
#[derive(Clone, PartialEq, Eq, Debug)]
#[derive(Display, derive_more::Error)]
#[display("`{code}` is not a reason code")]
pub struct UnknownReason {
    /// The code as given.
    code: String,
}

macro_rules! reasons {
    ($($(#[$doc:meta])+ $name:ident: $code:literal, $status:literal, $outcome:ident, $retry:literal, $title:literal;)+) => {
        /// Why a request was refused or broken off.
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Debug)]
        pub enum Reason {
            $($(#[$doc])+ $name,)+
        }

        impl Reason {
            /// Every reason, in the order of its declaration.
            pub const ALL: &[Self] = &[$(Self::$name,)+];

            /// The stable code in answers and counters.
            pub const fn code(self) -> &'static str {
                match self { $(Self::$name => $code,)+ }
            }

            /// The HTTP status that goes with it.
            pub const fn status(self) -> u16 {
                match self { $(Self::$name => $status,)+ }
            }

            /// What it says of the request, unless more is known.
            pub const fn outcome(self) -> Outcome {
                match self { $(Self::$name => Outcome::$outcome,)+ }
            }

            /// Whether coming back later helps.
            pub const fn retryable(self) -> bool {
                match self { $(Self::$name => $retry,)+ }
            }

            /// A short sentence for people.
            pub const fn title(self) -> &'static str {
                match self { $(Self::$name => $title,)+ }
            }
        }
    };
}

// Name: code, HTTP status, outcome, retryable, title.
reasons! {
    /// The body or a header can't be read.
    BadRequest: "bad-request", 400, NotRun, false, "The request can't be read.";
    /// No known key was given.
    Unauthorised: "unauthorised", 401, NotRun, false, "The key is missing or not known.";
    /// The account may not use this.
    Forbidden: "forbidden", 403, NotRun, false, "The account may not use this.";
    /// No rule or pool serves this route.
    NoRoute: "no-route", 404, NotRun, false, "No rule serves this route.";
    /// No such request is known here.
    NoRequest: "no-request", 404, Unknown, false, "No such request is known.";
    /// Headers or body took too long to arrive.
    SlowRequest: "slow-request", 408, NotRun, true, "The request took too long to arrive.";
    /// Headers or body are over the limit.
    TooLarge: "too-large", 413, NotRun, false, "The request is too large.";
    /// A non-idempotent request without a key.
    KeyMissing: "key-missing", 400, NotRun, false, "This route needs an Idempotency-Key.";
    /// The key was used for another request.
    KeyReused: "key-reused", 422, NotRun, false, "The Idempotency-Key was used for another request.";
    /// The key's request is still running.
    KeyRunning: "key-running", 409, Ran, true, "A request with this key is still running.";
    /// The key's request ran and its answer is no longer held.
    KeyRan: "key-ran", 409, Ran, false, "A request with this key has run; its answer is no longer held.";
    /// The key's request may have run.
    KeyUnknown: "key-unknown", 409, Unknown, false, "A request with this key may have run.";
    /// The right to run can't be had from the platform.
    ClaimUnavailable: "claim-unavailable", 503, NotRun, true, "The right to run this once can't be recorded now.";
    /// The ticket is not known or not of a live daemon.
    TicketUnknown: "ticket-unknown", 409, Unknown, false, "The ticket is not held by any daemon.";
    /// The ticket expired before it was used.
    TicketExpired: "ticket-expired", 410, NotRun, false, "The ticket expired unused.";
    /// The account's rate is used up.
    AccountRate: "account-rate", 429, NotRun, true, "The account's rate is used up.";
    /// The account's concurrency is used up.
    AccountConcurrency: "account-concurrency", 429, NotRun, true, "The account has too many requests in flight.";
    /// The home's queue is full.
    QueueFull: "queue-full", 503, NotRun, true, "The queue is full.";
    /// The request would not be served in time.
    Deadline: "deadline", 503, NotRun, true, "The request can't be served in time.";
    /// Every endpoint of the pool is at its bound.
    PoolFull: "pool-full", 503, NotRun, true, "Every endpoint is at its load bound.";
    /// No endpoint of the pool takes new work.
    NoEndpoint: "no-endpoint", 503, NotRun, true, "No endpoint takes new work.";
    /// Retries have used up their budget.
    RetryBudget: "retry-budget", 503, NotRun, true, "Too much of the work is retries.";
    /// This daemon is stopping.
    Stopping: "stopping", 503, NotRun, true, "This daemon is stopping.";
    /// This daemon has no configuration or was paused.
    NotReady: "not-ready", 503, NotRun, true, "This daemon is not ready.";
    /// The daemon in charge was lost before it answered.
    HomeLost: "home-lost", 503, Unknown, true, "The daemon in charge was lost.";
    /// The endpoint refused.
    EndpointRefused: "endpoint-refused", 502, Unknown, true, "The endpoint refused the request.";
    /// The endpoint was lost before its whole answer.
    EndpointLost: "endpoint-lost", 502, Unknown, true, "The endpoint was lost.";
    /// The endpoint took too long.
    EndpointTimeout: "endpoint-timeout", 504, Unknown, true, "The endpoint took too long.";
    /// The answer has a gap that can't be filled.
    StreamCut: "stream-cut", 502, Ran, true, "The answer was cut short.";
    /// The caller went away.
    Cancelled: "cancelled", 499, Unknown, false, "The caller went away.";
    /// A fault of this fleet.
    Internal: "internal", 500, Unknown, false, "A fault in the router fleet.";
}

impl std::fmt::Display for Reason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.code())
    }
}

impl std::str::FromStr for Reason {
    type Err = UnknownReason;

    fn from_str(text: &str) -> Result<Self> {
        Self::ALL
            .iter()
            .copied()
            .find(|reason| reason.code() == text)
            .ok_or_else(|| UnknownReason { code: text.into() })
    }
}
