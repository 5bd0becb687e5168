//! The HTTP server for callers and operators.

use std::net::SocketAddr;
use std::sync::Arc;

use derive_more::{Debug, Display, Error, From};
use medlarrill_core::clock::Millis;
use salvo::conn::tcp::TcpAcceptor;
use salvo::fuse::FuseConfig;
use salvo::server::ServerHandle;
use salvo::{Router, Server};
use tokio::net::TcpSocket;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use super::acceptor::{ClosableAcceptor, Phase};
use super::connections::Connections;
use super::handlers::{CallerRequests, Live, MetricsPage, Ready, RequestState};
use crate::context::Context;
use crate::operators::Operators;
use crate::settings::Limits;

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;
/// Smallest buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER: usize = 8 << 10;
/// Longest wait for the listener to close; a server at its connection limit doesn't close it.
const CLOSE_TIMEOUT: Millis = Millis::from_secs(1);

/// Result of starting the server.
pub type Result<T> = std::result::Result<T, ServerError>;

/// Why the server can't start.
#[derive(Debug, Display, Error, From)]
pub enum ServerError {
    /// The address can't be bound.
    #[display("can't listen for callers: {_0}")]
    Bind(std::io::Error),
}

/// A bound server, not yet serving.
pub struct Bound {
    acceptor: TcpAcceptor,
    /// The address that it listens on.
    pub address: SocketAddr,
}

/// Binds the callers' address.
///
/// # Errors
///
/// When it can't be bound.
pub fn bind(address: SocketAddr, limits: &Limits) -> Result<Bound> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // By default the kernel buffers megabytes for each caller that doesn't read.
    let window = u32::try_from(limits.window.0).unwrap_or(u32::MAX);
    socket.set_send_buffer_size(window)?;
    socket.bind(address)?;
    let listener = socket.listen(BACKLOG)?;
    let address = listener.local_addr()?;
    let acceptor = listener.try_into()?;
    Ok(Bound { acceptor, address })
}

/// A running server.
pub struct Serving {
    handle: ServerHandle,
    task: JoinHandle<()>,
    phase: watch::Sender<Phase>,
}

impl Serving {
    /// Accepts no new connections, and waits until the open ones have ended; closes them after
    /// `limit`.
    pub async fn stop(self, limit: Millis) {
        self.phase.send_replace(Phase::Closing);
        let mut phase = self.phase.subscribe();
        let closed = phase.wait_for(|phase| *phase == Phase::Closed);
        // On a timeout, the server is full and only connections not yet accepted are lost.
        let _ = timeout(CLOSE_TIMEOUT.as_duration(), closed).await;
        self.handle.stop_graceful(Some(limit.as_duration()));
        if let Err(error) = self.task.await {
            log::error!(target: "entry", "entry: the server task failed: {error}");
        }
    }
}

/// Serves until `Serving::stop` is called.
pub fn serve(bound: Bound, context: &Arc<Context>) -> Serving {
    let limits = &context.settings.limits;
    let fuse = FuseConfig::default()
        .with_http1_header_timeout(limits.head_wait.as_duration())
        .with_write_stall_timeout(limits.write_wait.as_duration());
    let connections = Connections::new(fuse, Arc::clone(&context.metrics));
    let phase = watch::Sender::new(Phase::Open);
    let mut server = Server::new(ClosableAcceptor::new(bound.acceptor, phase.clone()))
        .fuse_policy(connections.clone())
        .max_connections(limits.connections as usize);
    let head = usize::try_from(limits.head.0).unwrap_or(usize::MAX);
    server
        .http1_mut()
        .max_buf_size(head.max(MIN_BUFFER))
        .max_headers(limits.headers as usize);
    let handle = server.handle();
    let task = tokio::spawn(server.serve(router(context).hoop(connections)));
    Serving {
        handle,
        task,
        phase,
    }
}

fn router(context: &Arc<Context>) -> Router {
    let share = || Arc::clone(context);
    Router::new()
        .push(Router::with_path("healthz").get(Live))
        .push(Router::with_path("readyz").get(Ready(share())))
        .push(Router::with_path("metrics").get(MetricsPage(share())))
        .push(Router::with_path("v1/operator").post(Operators(share())))
        .push(Router::with_path("v1/requests/{id}").get(RequestState(share())))
        .push(Router::with_path("{**rest}").goal(CallerRequests(share())))
}
