//! What control costs each daemon, against the size of the fleet and of its configuration.
//!
//! Run with `cargo run --release --example control`; `-- --help` lists the sizes, `-- --json` prints all figures.

use std::process::ExitCode;

fn main() -> ExitCode {
    medlarrill_lab::control::main()
}
