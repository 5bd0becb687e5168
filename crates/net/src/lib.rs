//! Sockets of the router fleet.
//!
//! Peer links between daemons, and clients of the platform and of endpoints.

pub mod endpoint;
pub mod http;
pub mod link;
pub mod now;
pub mod platform;
