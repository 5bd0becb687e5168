//! The model engine's stand-in as a process.

use std::net::SocketAddr;

use clap::Parser;
use medlarrill_testkit::engine::Settings;
use medlarrill_testkit::{ANY_PORT, Engine};

/// Serves a model engine until it is stopped.
#[derive(Parser)]
struct Args {
    /// Where to listen, as IP and port.
    #[arg(long, default_value_t = ANY_PORT)]
    listen: SocketAddr,
    /// Settings as JSON; those left out have their defaults.
    #[arg(long, default_value = "{}", value_parser = settings)]
    settings: Settings,
}

fn settings(text: &str) -> serde_json::Result<Settings> {
    serde_json::from_str(text)
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let args = Args::parse();
    let engine = Engine::start(args.listen, args.settings).await?;
    println!("{{\"address\":\"{}\"}}", engine.address());
    std::future::pending().await
}
