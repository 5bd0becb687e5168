//! Arguments of the load.

use clap::Parser;
use serde::Serialize;

/// Arguments of the load.
#[derive(Clone, Debug)]
#[derive(Parser, Serialize)]
#[command(about = "Chats that return, at the engines and through the fleet by turns")]
pub struct Args {
    /// Daemons to start.
    #[arg(long, default_value_t = 3)]
    pub daemons: usize,
    /// Model engines to start.
    #[arg(long, default_value_t = 4)]
    pub engines: usize,
    /// Requests that an engine runs at once.
    #[arg(long, default_value_t = 64)]
    pub slots: usize,
    /// Time of an engine's step in ms; each makes a token of every running request.
    #[arg(long, default_value_t = 5)]
    pub step: u64,
    /// Workers, each with one request in flight.
    #[arg(long, default_value_t = 16)]
    pub concurrency: usize,
    /// Requests of each worker in a round, on each way.
    #[arg(long, default_value_t = 40)]
    pub requests: usize,
    /// Turns of each chat.
    #[arg(long, default_value_t = 5)]
    pub turns: usize,
    /// Tokens of an answer.
    #[arg(long, default_value_t = 64)]
    pub tokens: u64,
    /// Words in the first message of a chat.
    #[arg(long, default_value_t = 200)]
    pub words: usize,
    /// Rounds that are counted.
    #[arg(long, default_value_t = 3)]
    pub rounds: u64,
    /// Share of turns that are followed by a read of a plain service.
    #[arg(long, default_value_t = 0.0)]
    pub reads: f64,
    /// Seed of the chats.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Print all figures as JSON.
    #[arg(long)]
    pub json: bool,
}
