//! Command-line client for operators: sends statements to any daemon of the fleet.
//!
//! The client gives each change a random identifier, so that the change can be
//! retried at the same daemon or another and still takes effect only once.

mod args;
mod call;
mod check;
mod exit;
mod render;
mod script;

use std::ffi::OsString;
use std::io::Write;

use clap::{CommandFactory, Parser};
use derive_more::{Display, Error, From};
use medlarrill_core::config::KeyHash;

use self::args::{Args, Output, Verb};
use self::call::Call;
use self::render::Report;

pub use exit::Exit;

/// Result with the client's error.
type Result<T> = std::result::Result<T, Error>;

/// Why the client failed.
#[derive(Debug)]
#[derive(Display, Error, From)]
enum Error {
    /// The command line or an input is invalid.
    #[display("{_0}")]
    #[from(ignore)]
    Usage(#[error(not(source))] String),
    /// No daemon could be reached; nothing was sent.
    #[display("no daemon could be reached: {_0}")]
    #[from(ignore)]
    Unreachable(#[error(not(source))] String),
    /// A daemon rejected the request.
    #[display("{_0}")]
    #[from(ignore)]
    Refused(#[error(not(source))] String),
    /// The request was sent, but no daemon reported its outcome.
    #[display("{_0}")]
    #[from(ignore)]
    Unknown(#[error(not(source))] String),
    /// The output can't be written.
    #[display("can't write: {_0}")]
    Write(std::io::Error),
}

impl Error {
    const fn exit(&self) -> Exit {
        match self {
            Self::Usage(_) | Self::Write(_) => Exit::Usage,
            Self::Unreachable(_) => Exit::Unreachable,
            Self::Refused(_) => Exit::Refused,
            Self::Unknown(_) => Exit::Unknown,
        }
    }
}

/// Runs the client. The first argument is the name of the program.
pub async fn run(
    args: impl IntoIterator<Item = OsString>,
    out: &mut impl Write,
    err: &mut impl Write,
) -> Exit {
    let args = match Args::try_parse_from(args) {
        Ok(args) => args,
        Err(error) => return print_help(&error, out, err),
    };
    match execute(&args, out, err).await {
        Ok(exit) => exit,
        Err(error) => {
            // If standard error can't be written either, only the exit code is left.
            let _ = writeln!(err, "medlarrill: {error}");
            error.exit()
        }
    }
}

/// Prints the help text or the error of the command line.
fn print_help(error: &clap::Error, out: &mut impl Write, err: &mut impl Write) -> Exit {
    let text = error.render();
    let (written, exit) = match error.use_stderr() {
        true => (write!(err, "{text}"), Exit::Usage),
        false => (write!(out, "{text}"), Exit::Done),
    };
    written.map_or(Exit::Usage, |()| exit)
}

async fn execute(args: &Args, out: &mut impl Write, err: &mut impl Write) -> Result<Exit> {
    match &args.verb {
        Verb::KeyHash => {
            let key = script::read_key()?;
            writeln!(out, "{}", KeyHash::of(&key))?;
            Ok(Exit::Done)
        }
        Verb::Completions { shell } => {
            let mut command = Args::command();
            clap_complete::generate(*shell, &mut command, "medlarrill", out);
            Ok(Exit::Done)
        }
        Verb::Check { file, against } => {
            let text = script::read(file)?;
            let export = against.as_deref().map(script::read).transpose()?;
            check::check(&text, export.as_deref(), err)
        }
        verb => {
            let text = script::text(verb)?;
            send(args, &text, out, err).await
        }
    }
}

async fn send(args: &Args, text: &str, out: &mut impl Write, err: &mut impl Write) -> Result<Exit> {
    let call = Call::new(args, text)?;
    let answer = call.send().await?;
    let report = Report {
        change: call.change(),
        answer: &answer,
    };
    match args.output {
        Output::Json => report.json(out)?,
        Output::Text => report.text(text, out, err)?,
    }
    Ok(Exit::of(&answer, args.wait))
}
