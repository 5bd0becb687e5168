//! The daemon of the router fleet: entry, home, claim owner and watcher in one process.
//!
//! Tasks own their sockets and state and talk by messages; the decisions are
//! those of `medlarrill-core`. A request is followed through `entry` (from the
//! caller), `home` (admission and dispatch) and back.

pub mod args;
pub mod claims;
pub mod configuration;
pub mod context;
pub mod dispatcher;
pub mod entry;
pub mod fleet;
pub mod home;
pub mod limits;
pub mod logs;
pub mod mailbox;
pub mod metrics;
pub mod operators;
pub mod peers;
pub mod settings;
pub mod start;
pub mod stop;
