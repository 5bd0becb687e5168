//! Recognises retries of the same request by its content.
//!
//! A caller that retries a request gives it a new id and may reach another
//! daemon, but its host, path, client account and body stay the same.

use std::num::ParseIntError;
use std::str::FromStr;

use derive_more::{Debug, Display};
use xxhash_rust::xxh3::Xxh3;

use crate::ids::AccountId;

/// Hash of a request's host, path, client account and body.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Debug, Display)]
#[debug("{self}")]
#[display("{_0:016x}")]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// The fingerprint of a request; `path` includes the query.
    pub fn new(host: &str, path: &str, account: Option<&AccountId>, body: &[u8]) -> Self {
        let account = account.map_or("", AccountId::as_str);
        let parts = [host.as_bytes(), path.as_bytes(), account.as_bytes(), body];
        Self(hash_parts(parts))
    }
}

/// Hashes several parts to one number.
pub(super) fn hash_parts<const N: usize>(parts: [&[u8]; N]) -> u64 {
    let mut hash = Xxh3::new();
    for part in parts {
        // Hashing the lengths distinguishes parts that are equal when concatenated.
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.digest()
}

impl FromStr for Fingerprint {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}
