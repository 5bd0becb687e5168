//! Content digests, which name immutable objects.

use std::str::FromStr;

use derive_more::{Debug, Display};
use serde_with::{DeserializeFromStr, SerializeDisplay};

use super::PART_PREFIX;

/// BLAKE3 digest of an object's bytes, in hexadecimal.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Debug, Display, SerializeDisplay, DeserializeFromStr)]
#[debug("{}", hex::encode(_0))]
#[display("{}", hex::encode(_0))]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Computes the digest of an object's bytes.
    pub fn of(bytes: &[u8]) -> Self {
        Self(*blake3::hash(bytes).as_bytes())
    }

    /// Key of the part with this digest in the platform's object API.
    pub fn key(&self) -> String {
        format!("{PART_PREFIX}{self}")
    }

    /// Decodes a digest from a message; `None` unless there are exactly 32 bytes.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }
}

impl FromStr for Digest {
    type Err = hex::FromHexError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(text, &mut bytes)?;
        Ok(Self(bytes))
    }
}
