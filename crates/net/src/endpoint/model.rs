//! What endpoints say of themselves, and the orders they take.

use derive_more::{Debug, Display};
use medlarrill_core::clock::Millis;
use serde::{Deserialize, Serialize};

/// Whether an endpoint takes new work.
#[derive(Clone, Copy, PartialEq, Eq, Default)]
#[derive(Debug, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It does.
    #[display("ready")]
    Ready,
    /// It does not, and will stop.
    #[display("leaving")]
    Leaving,
    /// A word not known here; not ready.
    #[default]
    #[display("unknown")]
    #[serde(other)]
    Unknown,
}

/// An endpoint's answer about its health.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug, Serialize, Deserialize)]
pub struct Health {
    /// Whether it takes new work.
    pub state: State,
}

/// An endpoint's report of its load, which lags.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug, Serialize, Deserialize)]
pub struct Load {
    /// When it was taken, by the endpoint's wall clock.
    #[serde(with = "crate::http::plain_millis")]
    pub as_of: Millis,
    /// Requests running.
    pub running: u64,
    /// Requests waiting.
    pub waiting: u64,
    /// Estimated work in hand, in tokens.
    #[serde(default)]
    pub tokens: u64,
    /// Requests that it runs at once.
    #[serde(default)]
    pub slots: u64,
    /// Whether it takes new work.
    pub state: State,
    /// Its prefix cache, for a model engine.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cache: Option<CacheLoad>,
}

/// A model engine's report of its prefix cache.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug, Serialize, Deserialize)]
pub struct CacheLoad {
    /// Cached, in tokens.
    pub used: u64,
    /// Room, in tokens.
    pub capacity: u64,
    /// Age of the entry evicted last, in milliseconds; absent if none was.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub eviction_age: Option<u64>,
}

/// Cache events after a sequence number.
#[derive(Clone, PartialEq, Eq, Default)]
#[derive(Debug, Serialize, Deserialize)]
pub struct CacheEvents {
    /// In the order of their numbers, with gaps.
    pub events: Vec<CacheEvent>,
}

/// A prefix that was cached or evicted.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number.
    pub seq: u64,
    /// What happened.
    pub kind: CacheKind,
    /// Hash of the prefix, in hexadecimal.
    pub prefix: String,
    /// Length of the prefix, in tokens.
    pub tokens: u64,
}

/// What happened to a prefix.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheKind {
    /// It was cached.
    Stored,
    /// It was evicted.
    Evicted,
    /// A word not known here.
    #[serde(other)]
    Unknown,
}

/// An engine's model, adapters, version and role.
#[derive(Clone, PartialEq, Eq, Default)]
#[derive(Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct EndpointState {
    /// Model loaded.
    pub model: String,
    /// Adapters loaded.
    pub adapters: Vec<String>,
    /// Version of the model.
    pub version: String,
    /// Role, such as `prefill`, `decode` or `both`.
    pub role: String,
    /// Fencing number of the last order.
    pub fence: u64,
}

/// What an order changes.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Debug, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderKind {
    /// Load a model.
    #[display("load-model")]
    LoadModel,
    /// Load an adapter.
    #[display("load-adapter")]
    LoadAdapter,
    /// Set the model's version.
    #[display("set-version")]
    SetVersion,
    /// Set the role.
    #[display("set-role")]
    SetRole,
}

/// An order to an engine.
#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(Debug, Serialize, Deserialize)]
pub struct Order {
    /// What it changes.
    pub kind: OrderKind,
    /// The model, adapter, version or role.
    pub name: String,
}

/// An engine's answer to an order.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub enum OrderAnswer {
    /// It was taken.
    Taken,
    /// Its number was older than the one the engine holds.
    Fenced {
        /// The number that the engine holds.
        fence: u64,
    },
}
