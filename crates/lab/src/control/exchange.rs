//! Bytes of one exchange with an endpoint and with the platform, HTTP headers and all.
//!
//! The product's own clients speak through a relay that counts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use medlarrill_core::clock::Millis;
use medlarrill_net::{endpoint, platform};
use medlarrill_testkit::fleet::Fleet;
use medlarrill_testkit::{ANY_PORT, Engine};
use serde::Serialize;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::error::{LabError, Result};

/// Exchanges of each kind.
const COUNT: u64 = 20;
const WAIT: Millis = Millis(1000);
const HEAD: &str = "config/head";
const BUFFER: usize = 16 << 10;

/// Bytes of exchanges, both ways.
#[derive(Clone, Copy, Default, Debug)]
#[derive(Serialize)]
pub struct Exchange {
    /// A question to an endpoint for its load.
    pub poll: f64,
    /// HTTP headers of a call to the platform: what its client doesn't count itself.
    pub headers: f64,
}

impl Exchange {
    /// Measures both with a fleet's stand-ins.
    ///
    /// # Errors
    ///
    /// When an exchange fails.
    pub async fn measure(fleet: &Fleet) -> Result<Self> {
        let engine = fleet.engines.first().map(Engine::address);
        let engine = engine.ok_or_else(|| LabError::Wrong("there is no engine".into()))?;
        Ok(Self {
            poll: poll(engine).await?,
            headers: headers(fleet.platform.address()).await?,
        })
    }
}

async fn poll(engine: SocketAddr) -> Result<f64> {
    let (relay, bytes) = relay(engine).await?;
    let client = endpoint::Client::new(&endpoint::Limits::default());
    for _ in 0..COUNT {
        client.load(relay, WAIT).await.map_err(wrong)?;
    }
    Ok(bytes.load(Ordering::Relaxed) as f64 / COUNT as f64)
}

async fn headers(platform: SocketAddr) -> Result<f64> {
    let (relay, bytes) = relay(platform).await?;
    let client = platform::Client::new(platform::Settings::new(relay, 1));
    for _ in 0..COUNT {
        client
            .get(platform::Role::Config, HEAD, None, WAIT)
            .await
            .map_err(wrong)?;
    }
    let counted = client.snapshot().bytes;
    let counted: u64 = counted.iter().map(|role| role.sent + role.received).sum();
    let all = bytes.load(Ordering::Relaxed);
    Ok(all.saturating_sub(counted) as f64 / COUNT as f64)
}

/// Listens for connections to `target` and counts their bytes both ways.
async fn relay(target: SocketAddr) -> Result<(SocketAddr, Arc<AtomicU64>)> {
    let listener = TcpListener::bind(ANY_PORT).await?;
    let address = listener.local_addr()?;
    let bytes = Arc::new(AtomicU64::new(0));
    let count = Arc::clone(&bytes);
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            let Ok(far) = TcpStream::connect(target).await else {
                return;
            };
            let (near_read, near_write) = near.into_split();
            let (far_read, far_write) = far.into_split();
            tokio::spawn(copy(near_read, far_write, Arc::clone(&count)));
            tokio::spawn(copy(far_read, near_write, Arc::clone(&count)));
        }
    });
    Ok((address, bytes))
}

async fn copy(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    bytes: Arc<AtomicU64>,
) {
    let mut buffer = vec![0; BUFFER];
    while let Ok(size) = from.read(&mut buffer).await {
        // Counted before it goes on, so that a whole answer has been counted.
        bytes.fetch_add(size as u64, Ordering::Relaxed);
        let piece = buffer.get(..size).unwrap_or_default();
        if size == 0 || to.write_all(piece).await.is_err() {
            return;
        }
    }
}

fn wrong(error: impl std::fmt::Display) -> LabError {
    LabError::Wrong(error.to_string())
}
