//! A relay in front of one daemon's links, which can be cut one way.
//!
//! A link carries messages one way, so that holding what comes to a daemon
//! leaves it heard by all and reached by none. Held bytes arrive late when the
//! relay is opened again, as those of a network would that sends them anew.

use std::io::Result;
use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::ANY_PORT;

/// Bytes that are passed on at once.
const PIECE: usize = 16 * 1024;

/// A relay, closed when dropped.
#[derive(Debug)]
pub struct Relay {
    /// Where it listens.
    pub address: SocketAddr,
    target: watch::Sender<Option<SocketAddr>>,
    held: watch::Sender<bool>,
    _tasks: JoinSet<()>,
}

impl Relay {
    /// Starts a relay that holds everything until it has a target.
    pub async fn start() -> Result<Self> {
        let listener = TcpListener::bind(ANY_PORT).await?;
        let target = watch::Sender::new(None);
        let held = watch::Sender::new(false);
        let mut tasks = JoinSet::new();
        let address = listener.local_addr()?;
        tasks.spawn(accept(listener, target.subscribe(), held.subscribe()));
        Ok(Self {
            address,
            target,
            held,
            _tasks: tasks,
        })
    }

    /// Passes new connections on to `target`.
    pub fn set_target(&self, target: SocketAddr) {
        self.target.send_replace(Some(target));
    }

    /// Holds all that comes, or lets it pass again.
    pub fn hold(&self, held: bool) {
        self.held.send_replace(held);
    }
}

async fn accept(
    listener: TcpListener,
    target: watch::Receiver<Option<SocketAddr>>,
    held: watch::Receiver<bool>,
) {
    let mut links = JoinSet::new();
    while let Ok((dialler, _)) = listener.accept().await {
        let mut target = target.clone();
        let held = held.clone();
        links.spawn(async move {
            let Ok(address) = target.wait_for(Option::is_some).await.map(|found| *found) else {
                return;
            };
            let Some(address) = address else {
                return;
            };
            if let Ok(daemon) = TcpStream::connect(address).await {
                pass_both(dialler, daemon, held).await;
            }
        });
    }
}

async fn pass_both(dialler: TcpStream, daemon: TcpStream, held: watch::Receiver<bool>) {
    let (from_dialler, to_dialler) = dialler.into_split();
    let (from_daemon, to_daemon) = daemon.into_split();
    // Either side's end closes both.
    tokio::select! {
        _ = pass(from_dialler, to_daemon, held.clone()) => {}
        _ = pass(from_daemon, to_dialler, held) => {}
    }
}

async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut held: watch::Receiver<bool>,
) -> Result<()> {
    let mut piece = vec![0; PIECE];
    loop {
        let length = from.read(&mut piece).await?;
        if length == 0 || held.wait_for(|held| !held).await.is_err() {
            return Ok(());
        }
        to.write_all(&piece[..length]).await?;
    }
}
