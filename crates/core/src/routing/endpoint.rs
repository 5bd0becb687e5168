//! What the platform's list says of an endpoint.

use std::net::SocketAddr;

use derive_more::Debug;

use crate::ids::{DataCentreId, EndpointId, PoolId};

/// An endpoint as it is listed. Each start of its process has an id of its own.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub struct Endpoint {
    /// The incarnation.
    pub id: EndpointId,
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
