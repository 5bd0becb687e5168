//! Arguments of the measurement of control.

use clap::Parser;
use serde::Serialize;

/// Arguments of the measurement of control.
#[derive(Clone, Debug)]
#[derive(Parser, Serialize)]
#[command(about = "Bytes, processor time and memory for control, against size")]
pub struct Args {
    /// Daemons of each fleet.
    #[arg(long, value_delimiter = ',', default_value = "3,6,12,24,48")]
    pub sizes: Vec<usize>,
    /// Endpoints of each fleet of `fixed` daemons; they share few engines.
    #[arg(long, value_delimiter = ',')]
    pub endpoints: Vec<usize>,
    /// Accounts of each fleet of `fixed` daemons.
    #[arg(long, value_delimiter = ',')]
    pub accounts: Vec<usize>,
    /// Daemons of the fleets that grow in endpoints or accounts.
    #[arg(long, default_value_t = 6)]
    pub fixed: usize,
    /// Seconds to settle before anything is read.
    #[arg(long, default_value_t = 5)]
    pub settle: u64,
    /// Seconds between two readings.
    #[arg(long, default_value_t = 10)]
    pub window: u64,
    /// Turns of chats a second under churn.
    #[arg(long, default_value_t = 5)]
    pub rate: u64,
    /// Leave out the window under churn.
    #[arg(long)]
    pub peace: bool,
    /// Print all figures as JSON.
    #[arg(long)]
    pub json: bool,
}
