//! Why a request is answered without a response of an endpoint.

use derive_more::{Debug, Display};

use crate::clock::Millis;

/// Why a request is answered without a response of an endpoint.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Debug, Display)]
pub enum Refusal {
    /// It didn't run and won't; the caller may retry.
    #[display("not-run")]
    NotRun,
    /// Its pool is overloaded; it didn't run and won't.
    #[display("overloaded")]
    Overloaded {
        /// Time after which the caller may retry.
        wait: Millis,
    },
    /// No endpoint of its pool accepts requests; it didn't run and won't.
    #[display("unavailable")]
    Unavailable {
        /// Time after which the caller may retry.
        wait: Millis,
    },
    /// Requests like it, or with the same part in their prompts, crashed the endpoints that ran them;
    /// this one didn't run and won't.
    #[display("quarantined")]
    Quarantined {
        /// Time after which the caller may retry.
        wait: Millis,
    },
    /// The stream can't go on: the software version that began it isn't known, or has no endpoint
    /// that takes work; this attempt didn't run and won't.
    #[display("not-resumable")]
    NotResumable,
    /// It may have run, but no complete response arrived.
    #[display("unknown")]
    Unknown,
    /// It may have run, and its deadline has passed.
    #[display("timeout")]
    Timeout,
}
