//! Compares what a router does with streams whose endpoint is silent.
//!
//! Run with `cargo run --release -p medlarrill-lab --example silence`.

use std::process::ExitCode;

fn main() -> ExitCode {
    medlarrill_lab::silence::main()
}
