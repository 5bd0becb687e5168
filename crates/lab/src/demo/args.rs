//! Arguments of the demo.

use clap::Parser;

/// Arguments of the demo.
#[derive(Clone, Debug)]
#[derive(Parser)]
#[command(about = "A small fleet on this machine: chats, a booking, an operator's change")]
pub struct Args {
    /// Daemons to start.
    #[arg(long, default_value_t = 3)]
    pub daemons: usize,
    /// Model engines to start.
    #[arg(long, default_value_t = 4)]
    pub engines: usize,
    /// Chats that return.
    #[arg(long, default_value_t = 12)]
    pub chats: usize,
    /// Turns of each chat.
    #[arg(long, default_value_t = 4)]
    pub turns: usize,
    /// Keep the fleet up and print lines to try.
    #[arg(long)]
    pub stay: bool,
}
