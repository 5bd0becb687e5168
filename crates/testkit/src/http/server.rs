//! An HTTP/1.1 server whose connections end with its handle.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::{JoinHandle, JoinSet};

use super::{Answer, Cut, Stop, Switch};

/// Result of starting a server.
pub type Result<T> = io::Result<T>;

/// Connections waiting to be accepted.
const BACKLOG: u32 = 1024;
/// Kernel buffer for answers, small so that a slow reader is felt soon, in bytes.
const SEND_BUFFER: u32 = 32 << 10;
/// Buffer for a request's head and for answers not yet written, in bytes.
const WRITE_BUFFER: usize = 16 << 10;
/// Pause after a failed accept, when files have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// A running server, stopped when dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    task: JoinHandle<Infallible>,
}

impl Server {
    /// Where it listens.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops it, cuts its connections and waits until the port is closed.
    pub async fn stop(mut self) {
        self.task.abort();
        // The task ends by the abort alone, so its error says nothing.
        let _ = (&mut self.task).await;
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Serves `handler` at `listen`, while `switch` lets it; an error from it cuts the connection.
pub async fn serve<H, F>(listen: SocketAddr, switch: Switch, handler: H) -> Result<Server>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = super::Result> + Send + 'static,
{
    let listener = bind(listen)?;
    let address = listener.local_addr()?;
    let task = tokio::spawn(run(listener, address, switch, handler));
    Ok(Server { address, task })
}

fn bind(listen: SocketAddr) -> Result<TcpListener> {
    let socket = match listen {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_send_buffer_size(SEND_BUFFER)?;
    socket.bind(listen)?;
    socket.listen(BACKLOG)
}

async fn run<H, F>(
    mut listener: TcpListener,
    address: SocketAddr,
    switch: Switch,
    handler: H,
) -> Infallible
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = super::Result> + Send + 'static,
{
    // Dropping the set aborts the connections.
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            biased;
            () = switch.refusing(true) => {}
            _ = accept(&listener, &mut connections, &handler) => {}
        }
        drop(listener);
        switch.refusing(false).await;
        listener = bind_again(address).await;
    }
}

async fn accept<H, F>(
    listener: &TcpListener,
    connections: &mut JoinSet<()>,
    handler: &H,
) -> Infallible
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = super::Result> + Send + 'static,
{
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(connection(stream, handler.clone()));
                }
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

/// Binds a port that was given up, which another may hold for a moment.
async fn bind_again(address: SocketAddr) -> TcpListener {
    loop {
        match bind(address) {
            Ok(listener) => return listener,
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn connection<H, F>(stream: TcpStream, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = super::Result> + Send + 'static,
{
    // A socket that refuses the option still works, only slower.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let answer = handler(request);
        async move { finish(answer.await) }
    });
    // A cut connection is one of the faults, and a caller may leave at any time.
    let _ = http1::Builder::new()
        .max_buf_size(WRITE_BUFFER)
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

fn finish(answer: super::Result) -> std::result::Result<Answer, Cut> {
    match answer {
        Ok(answer) => Ok(answer),
        Err(Stop::Answered(answer)) => Ok(*answer),
        Err(Stop::Cut(cut)) => Err(cut),
    }
}
