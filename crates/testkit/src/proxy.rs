//! A loopback proxy of TCP connections that harms them on demand.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Debug;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Bytes read at once.
const BUFFER: usize = 16 << 10;

/// What is done to connections, open ones included.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub enum Harm {
    /// Nothing.
    #[default]
    None,
    /// Bytes are delayed.
    Delay(Duration),
    /// Bytes vanish, both ways; open connections stay silent for good.
    Silence,
    /// Bytes towards the server vanish.
    CutThere,
    /// Bytes towards the client vanish.
    CutBack,
    /// Connections are closed, and new ones too.
    Reset,
}

/// A way through the proxy.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Way {
    There,
    Back,
}

/// A proxy; ends with its connections when it is dropped.
#[derive(Debug)]
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    harm: watch::Sender<Harm>,
    task: JoinHandle<()>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
        self.harm.send_replace(Harm::Reset);
    }
}

impl Proxy {
    /// Starts a proxy in front of a server.
    ///
    /// # Errors
    ///
    /// When no port can be had.
    pub async fn start(server: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let harm = watch::Sender::new(Harm::None);
        let harmed = harm.subscribe();
        let task = tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(carry(client, server, harmed.clone()));
            }
        });
        Ok(Self {
            address,
            harm,
            task,
        })
    }

    /// Sets what is done to connections from now on.
    pub fn harm(&self, harm: Harm) {
        self.harm.send_replace(harm);
    }
}

async fn carry(client: TcpStream, server: SocketAddr, mut harm: watch::Receiver<Harm>) {
    if *harm.borrow() == Harm::Reset {
        return;
    }
    let Ok(server) = TcpStream::connect(server).await else {
        return;
    };
    client.set_nodelay(true).ok();
    server.set_nodelay(true).ok();
    let (client_in, client_out) = client.into_split();
    let (server_in, server_out) = server.into_split();
    // Bytes that vanished leave a hole, after which nothing more may be carried.
    let holed = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let there = copy(
        client_in,
        server_out,
        Way::There,
        harm.clone(),
        Arc::clone(&holed),
    );
    let back = copy(server_in, client_out, Way::Back, harm.clone(), holed);
    let reset = async { harm.wait_for(|harm| *harm == Harm::Reset).await.map(|_| ()) };
    tokio::select! {
        _ = reset => {}
        _ = async { tokio::join!(there, back) } => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    way: Way,
    harm: watch::Receiver<Harm>,
    holed: Arc<std::sync::atomic::AtomicBool>,
) {
    let mut buffer = vec![0; BUFFER];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        let harm = *harm.borrow();
        let vanishes = match harm {
            Harm::Silence => true,
            Harm::CutThere => way == Way::There,
            Harm::CutBack => way == Way::Back,
            Harm::None | Harm::Delay(_) | Harm::Reset => false,
        };
        if vanishes {
            holed.store(true, std::sync::atomic::Ordering::Relaxed);
        }
        if holed.load(std::sync::atomic::Ordering::Relaxed) {
            continue;
        }
        if let Harm::Delay(span) = harm {
            tokio::time::sleep(span).await;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
    to.shutdown().await.ok();
}
