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
    /// Subcommand to run.
    #[command(subcommand)]
    pub command: Command,
}

/// Subcommands of `medlarrilld`.
#[derive(Debug)]
#[derive(Subcommand)]
pub enum Command {
    /// Run the daemon until it is signalled to stop.
    Run {
        /// Settings file, JSON with comments.
        #[arg(long, env = "MEDLARRILLD_SETTINGS")]
        settings: PathBuf,
        /// Format of log lines.
        #[arg(long, value_enum, default_value_t = LogFormat::Text, env = "MEDLARRILLD_LOG_FORMAT")]
        log_format: LogFormat,
    },
    /// Run as a router on a platform that lists endpoints and routes, until signalled to stop.
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

/// Format of log lines.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
#[derive(ValueEnum)]
pub enum LogFormat {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}
