//! Starts a small fleet on this machine, uses it and prints what happened.
//!
//! Run with `cargo run --release --example demo`; add `-- --stay` to keep it up.

use std::process::ExitCode;

fn main() -> ExitCode {
    medlarrill_lab::demo::main()
}
