//! Limits of accounts over the whole fleet, and the budget of retries.
//!
//! One task drives the machines of `medlarrill-core`: the accounts that this
//! entry serves, the ledger of those that this daemon owns, and the budget.

mod handle;
mod message;
mod task;

pub use handle::{Handle, Permit};
pub use message::{Message, PermitRequest, Refusal};
pub use task::Task;
