//! An institution, its contract, accounts and rules.

use std::collections::BTreeMap;

use derive_more::{Debug, Display};
use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};

use crate::clock::Millis;
use crate::ids::{AccountId, PoolId};
use crate::units::Rate;

/// Configuration of one institution.
#[derive(Clone, PartialEq, Default)]
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Institution {
    /// Terms of service.
    pub contract: Contract,
    /// Its client accounts.
    pub accounts: BTreeMap<AccountId, Account>,
    /// Rules that map requests to pools; the longest matching route wins.
    pub rules: Vec<Rule>,
}

/// Terms of one institution.
#[derive(Clone, PartialEq)]
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Contract {
    /// Weight in an endpoint's queue, relative to other institutions.
    pub share: u32,
    /// How long a claimed idempotency key is retained.
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

/// Configuration of one client account.
#[derive(Clone, PartialEq)]
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Hash of its bearer key.
    pub key: KeyHash,
    /// Limit of requests per second, over the fleet.
    #[serde(default = "default_rate")]
    pub rate: Rate,
    /// Limit of requests in flight, over the fleet.
    #[serde(default = "default_concurrency")]
    pub concurrency: u32,
}

impl Account {
    /// An account with the default limits.
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
    /// Computes the hash of a bearer key.
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

/// Maps the requests of one route to a pool.
#[derive(Clone, PartialEq)]
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Path prefix, such as `/v1/chat/completions`.
    pub route: String,
    /// The requested model; any if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// The pool that serves the requests.
    pub pool: PoolId,
    /// Whether the requests may safely run twice.
    pub idempotent: bool,
}
