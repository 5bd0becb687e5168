//! The demo: a whole fleet on one machine.
//!
//! The stand-ins run in this process. Each daemon, and the operators' client,
//! is a child of it that runs the same code as the product's own binaries.

mod args;
mod booking;
mod chats;
mod operators;
mod stay;
mod story;

use std::process::ExitCode;

use crate::child::main_with;

/// Runs the demo, or one of its children.
pub fn main() -> ExitCode {
    main_with("demo", story::tell)
}
