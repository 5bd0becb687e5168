//! Claims ensure that a non-idempotent request runs at most once.
//!
//! One task drives the state machines of `medlarrill-core`: the shards that this
//! daemon owns and the claimant of its own requests. Calls to the platform run
//! in tasks of their own; each sends its reply back exactly once.

mod calls;
mod handle;
mod message;
mod task;

pub use handle::{Decision, Handle};
pub use message::Message;
pub use task::Task;

/// Number of shards of the claim log; the same on every daemon, and must never change.
pub const SHARDS: u16 = 32;
