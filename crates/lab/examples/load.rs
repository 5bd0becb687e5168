//! Streamed chats that return, straight at the engines and through the fleet by turns; prints what the fleet adds.
//!
//! Run with `cargo run --release --example load`; `-- --help` lists the sizes, `-- --json` prints all figures.

use std::process::ExitCode;

fn main() -> ExitCode {
    medlarrill_lab::load::main()
}
