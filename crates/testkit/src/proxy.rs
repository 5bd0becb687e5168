//! A loopback proxy of TCP connections that harms them on demand.
//!
//! What is done to open connections ([`Harm`]) and to new ones ([`Entry`]) is
//! set separately: in a network partition, either may go on working for a while.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Debug;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Bytes read at once.
const BUFFER: usize = 16 << 10;
/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;
/// Pause before an address that is still in use is bound again.
const BIND_PAUSE: Duration = Duration::from_millis(2);

/// What is done to connections, open ones included.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub enum Harm {
    /// Nothing.
    #[default]
    None,
    /// Bytes are delayed.
    Delay(Duration),
    /// Bytes are held back until this ends.
    Hold,
    /// Bytes vanish, both ways; open connections stay silent for good.
    Silence,
    /// Bytes towards the server vanish.
    CutThere,
    /// Bytes towards the client vanish.
    CutBack,
    /// Connections are reset, and new ones too.
    Reset,
    /// Open connections stay as they are until something is sent, and are reset then: the server
    /// ended, and nothing told of it.
    Gone,
}

/// What is done to new connections.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub enum Entry {
    /// They are accepted.
    #[default]
    Open,
    /// They are refused, as where nothing listens.
    Refuse,
    /// Their first packet gets no answer.
    Hang,
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
    entry: watch::Sender<Entry>,
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
        let entry = watch::Sender::new(Entry::Open);
        let (harmed, entries) = (harm.subscribe(), entry.subscribe());
        let task = tokio::spawn(admit(listener, server, harmed, entries));
        Ok(Self {
            address,
            harm,
            entry,
            task,
        })
    }

    /// Sets what is done to new connections from now on.
    pub fn admit(&self, entry: Entry) {
        self.entry.send_replace(entry);
    }

    /// Sets what is done to connections from now on.
    pub fn harm(&self, harm: Harm) {
        self.harm.send_replace(harm);
    }
}

/// Accepts connections, or not, until an error ends the proxy.
async fn admit(
    listener: TcpListener,
    server: SocketAddr,
    harm: watch::Receiver<Harm>,
    mut entries: watch::Receiver<Entry>,
) {
    let Ok(address) = listener.local_addr() else {
        return;
    };
    let mut listener = Some(listener);
    loop {
        let entry = *entries.borrow_and_update();
        let changed = match entry {
            Entry::Open => {
                let open = match listener.take() {
                    Some(listener) => listener,
                    None => bind(address, BACKLOG).await,
                };
                tokio::select! {
                    changed = entries.changed() => changed,
                    () = accept(&open, server, &harm) => return,
                }
            }
            Entry::Refuse => {
                listener = None;
                entries.changed().await
            }
            Entry::Hang => {
                listener = None;
                let _full = fill(address).await;
                entries.changed().await
            }
        };
        if changed.is_err() {
            return;
        }
    }
}

async fn accept(listener: &TcpListener, server: SocketAddr, harm: &watch::Receiver<Harm>) {
    while let Ok((client, _)) = listener.accept().await {
        tokio::spawn(carry(client, server, harm.clone()));
    }
}

/// Listens on an address that was just released.
async fn bind(address: SocketAddr, backlog: u32) -> TcpListener {
    let listen = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(backlog)
    };
    loop {
        match listen() {
            Ok(listener) => return listener,
            Err(_) => tokio::time::sleep(BIND_PAUSE).await,
        }
    }
}

/// Listens with a full queue of connections, so that the kernel drops the first packet of others.
async fn fill(address: SocketAddr) -> (TcpListener, Vec<TcpStream>) {
    let listener = bind(address, 0).await;
    let mut waiting = Vec::new();
    loop {
        let connecting = tokio::time::timeout(BIND_PAUSE * 10, TcpStream::connect(address));
        match connecting.await {
            Ok(Ok(stream)) => waiting.push(stream),
            _ => return (listener, waiting),
        }
    }
}

async fn carry(client: TcpStream, server: SocketAddr, mut harm: watch::Receiver<Harm>) {
    let mut client = client;
    if *harm.borrow() == Harm::Reset {
        client.set_zero_linger().ok();
        return;
    }
    let Ok(mut server) = TcpStream::connect(server).await else {
        return;
    };
    client.set_nodelay(true).ok();
    server.set_nodelay(true).ok();
    let (client_in, client_out) = client.split();
    let (server_in, server_out) = server.split();
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
    let is_broken = tokio::select! {
        _ = reset => true,
        carried = async { tokio::try_join!(there, back) } => carried.is_err(),
    };
    if is_broken {
        client.set_zero_linger().ok();
        server.set_zero_linger().ok();
    }
}

/// Copies one way until that side is closed in order; fails if it is reset, or after a hole.
async fn copy(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    way: Way,
    mut harm: watch::Receiver<Harm>,
    holed: Arc<std::sync::atomic::AtomicBool>,
) -> std::io::Result<()> {
    let mut buffer = vec![0; BUFFER];
    loop {
        let length = from.read(&mut buffer).await?;
        if length == 0 {
            break;
        }
        // Without a sender the proxy has ended.
        harm.wait_for(|harm| *harm != Harm::Hold).await.ok();
        let harm = *harm.borrow();
        if harm == Harm::Gone {
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        let vanishes = match harm {
            Harm::Silence => true,
            Harm::CutThere => way == Way::There,
            Harm::CutBack => way == Way::Back,
            Harm::None | Harm::Hold | Harm::Delay(_) | Harm::Reset | Harm::Gone => false,
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
        to.write_all(&buffer[..length]).await?;
    }
    match holed.load(std::sync::atomic::Ordering::Relaxed) {
        true => Err(std::io::ErrorKind::ConnectionReset.into()),
        false => to.shutdown().await,
    }
}
