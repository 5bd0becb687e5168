//! Routes requests from an entry to the endpoints that a platform lists.
//!
//! Modules depend on each other in one direction. `entry` takes callers'
//! requests, asks `placement` for an endpoint, and sends them through
//! `endpoints`. `store` follows the platform's object store and applies its
//! changes to `placement` and to the active configuration. `peers` passes other
//! daemons' reports on endpoints to `placement`. Where this daemon doesn't reach
//! endpoints, `endpoints` connects to them through another one by `tunnel`;
//! `links` accepts connections of other daemons.
//! Decisions are made in `medlarrill_core::routing`; the platform's names and
//! formats are decoded in `medlarrill_platform`.

pub mod endpoints;
pub mod entry;
pub mod guard;
pub mod links;
pub mod logs;
pub mod metrics;
pub mod peers;
pub mod placement;
pub mod settings;
pub mod shared;
pub mod socket;
pub mod start;
pub mod store;
pub mod streams;
pub mod tunnel;
pub mod watched;
