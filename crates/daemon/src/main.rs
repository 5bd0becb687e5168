//! Thin main of the daemon.

use std::process::ExitCode;

fn main() -> ExitCode {
    medlarrilld::start::main(std::env::args_os())
}
