//! Hashes of idempotency keys and digests of requests.

use std::str::FromStr;

use bytes::Bytes;
use derive_more::{Debug, Display, Error};

use crate::ids::InstitutionId;

/// Result of reading a hash.
pub type Result<T> = std::result::Result<T, HashError>;

/// A hash of the wrong length, or with characters other than hexadecimal digits.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug, Display, Error)]
#[display("a hash has {HASH_LEN} bytes, or twice as many hexadecimal digits")]
pub struct HashError;

/// Length of a hash, in bytes.
const HASH_LEN: usize = 32;

macro_rules! hash {
    ($(#[$doc:meta] $name:ident),+ $(,)?) => {$(
        #[$doc]
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Debug, Display)]
        #[debug("{}", hex::encode(_0))]
        #[display("{}", hex::encode(_0))]
        pub struct $name(pub [u8; HASH_LEN]);

        impl $name {
            /// Decodes a hash of 32 bytes.
            pub fn from_bytes(bytes: &[u8]) -> Result<Self> {
                bytes.try_into().map(Self).map_err(|_| HashError)
            }

            /// Encodes the hash as 32 bytes.
            pub fn to_bytes(self) -> Bytes {
                Bytes::copy_from_slice(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = HashError;

            fn from_str(text: &str) -> Result<Self> {
                let mut bytes = [0; HASH_LEN];
                hex::decode_to_slice(text, &mut bytes).map_err(|_| HashError)?;
                Ok(Self(bytes))
            }
        }
    )+};
}

hash! {
    /// BLAKE3 hash of an institution and an idempotency key.
    KeyHash,
    /// BLAKE3 digest of a request's method, path and body.
    Digest,
}

/// Hashes one field with its length as prefix, so that different lists of fields differ.
fn update(hasher: &mut blake3::Hasher, field: &[u8]) {
    hasher.update(&(field.len() as u64).to_be_bytes());
    hasher.update(field);
}

fn digest(fields: &[&[u8]]) -> [u8; HASH_LEN] {
    let mut hasher = blake3::Hasher::new();
    for field in fields {
        update(&mut hasher, field);
    }
    *hasher.finalize().as_bytes()
}

impl KeyHash {
    /// Hashes an idempotency key together with its institution.
    pub fn of(institution: &InstitutionId, key: &[u8]) -> Self {
        Self(digest(&[institution.as_str().as_bytes(), key]))
    }
}

impl Digest {
    /// Hashes a request's method, path and body.
    pub fn of(method: &str, path: &str, body: &[u8]) -> Self {
        Self(digest(&[method.as_bytes(), path.as_bytes(), body]))
    }
}

/// The shard of a key, from 0 to `shards` - 1.
pub fn shard_of(key: &KeyHash, shards: u16) -> u16 {
    let [a, b, c, d, ..] = key.0;
    let number = u32::from_be_bytes([a, b, c, d]);
    u16::try_from(number % u32::from(shards.max(1))).unwrap_or(0)
}
