//! Endpoints as the platform lists them.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;

use derive_more::{Debug, Display, FromStr};
use serde::Deserialize;

use crate::clock::Millis;
use crate::ids::{DataCentreId, EndpointId, PoolId};

/// Start time of an endpoint's process, in milliseconds since the Unix epoch by its own clock.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize)]
#[derive(Debug, Display, FromStr)]
pub struct StartTime(pub u64);

/// Software version of an endpoint. Versions have no order, and several may serve side by side.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Debug, Display)]
#[debug("{self}")]
pub struct Build(Arc<str>);

impl From<&str> for Build {
    fn from(name: &str) -> Self {
        Self(name.into())
    }
}

impl FromStr for Build {
    type Err = Infallible;

    fn from_str(name: &str) -> Result<Self, Infallible> {
        Ok(name.into())
    }
}

impl Build {
    /// Its name.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// One run of an endpoint's process. An endpoint that restarts under the same id has lost its
/// cache, queue and connections, so that no state of one instance applies to another.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Debug, Display)]
#[debug("{self}")]
#[display("{endpoint}{}", started.map_or_else(String::new, |started| format!("@{started}")))]
pub struct InstanceId {
    /// The id in the platform's list.
    pub endpoint: EndpointId,
    /// When it started; none if the endpoint doesn't report it.
    pub started: Option<StartTime>,
}

impl InstanceId {
    /// The instance of an endpoint with a start time.
    pub const fn new(endpoint: EndpointId, started: Option<StartTime>) -> Self {
        Self { endpoint, started }
    }
}

/// An endpoint and where to reach it.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub struct Endpoint {
    /// Its id and start time.
    pub id: InstanceId,
    /// The pool that it serves.
    pub pool: PoolId,
    /// Its software version.
    pub build: Build,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Data centre that it runs in.
    pub data_centre: DataCentreId,
    /// Number of requests that it runs concurrently.
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
    /// Remaining time of its slow start when the entry was written.
    pub slow_start: Millis,
}
