//! The daemon's command line.

use std::path::PathBuf;

use clap::{Parser, Subcommand, ValueEnum};

/// Arguments of `medlarrilld`.
#[derive(Debug)]
#[derive(Parser)]
#[command(
    name = "medlarrilld",
    version,
    about = "The daemon of the router fleet"
)]
pub struct Args {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// What the daemon can be asked to do.
#[derive(Debug)]
#[derive(Subcommand)]
pub enum Command {
    /// Run the daemon until it is told to stop.
    Run {
        /// Settings file, JSON with comments.
        #[arg(long, env = "MEDLARRILLD_SETTINGS")]
        settings: PathBuf,
        /// How log lines are written.
        #[arg(long, value_enum, default_value_t = LogFormat::Text, env = "MEDLARRILLD_LOG_FORMAT")]
        log_format: LogFormat,
    },
    /// Run on a platform that lists endpoints and routes, until told to stop.
    Route {
        /// Settings file, JSON with comments.
        #[arg(long, env = "MEDLARRILLD_SETTINGS")]
        settings: PathBuf,
    },
    /// Check a settings file and report all findings.
    Check {
        /// Settings file, JSON with comments.
        settings: PathBuf,
    },
}

/// How log lines are written.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
#[derive(ValueEnum)]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}
