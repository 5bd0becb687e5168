//! Evidence for or against a possible cause of crashes, as daemons send it to each other.

use derive_more::Debug;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Millis;
use crate::routing::fingerprint::Fingerprint;

/// One observation about a possible cause.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Debug)]
pub enum Finding {
    /// An endpoint, by its short id, was lost while it ran a request with the cause.
    Lost(u32),
    /// The same, when it had been answering the request for long.
    LostLate(u32),
    /// A request with the cause got a complete response; its age is that of the response's head.
    Served,
}

impl Finding {
    /// Short id of the endpoint that was lost; `None` for [`Self::Served`].
    pub const fn endpoint(self) -> Option<u32> {
        match self {
            Self::Lost(endpoint) | Self::LostLate(endpoint) => Some(endpoint),
            Self::Served => None,
        }
    }

    /// Whether an endpoint was lost that had been answering for long.
    pub const fn is_late(self) -> bool {
        matches!(self, Self::LostLate(_))
    }
}

/// A finding about one possible cause.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub struct Evidence {
    /// Identifies the cause: a request, or a part of a prompt.
    pub fingerprint: Fingerprint,
    /// What was observed.
    pub finding: Finding,
    /// Time since then.
    pub age: Millis,
}

impl Evidence {
    /// Its contribution to the digest of all losses. Clearances contribute nothing: each daemon
    /// renews and drops them by itself.
    pub fn digest(&self) -> u64 {
        let lost = self.finding.endpoint();
        lost.map_or(0, |endpoint| {
            xxh3_64_with_seed(&endpoint.to_le_bytes(), self.fingerprint.0)
        })
    }
}

/// The evidence that a daemon holds.
#[derive(Clone, PartialEq, Eq, Default)]
#[derive(Debug)]
pub struct Snapshot {
    /// Equal at all daemons that hold the same losses; zero without any.
    pub digest: u64,
    /// All evidence.
    pub all: Vec<Evidence>,
    /// Evidence that was learned within the last second.
    pub fresh: Vec<Evidence>,
    /// The part of `fresh` that this daemon observed itself.
    pub own: Vec<Evidence>,
}
