//! An institution, its contract, accounts and rules.

use std::collections::BTreeMap;

use derive_more::{Debug, Display};
use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};

use crate::clock::Millis;
use crate::ids::{AccountId, PoolId};
use crate::units::Rate;

/// One institution.
#[derive(Clone, PartialEq, Default)]
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Institution {
    /// Its terms.
    pub contract: Contract,
    /// Its client accounts.
    pub accounts: BTreeMap<AccountId, Account>,
    /// Where its requests go; the longest matching route wins.
    pub rules: Vec<Rule>,
}

/// Terms of one institution.
#[derive(Clone, PartialEq)]
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Contract {
    /// Weight in an endpoint's queue, against other institutions.
    pub share: u32,
    /// How long a claimed idempotency key is remembered.
    pub key_lifetime: Millis,
    /// Longest time a request may wait before it runs.
    pub queue_wait: Millis,
}

impl Default for Contract {
    fn default() -> Self {
        Self {
            share: 1,
            key_lifetime: Millis::from_secs(24 * 3600),
            queue_wait: Millis::from_secs(10),
        }
    }
}

/// One client account.
#[derive(Clone, PartialEq)]
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Hash of its bearer key.
    pub key: KeyHash,
    /// Requests a second, over the whole fleet.
    #[serde(default = "default_rate")]
    pub rate: Rate,
    /// Requests in flight, over the whole fleet.
    #[serde(default = "default_concurrency")]
    pub concurrency: u32,
}

impl Account {
    /// An account with the usual limits.
    pub const fn new(key: KeyHash) -> Self {
        Self {
            key,
            rate: default_rate(),
            concurrency: default_concurrency(),
        }
    }
}

const fn default_rate() -> Rate {
    Rate(100.0)
}

const fn default_concurrency() -> u32 {
    1000
}

/// BLAKE3 hash of a bearer key, in hexadecimal.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Debug, Display, SerializeDisplay, DeserializeFromStr)]
#[debug("{}", hex::encode(_0))]
#[display("{}", hex::encode(_0))]
pub struct KeyHash(pub [u8; 32]);

impl KeyHash {
    /// Hashes a bearer key.
    pub fn of(key: &[u8]) -> Self {
        Self(*blake3::hash(key).as_bytes())
    }
}

impl std::str::FromStr for KeyHash {
    type Err = hex::FromHexError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(text, &mut bytes)?;
        Ok(Self(bytes))
    }
}

/// Where one route's requests go, and whether they may run twice.
#[derive(Clone, PartialEq)]
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Path prefix, such as `/v1/chat/completions`.
    pub route: String,
    /// The model asked for; any if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// The pool that serves it.
    pub pool: PoolId,
    /// Whether a second run does no harm.
    pub idempotent: bool,
}
