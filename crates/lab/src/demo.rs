//! The demo: a whole fleet on one machine.
//!
//! The stand-ins run in this process. Each daemon, and the operators' client,
//! is a child of it that runs the same code as the product's own binaries.

mod args;
mod booking;
mod chats;
mod operators;
mod stay;
mod story;

use std::ffi::OsString;
use std::process::ExitCode;

use clap::Parser;
use medlarrill_testkit::fleet::Program;

use args::Args;

/// First argument of a child that is a daemon.
const DAEMON: &str = "as-daemon";
/// First argument of a child that is the operators' client.
const CLIENT: &str = "as-client";

/// The children that the demo starts.
struct Programs {
    daemon: Program,
    client: Program,
}

/// Runs the demo, or one of its children.
pub fn main() -> ExitCode {
    let mut args: Vec<OsString> = std::env::args_os().collect();
    if args.get(1).is_some_and(|first| first == DAEMON) {
        args.remove(1);
        return medlarrilld::start::main(args);
    }
    if args.get(1).is_some_and(|first| first == CLIENT) {
        args.remove(1);
        return client(args);
    }
    let args = Args::parse_from(args);
    let programs = match std::env::current_exe() {
        Ok(path) => Programs {
            daemon: Program::new(&path).with_argument(DAEMON),
            client: Program::new(&path).with_argument(CLIENT),
        },
        Err(error) => {
            eprintln!("demo: this program's path is not known: {error}");
            return ExitCode::FAILURE;
        }
    };
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("demo: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(story::tell(programs, args)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("demo: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Is the operators' client.
fn client(args: Vec<OsString>) -> ExitCode {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = match builder.enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("demo: {error}");
            return ExitCode::FAILURE;
        }
    };
    let (mut out, mut err) = (std::io::stdout(), std::io::stderr());
    let exit = runtime.block_on(medlarrill::run(args, &mut out, &mut err));
    exit.into()
}
