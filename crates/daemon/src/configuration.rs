//! The configuration in force: how it comes here, and the view of it.
//!
//! `task` drives the core's `ConfigSync`: it hears from the fleet task which
//! generations peers have, asks them for parts, and reads the platform where
//! this daemon watches for its data centre. `follow` waits for changes of the
//! platform's head, `sweep` deletes parts that no head names any more.

mod follow;
mod handle;
mod source;
mod sweep;
mod task;
mod view;

pub use handle::{Handle, Message};
pub use source::{CALL_TIMEOUT, read_head, read_part};
pub use task::Task;
pub use view::{Client, ConfigView};
