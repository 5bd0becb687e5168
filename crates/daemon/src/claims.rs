//! Claims: the right to run a non-idempotent request at most once.
//!
//! One task drives the machines of `medlarrill-core`: the shards that this
//! daemon owns and the claimant of its own requests. Calls to the platform run
//! beside it and come back as messages, each exactly once.

mod calls;
mod handle;
mod message;
mod task;

pub use handle::{Decision, Handle};
pub use message::Message;
pub use task::Task;

/// Shards of the claim log; the same on every daemon, for good.
pub const SHARDS: u16 = 32;
