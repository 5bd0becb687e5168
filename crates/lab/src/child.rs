//! A program that is also the daemon: it runs itself again, as the daemons of its fleet.

use std::ffi::OsString;
use std::fmt::Display;
use std::process::ExitCode;

use clap::Parser;
use medlarrill_testkit::fleet::Program;

/// First argument of a child that is a daemon.
const DAEMON: &str = "as-daemon";

/// Runs `tell` with the parsed arguments, or the daemon if this process is one.
pub fn main_with<A, F, E>(name: &str, tell: impl FnOnce(Program, A) -> F) -> ExitCode
where
    A: Parser,
    F: Future<Output = Result<(), E>>,
    E: Display,
{
    let mut args: Vec<OsString> = std::env::args_os().collect();
    if args.get(1).is_some_and(|first| first == DAEMON) {
        args.remove(1);
        return medlarrilld::start::main(args);
    }
    let args = A::parse_from(args);
    let program = match std::env::current_exe() {
        Ok(path) => Program::new(path).with_argument(DAEMON),
        Err(error) => {
            eprintln!("{name}: this program's path is not known: {error}");
            return ExitCode::FAILURE;
        }
    };
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("{name}: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(tell(program, args)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{name}: {error}");
            ExitCode::FAILURE
        }
    }
}
