//! Command-line arguments.

use std::path::PathBuf;

use clap::{Parser, Subcommand, ValueEnum};
use clap_complete::Shell;
use hyper::Uri;
use medlarrill_core::clock::Millis;
use medlarrill_core::ids::{ChangeId, Generation};

/// Default server.
const DEFAULT_SERVER: &str = "http://127.0.0.1:7100";

/// Exit codes, shown by `--help`.
const EXIT_CODES: &str = "Exit codes:
  0  everything was done
  1  something was refused or in conflict; that change was not made
  2  the command line, a file or the output is wrong; nothing was sent
  3  no daemon, or the platform, could be reached; nothing was changed
  4  the change may have been accepted: ask again with --change
  5  accepted, but with --wait some daemon doesn't have it yet";

/// Queries and changes a router fleet.
#[derive(Debug)]
#[derive(Parser)]
#[command(name = "medlarrill", version, after_help = EXIT_CODES)]
pub(crate) struct Args {
    /// Daemon to call; if it can't be reached, the next one is tried.
    #[arg(long = "server", value_name = "URL", env = "MEDLARRILL_SERVER", value_delimiter = ',', default_value = DEFAULT_SERVER, global = true)]
    pub(crate) servers: Vec<Uri>,
    /// File with the operator's key; by default it is read from the variable MEDLARRILL_KEY.
    #[arg(long, value_name = "FILE", global = true)]
    pub(crate) key_file: Option<PathBuf>,
    /// Output format.
    #[arg(long, value_name = "FORM", default_value = "text", global = true)]
    pub(crate) output: Output,
    /// Wait until every live daemon has applied the change.
    #[arg(long, global = true)]
    pub(crate) wait: bool,
    /// Overall time limit, including retries.
    #[arg(long, value_name = "TIME", default_value = "10s", global = true)]
    pub(crate) timeout: Millis,
    /// Generation that you have seen; changes made since then are a conflict.
    #[arg(long, value_name = "GENERATION", global = true)]
    pub(crate) base: Option<Generation>,
    /// Retry a change whose outcome was unknown; possible for ten minutes.
    #[arg(long, value_name = "ID", global = true)]
    pub(crate) change: Option<ChangeId>,
    /// Subcommand.
    #[command(subcommand)]
    pub(crate) verb: Verb,
}

/// Output formats.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
#[derive(ValueEnum)]
pub(crate) enum Output {
    /// Tables and messages.
    Text,
    /// The daemon's response as JSON.
    Json,
}

/// Subcommands.
#[derive(Debug)]
#[derive(Subcommand)]
pub(crate) enum Verb {
    /// Send statements, separated by `;` or line breaks.
    Run {
        /// The statements; read from standard input if none are given.
        statements: Vec<String>,
        /// File with statements.
        #[arg(long, short, value_name = "FILE", conflicts_with = "statements")]
        file: Option<PathBuf>,
    },
    /// Query the current state, such as `show endpoints of chat`.
    Show(Words),
    /// Create an institution, account, pool, endpoint or rule.
    Create(Words),
    /// Change settings of an institution, account, pool, endpoint or rule.
    Alter(Words),
    /// Remove an institution, account, pool, endpoint or rule.
    Drop(Words),
    /// Stop sending new work to an endpoint and let it finish its requests.
    Drain(Words),
    /// Send work to a drained endpoint again.
    Undrain(Words),
    /// Change what an engine serves, such as `order engine e1 load-model m2`.
    Order(Words),
    /// Show daemons and their configuration generations.
    Status,
    /// Read a key from standard input and print its hash.
    KeyHash,
    /// Print a completion script for a shell.
    Completions {
        /// The shell.
        shell: Shell,
    },
    /// Check a file of statements without contacting a daemon.
    Check {
        /// The file; `-` is standard input.
        file: PathBuf,
        /// Configuration to check against, as printed by `medlarrill show config`; empty by default.
        #[arg(long, value_name = "FILE")]
        against: Option<PathBuf>,
    },
}

/// The words of a statement after its verb.
#[derive(Debug)]
#[derive(clap::Args)]
pub(crate) struct Words {
    /// Words of the statement.
    #[arg(required = true)]
    pub(crate) words: Vec<String>,
}
