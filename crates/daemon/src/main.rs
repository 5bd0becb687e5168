//! The `medlarrilld` binary; its logic is in the library.

use std::process::ExitCode;

fn main() -> ExitCode {
    medlarrilld::start::main(std::env::args_os())
}
