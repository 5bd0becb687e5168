//! Synchronises the configuration in force and indexes it for requests.
//!
//! `task` drives the core's `ConfigSync`: it receives the generations of peers from
//! the membership task, requests parts from them, and reads the platform if this
//! daemon is a watcher of its data centre. `follow` waits for changes of the head
//! on the platform, `sweep` deletes parts that no head references any more.

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
