//! Soaks daemons that route on the platform with random faults.
//!
//! Run with `cargo run --release --example soak -- --count 50`; `--seeds 7,8` plays seeds again.

use std::process::ExitCode;

use medlarrill_lab::child::main_with;
use medlarrill_lab::soak;

fn main() -> ExitCode {
    main_with("soak", |children, options| {
        soak::run(children.daemon, options)
    })
}
