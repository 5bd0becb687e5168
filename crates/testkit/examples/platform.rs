//! The platform's stand-in as a process.

use std::net::SocketAddr;

use clap::Parser;
use medlarrill_testkit::{ANY_PORT, Platform};

/// Serves an empty platform until it is stopped.
#[derive(Parser)]
struct Args {
    /// Where to listen, as IP and port.
    #[arg(long, default_value_t = ANY_PORT)]
    listen: SocketAddr,
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let args = Args::parse();
    let platform = Platform::start(args.listen).await?;
    println!("{{\"address\":\"{}\"}}", platform.address());
    std::future::pending().await
}
