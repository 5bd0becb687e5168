//! Why a request isn't sent to another endpoint.

use derive_more::Debug;

/// Why a request isn't sent to another endpoint.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub enum Obstacle {
    /// It may run only once, and may have run.
    NotIdempotent,
    /// It was sent to as many endpoints as its route allows.
    Attempts,
    /// Its deadline is over, or nearly.
    Deadline,
    /// No other endpoint takes work.
    NoEndpoint,
    /// The retry budget is spent.
    Budget,
    /// It may have crashed its endpoint.
    Suspect,
    /// Another endpoint was sent it already.
    InFlight,
    /// So many endpoints are silent that another one most likely is, too.
    CommonSilence,
}

impl Obstacle {
    /// Short name, for metrics and logs.
    pub const fn code(self) -> &'static str {
        match self {
            Self::NotIdempotent => "not-idempotent",
            Self::Attempts => "attempts",
            Self::Deadline => "deadline",
            Self::NoEndpoint => "no-endpoint",
            Self::Budget => "budget",
            Self::Suspect => "suspect",
            Self::InFlight => "in-flight",
            Self::CommonSilence => "common-silence",
        }
    }
}
