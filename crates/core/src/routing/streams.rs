//! Which software version began a stream, and where the stream may go on.
//!
//! What two software versions write doesn't fit together, and endpoints don't
//! check it: a stream may go on only at the version that began it. The daemon
//! that passes on its first event records the version ([`memory`]) and tells a few
//! other daemons, ranked by a hash of the stream ([`holders`]), also if it hears of
//! them only later ([`begun`]). A daemon that is asked to go on with a stream that
//! it doesn't know asks the same ones. Where none of them knows it, the platform
//! may ([`archive`]); else the version is certain only if the pool has had a single
//! one for longer than a stream lives ([`history`]); otherwise the request is
//! refused ([`lookup`]).

pub mod archive;
pub mod begun;
pub mod history;
pub mod holders;
pub mod lookup;
pub mod memory;
pub mod message;

use std::num::ParseIntError;
use std::str::FromStr;

use derive_more::{Debug, Display};

use crate::ids::{AccountId, PoolId};
use crate::routing::endpoint::Build;
use crate::routing::fingerprint::hash_parts;

/// Identifies a stream over all attempts of its caller: a hash of the client account, the host and
/// the path of its requests, and the id of the attempt that brought its first event. Another
/// account's requests never have the same key, whatever ids they name.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Debug, Display)]
#[debug("{self}")]
#[display("{_0:016x}")]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// The key of a stream; `path` doesn't include the query.
    pub fn new(account: Option<&AccountId>, host: &str, path: &str, attempt: &str) -> Self {
        let account = account.map_or("", AccountId::as_str);
        Self(hash_parts(
            [account, host, path, attempt].map(str::as_bytes),
        ))
    }
}

/// A pool and a software version, hashed for messages between daemons.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Debug, Display)]
#[debug("{self}")]
#[display("{_0:016x}")]
pub struct Origin(pub u64);

impl Origin {
    /// Stands for versions that may have served and that nobody knows.
    pub const UNKNOWN: Self = Self(0);

    /// The origin of streams that endpoints of this version in this pool begin.
    pub fn new(pool: &PoolId, build: &Build) -> Self {
        Self(hash_parts(
            [pool.as_str(), build.as_str()].map(str::as_bytes),
        ))
    }
}

/// A pool, hashed for messages between daemons.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Debug, Display)]
#[debug("{self}")]
#[display("{_0:016x}")]
pub struct PoolHash(pub u64);

impl From<&PoolId> for PoolHash {
    fn from(pool: &PoolId) -> Self {
        Self(hash_parts([pool.as_str().as_bytes()]))
    }
}

/// Parses the hexadecimal form that `Display` writes.
impl FromStr for PoolHash {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// Parses the hexadecimal form that `Display` writes.
impl FromStr for StreamKey {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// Parses the hexadecimal form that `Display` writes.
impl FromStr for Origin {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}
