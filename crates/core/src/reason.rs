//! Reasons why a request got no complete response, with stable codes for callers and metrics.

use derive_more::Display;

use crate::outcome::Outcome;

/// Result of parsing a reason code.
pub type Result<T> = std::result::Result<T, UnknownReason>;

/// A text that is not a reason code.
#[derive(Clone, PartialEq, Eq, Debug)]
#[derive(Display, derive_more::Error)]
#[display("`{code}` is not a reason code")]
pub struct UnknownReason {
    /// The rejected text.
    code: String,
}

macro_rules! reasons {
    ($($(#[$doc:meta])+ $name:ident: $code:literal, $status:literal, $outcome:ident, $retry:literal, $title:literal;)+) => {
        /// Why a request was refused or aborted.
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Debug)]
        pub enum Reason {
            $($(#[$doc])+ $name,)+
        }

        impl Reason {
            /// All reasons, in the order of declaration.
            pub const ALL: &[Self] = &[$(Self::$name,)+];

            /// The stable code used in responses and metrics.
            pub const fn code(self) -> &'static str {
                match self { $(Self::$name => $code,)+ }
            }

            /// The HTTP status of the response.
            pub const fn status(self) -> u16 {
                match self { $(Self::$name => $status,)+ }
            }

            /// Whether the request was executed, as far as the reason alone tells.
            pub const fn outcome(self) -> Outcome {
                match self { $(Self::$name => Outcome::$outcome,)+ }
            }

            /// Whether a later retry may succeed.
            pub const fn retryable(self) -> bool {
                match self { $(Self::$name => $retry,)+ }
            }

            /// A short sentence for people, sent with the code.
            pub const fn title(self) -> &'static str {
                match self { $(Self::$name => $title,)+ }
            }
        }
    };
}

// Name: code, HTTP status, outcome, retryable, title.
reasons! {
    /// The body or a header can't be parsed.
    BadRequest: "bad-request", 400, NotRun, false, "The request can't be read.";
    /// The API key is missing or unknown.
    Unauthorised: "unauthorised", 401, NotRun, false, "The key is missing or not known.";
    /// The client account is not allowed to make the request.
    Forbidden: "forbidden", 403, NotRun, false, "The account may not use this.";
    /// No rule or pool matches the route.
    NoRoute: "no-route", 404, NotRun, false, "No rule serves this route.";
    /// The request id is not known.
    NoRequest: "no-request", 404, Unknown, false, "No such request is known.";
    /// The headers or the body took too long to arrive.
    SlowRequest: "slow-request", 408, NotRun, true, "The request took too long to arrive.";
    /// The headers or the body exceed the size limit.
    TooLarge: "too-large", 413, NotRun, false, "The request is too large.";
    /// A non-idempotent request has no idempotency key.
    KeyMissing: "key-missing", 400, NotRun, false, "This route needs an Idempotency-Key.";
    /// The idempotency key was used for another request.
    KeyReused: "key-reused", 422, NotRun, false, "The Idempotency-Key was used for another request.";
    /// The request with this idempotency key is still running.
    KeyRunning: "key-running", 409, Ran, true, "A request with this key is still running.";
    /// The request with this idempotency key ran, and its response is no longer stored.
    KeyRan: "key-ran", 409, Ran, false, "A request with this key has run; its answer is no longer held.";
    /// The request with this idempotency key may have run.
    KeyUnknown: "key-unknown", 409, Unknown, false, "A request with this key may have run.";
    /// The claim to the idempotency key can't be obtained from the platform.
    ClaimUnavailable: "claim-unavailable", 503, NotRun, true, "The right to run this once can't be recorded now.";
    /// The ticket is unknown, or its daemon is not live.
    TicketUnknown: "ticket-unknown", 409, Unknown, false, "The ticket is not held by any daemon.";
    /// The ticket expired before it was used; nothing was executed.
    TicketExpired: "ticket-expired", 410, NotRun, false, "The ticket expired unused.";
    /// The client account has reached its rate limit.
    AccountRate: "account-rate", 429, NotRun, true, "The account's rate is used up.";
    /// The client account has reached its concurrency limit.
    AccountConcurrency: "account-concurrency", 429, NotRun, true, "The account has too many requests in flight.";
    /// The home's queue for the endpoint is full.
    QueueFull: "queue-full", 503, NotRun, true, "The queue is full.";
    /// The request can't be served before its deadline.
    Deadline: "deadline", 503, NotRun, true, "The request can't be served in time.";
    /// Every endpoint of the pool is at its load bound.
    PoolFull: "pool-full", 503, NotRun, true, "Every endpoint is at its load bound.";
    /// No endpoint of the pool accepts new work.
    NoEndpoint: "no-endpoint", 503, NotRun, true, "No endpoint takes new work.";
    /// The pool's retry budget is used up.
    RetryBudget: "retry-budget", 503, NotRun, true, "Too much of the work is retries.";
    /// This daemon is shutting down.
    Stopping: "stopping", 503, NotRun, true, "This daemon is stopping.";
    /// This daemon has no configuration yet, or was paused.
    NotReady: "not-ready", 503, NotRun, true, "This daemon is not ready.";
    /// The home that handled the request was lost before it answered.
    HomeLost: "home-lost", 503, Unknown, true, "The daemon in charge was lost.";
    /// The endpoint refused the request.
    EndpointRefused: "endpoint-refused", 502, Unknown, true, "The endpoint refused the request.";
    /// The endpoint was lost before its response was complete.
    EndpointLost: "endpoint-lost", 502, Unknown, true, "The endpoint was lost.";
    /// The endpoint exceeded a timeout.
    EndpointTimeout: "endpoint-timeout", 504, Unknown, true, "The endpoint took too long.";
    /// The response was cut short, or has a gap that can't be filled.
    StreamCut: "stream-cut", 502, Ran, true, "The answer was cut short.";
    /// The caller disconnected.
    Cancelled: "cancelled", 499, Unknown, false, "The caller went away.";
    /// An internal error of the router fleet.
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
