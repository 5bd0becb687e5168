//! A pool: endpoints that serve the same model or service, with the same limits.

use derive_more::{Debug, Display, FromStr};
use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::ids::ModelId;

/// Kind of a pool's endpoints.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug, Display, FromStr, Serialize, Deserialize)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum PoolKind {
    /// Model engines, which stream tokens and keep a prefix cache.
    Model,
    /// Plain services.
    Service,
}

/// Whether a request that an endpoint refused may have run.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug, Display, FromStr, Serialize, Deserialize)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum RefusalMeaning {
    /// A refused request did not run.
    NotRun,
    /// A refused request may have run.
    Unknown,
}

/// Configuration of one pool.
#[derive(Clone, PartialEq)]
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The kind of its endpoints.
    pub kind: PoolKind,
    /// The model served, for a model pool.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<ModelId>,
    /// Largest load of an endpoint as a multiple of the pool's mean.
    #[serde(default = "default_load_bound")]
    pub load_bound: f64,
    /// Requests that an endpoint runs at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Requests that may wait at one endpoint's home.
    #[serde(default = "default_queue")]
    pub queue: u32,
    /// Whether a request that an endpoint refused may have run.
    #[serde(default = "default_refusal")]
    pub refusal: RefusalMeaning,
    /// Longest wait for an endpoint's first byte.
    #[serde(default = "default_first_byte")]
    pub first_byte: Millis,
    /// Longest gap between two pieces of a response.
    #[serde(default = "default_gap")]
    pub gap: Millis,
}

/// Default load bound, as a multiple of the pool's mean load.
pub const DEFAULT_LOAD_BOUND: f64 = 1.25;

const fn default_load_bound() -> f64 {
    DEFAULT_LOAD_BOUND
}

const fn default_slots() -> u32 {
    16
}

const fn default_queue() -> u32 {
    64
}

const fn default_refusal() -> RefusalMeaning {
    RefusalMeaning::Unknown
}

const fn default_first_byte() -> Millis {
    Millis::from_secs(30)
}

const fn default_gap() -> Millis {
    Millis::from_secs(30)
}

impl Pool {
    /// A pool with the default limits.
    pub const fn new(kind: PoolKind) -> Self {
        Self {
            kind,
            model: None,
            load_bound: default_load_bound(),
            slots: default_slots(),
            queue: default_queue(),
            refusal: default_refusal(),
            first_byte: default_first_byte(),
            gap: default_gap(),
        }
    }
}
