//! The daemon of the router fleet: entry, home, claim owner and watcher in one process.
//!
//! Each task owns its sockets and state and communicates by messages; decisions
//! are made in `medlarrill-core`. A request passes from the caller through
//! `entry` to `home` (admission and dispatch), and its response back.

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
