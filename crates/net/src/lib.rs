//! Network I/O of the router fleet: links between daemons, and HTTP clients for
//! the platform and for endpoints.

pub mod endpoint;
pub mod http;
pub mod link;
pub mod now;
pub mod platform;
