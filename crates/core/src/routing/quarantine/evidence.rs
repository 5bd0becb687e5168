//! What one daemon can tell another of a request.

use derive_more::Debug;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Millis;
use crate::routing::fingerprint::Fingerprint;

/// What speaks against a request, or for it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Debug)]
pub enum Finding {
    /// An endpoint, by its short id, was lost while it ran the request.
    Lost(u32),
    /// It was answered whole.
    Served,
}

impl Finding {
    /// The endpoint that was lost.
    pub const fn endpoint(self) -> Option<u32> {
        match self {
            Self::Lost(endpoint) => Some(endpoint),
            Self::Served => None,
        }
    }
}

/// A finding on one request.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub struct Evidence {
    /// The request.
    pub fingerprint: Fingerprint,
    /// What was found.
    pub finding: Finding,
    /// How long ago.
    pub age: Millis,
}

impl Evidence {
    /// Its part in the digest of all losses. Clearances have none: each daemon renews and drops
    /// them by itself.
    pub fn digest(&self) -> u64 {
        match self.finding {
            Finding::Lost(endpoint) => {
                xxh3_64_with_seed(&endpoint.to_le_bytes(), self.fingerprint.0)
            }
            Finding::Served => 0,
        }
    }
}

/// What a daemon holds, as others are to know it.
#[derive(Clone, PartialEq, Eq, Default)]
#[derive(Debug)]
pub struct Snapshot {
    /// The same at all daemons that hold the same losses; zero where there are none.
    pub digest: u64,
    /// All of it.
    pub all: Vec<Evidence>,
    /// What was learnt lately.
    pub fresh: Vec<Evidence>,
    /// What of that this daemon found itself.
    pub own: Vec<Evidence>,
}
