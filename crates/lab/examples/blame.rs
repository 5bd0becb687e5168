//! Compares rules that conclude which part of a prompt crashes endpoints.
//!
//! Run with `cargo run --release -p medlarrill-lab --example blame`.

use std::process::ExitCode;

fn main() -> ExitCode {
    medlarrill_lab::blame::main()
}
