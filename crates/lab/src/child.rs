//! A program that is also the product's two: it runs itself again, as the daemons of its fleet or as
//! the operators' client.

use std::ffi::OsString;
use std::fmt::Display;
use std::process::ExitCode;

use clap::Parser;
use medlarrill_testkit::fleet::Program;

/// First argument of a child that is a daemon.
const DAEMON: &str = "as-daemon";
/// First argument of a child that is the operators' client.
const CLIENT: &str = "as-client";

/// What this program runs itself again as.
#[derive(Clone, Debug)]
pub struct Children {
    /// The daemon.
    pub daemon: Program,
    /// The operators' client.
    pub client: Program,
}

/// Runs `tell` with the parsed arguments, or the daemon or client if this process is one.
pub fn main_with<A, F, E>(name: &str, tell: impl FnOnce(Children, A) -> F) -> ExitCode
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
    if args.get(1).is_some_and(|first| first == CLIENT) {
        args.remove(1);
        return client(name, args);
    }
    let args = A::parse_from(args);
    let children = match std::env::current_exe() {
        Ok(path) => Children {
            daemon: Program::new(&path).with_argument(DAEMON),
            client: Program::new(&path).with_argument(CLIENT),
        },
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
    match runtime.block_on(tell(children, args)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{name}: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Is the operators' client.
fn client(name: &str, args: Vec<OsString>) -> ExitCode {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = match builder.enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("{name}: {error}");
            return ExitCode::FAILURE;
        }
    };
    let (mut out, mut err) = (std::io::stdout(), std::io::stderr());
    let exit = runtime.block_on(medlarrill::run(args, &mut out, &mut err));
    exit.into()
}
