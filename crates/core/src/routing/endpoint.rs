//! What the platform's list says of an endpoint.

use std::net::SocketAddr;

use derive_more::{Debug, Display, FromStr};
use serde::Deserialize;

use crate::clock::Millis;
use crate::ids::{DataCentreId, EndpointId, PoolId};

/// When an endpoint's process started: milliseconds since the Unix epoch, by its own clock.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize)]
#[derive(Debug, Display, FromStr)]
pub struct StartTime(pub u64);

/// One start of an endpoint's process. An endpoint that starts again under its id has lost its
/// cache, its queue and its connections; nothing that is known of one instance counts for another.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Debug, Display)]
#[debug("{self}")]
#[display("{endpoint}{}", started.map_or_else(String::new, |born| format!("@{born}")))]
pub struct InstanceId {
    /// The id in the platform's list.
    pub endpoint: EndpointId,
    /// When it started; none where the endpoint doesn't say.
    pub started: Option<StartTime>,
}

impl InstanceId {
    /// An instance of an endpoint.
    pub const fn new(endpoint: EndpointId, started: Option<StartTime>) -> Self {
        Self { endpoint, started }
    }
}

/// An endpoint as it is listed.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub struct Endpoint {
    /// The instance.
    pub id: InstanceId,
    /// The pool that it serves.
    pub pool: PoolId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it runs.
    pub data_centre: DataCentreId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it will stop, and takes no new work.
    pub leaving: bool,
}

/// An endpoint's entry in the platform's list.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub struct Listing {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// For how long it still has to be spared after its start, as of the entry.
    pub slow_start: Millis,
}
