//! Fleet-wide rate and concurrency limits of client accounts, and the retry budget.
//!
//! One task drives the state machines of `medlarrill-core`: the limiter of the
//! accounts that this entry serves, the allocator of shares for the accounts that
//! this daemon owns, and the retry budget.

mod handle;
mod message;
mod task;

pub use handle::{Handle, Permit};
pub use message::{Message, PermitRequest, Refusal};
pub use task::Task;
