//! Reports of endpoints, and orders to engines.

use derive_more::{Debug, Display};
use medlarrill_core::clock::Millis;
use serde::{Deserialize, Serialize};

/// Whether an endpoint accepts new work.
#[derive(Clone, Copy, PartialEq, Eq, Default)]
#[derive(Debug, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It accepts work.
    #[display("ready")]
    Ready,
    /// It accepts none and will stop.
    #[display("leaving")]
    Leaving,
    /// A value not known to this version; treated as not ready.
    #[default]
    #[display("unknown")]
    #[serde(other)]
    Unknown,
}

/// An endpoint's health report.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug, Serialize, Deserialize)]
pub struct Health {
    /// Whether it accepts new work.
    pub state: State,
}

/// An endpoint's load report; it lags behind the actual load.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug, Serialize, Deserialize)]
pub struct Load {
    /// Time of the measurement, by the endpoint's wall clock.
    #[serde(with = "crate::http::plain_millis")]
    pub as_of: Millis,
    /// Requests running.
    pub running: u64,
    /// Requests waiting.
    pub waiting: u64,
    /// Estimated outstanding work, in tokens.
    #[serde(default)]
    pub tokens: u64,
    /// Requests that it can run at once.
    #[serde(default)]
    pub slots: u64,
    /// Whether it accepts new work.
    pub state: State,
    /// Prefix cache; model engines only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cache: Option<CacheLoad>,
}

/// Usage of a model engine's prefix cache.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug, Serialize, Deserialize)]
pub struct CacheLoad {
    /// Cached tokens.
    pub used: u64,
    /// Capacity, in tokens.
    pub capacity: u64,
    /// Age of the last evicted entry, in milliseconds; absent if none was evicted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub eviction_age: Option<u64>,
}

/// Cache events after a sequence number.
#[derive(Clone, PartialEq, Eq, Default)]
#[derive(Debug, Serialize, Deserialize)]
pub struct CacheEvents {
    /// In the order of their sequence numbers, which may have gaps.
    pub events: Vec<CacheEvent>,
}

/// Event of one prefix in the cache.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number.
    pub seq: u64,
    /// Kind of event.
    pub kind: CacheKind,
    /// Hash of the prefix, in hexadecimal.
    pub prefix: String,
    /// Length of the prefix, in tokens.
    pub tokens: u64,
}

/// Kind of a cache event.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheKind {
    /// The prefix was cached.
    Stored,
    /// The prefix was evicted.
    Evicted,
    /// A value not known to this version.
    #[serde(other)]
    Unknown,
}

/// An engine's model, adapters, version and role.
#[derive(Clone, PartialEq, Eq, Default)]
#[derive(Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct EndpointState {
    /// Loaded model.
    pub model: String,
    /// Loaded adapters.
    pub adapters: Vec<String>,
    /// Version of the model.
    pub version: String,
    /// Role, such as `prefill`, `decode` or `both`.
    pub role: String,
    /// Fencing number of the last accepted order.
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

/// An engine's response to an order.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub enum OrderAnswer {
    /// The engine accepted it.
    Taken,
    /// The engine has accepted an order with a higher fencing number.
    Fenced {
        /// The engine's current fencing number.
        fence: u64,
    },
}
