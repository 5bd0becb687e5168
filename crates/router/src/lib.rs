//! Requests straight from an entry to the endpoints that a platform lists.
//!
//! Five rooms, with arrows one way. `entry` takes callers' requests, asks
//! `placement` where they go, and sends them through `endpoints`. `store`
//! follows the platform and tells `placement` and the entry what is in force.
//! `peers` tells `placement` what other daemons see of endpoints.
//! The decisions are those of `medlarrill_core::routing`; the platform's
//! names and formats are those of `medlarrill_platform`.

pub mod endpoints;
pub mod entry;
pub mod logs;
pub mod metrics;
pub mod peers;
pub mod placement;
pub mod settings;
pub mod shared;
pub mod socket;
pub mod start;
pub mod store;
