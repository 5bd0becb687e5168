//! Measures how long an accepted change takes to be in force on every daemon.
//!
//! Run with `cargo run --release -p medlarrill-lab --example spread`.

use std::process::ExitCode;

fn main() -> ExitCode {
    medlarrill_lab::spread::main()
}
