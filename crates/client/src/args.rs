//! The command line.

use std::path::PathBuf;

use clap::{Parser, Subcommand, ValueEnum};
use clap_complete::Shell;
use hyper::Uri;
use medlarrill_core::clock::Millis;
use medlarrill_core::ids::{ChangeId, Generation};

/// Server unless one is named.
const DEFAULT_SERVER: &str = "http://127.0.0.1:7100";

/// Exit codes, for `--help`.
const EXIT_CODES: &str = "Exit codes:
  0  everything was done
  1  something was refused or in conflict; that change was not made
  2  the command line, a file or the output is wrong; nothing was sent
  3  no daemon, or the platform, could be reached; nothing was changed
  4  the change may have been accepted: ask again with --change
  5  accepted, but with --wait some daemon doesn't have it yet";

/// Asks a router fleet what is true, and changes it.
#[derive(Debug)]
#[derive(Parser)]
#[command(name = "medlarrill", version, after_help = EXIT_CODES)]
pub(crate) struct Args {
    /// Daemon to ask; the next one is tried if it can't be reached.
    #[arg(long = "server", value_name = "URL", env = "MEDLARRILL_SERVER", value_delimiter = ',', default_value = DEFAULT_SERVER, global = true)]
    pub(crate) servers: Vec<Uri>,
    /// File with the operator's key; else the variable MEDLARRILL_KEY holds it.
    #[arg(long, value_name = "FILE", global = true)]
    pub(crate) key_file: Option<PathBuf>,
    /// How to print answers.
    #[arg(long, value_name = "FORM", default_value = "text", global = true)]
    pub(crate) output: Output,
    /// Wait until every live daemon has the change.
    #[arg(long, global = true)]
    pub(crate) wait: bool,
    /// How long to try in all.
    #[arg(long, value_name = "TIME", default_value = "10s", global = true)]
    pub(crate) timeout: Millis,
    /// Generation that you have seen: what changed since is a conflict.
    #[arg(long, value_name = "GENERATION", global = true)]
    pub(crate) base: Option<Generation>,
    /// Ask again for a change whose outcome was unknown; within ten minutes.
    #[arg(long, value_name = "ID", global = true)]
    pub(crate) change: Option<ChangeId>,
    /// What to do.
    #[command(subcommand)]
    pub(crate) verb: Verb,
}

/// How answers are printed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
#[derive(ValueEnum)]
pub(crate) enum Output {
    /// Tables and sentences.
    Text,
    /// The daemon's answer.
    Json,
}

/// What to do.
#[derive(Debug)]
#[derive(Subcommand)]
pub(crate) enum Verb {
    /// Send statements, parted by `;` or lines.
    Run {
        /// The statements; from standard input if there are none.
        statements: Vec<String>,
        /// File with statements.
        #[arg(long, short, value_name = "FILE", conflicts_with = "statements")]
        file: Option<PathBuf>,
    },
    /// Ask what is true now, such as `show endpoints of chat`.
    Show(Words),
    /// Make an institution, account, pool, endpoint or rule.
    Create(Words),
    /// Change terms of one.
    Alter(Words),
    /// Remove one.
    Drop(Words),
    /// Let an endpoint finish and give it no new work.
    Drain(Words),
    /// Give a drained endpoint work again.
    Undrain(Words),
    /// Tell an engine what to serve, such as `order engine e1 load-model m2`.
    Order(Words),
    /// Show daemons and the generations they have.
    Status,
    /// Read a key from standard input and print its hash.
    KeyHash,
    /// Print a script that completes this command line in a shell.
    Completions {
        /// The shell.
        shell: Shell,
    },
    /// Check a file of statements without asking any daemon.
    Check {
        /// The file; `-` is standard input.
        file: PathBuf,
        /// File that `medlarrill show config` has printed; else nothing exists yet.
        #[arg(long, value_name = "FILE")]
        against: Option<PathBuf>,
    },
}

/// The rest of a statement.
#[derive(Debug)]
#[derive(clap::Args)]
pub(crate) struct Words {
    /// The words of the statement.
    #[arg(required = true)]
    pub(crate) words: Vec<String>,
}
