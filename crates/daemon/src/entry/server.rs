//! The HTTP server for callers and operators.

use std::net::SocketAddr;
use std::sync::Arc;

use derive_more::{Debug, Display, Error, From};
use salvo::conn::tcp::TcpAcceptor;
use salvo::conn::{Acceptor, Listener, TcpListener};
use salvo::server::ServerHandle;
use salvo::{Router, Server};

use super::handlers::{Calls, Counters, Live, Ready, RequestState};
use crate::context::Context;
use crate::operators::Operators;

/// Result of starting the server.
pub type Result<T> = std::result::Result<T, ServerError>;

/// Why the server can't start.
#[derive(Debug, Display, Error, From)]
pub enum ServerError {
    /// The address can't be bound.
    #[display("can't listen for callers: {_0}")]
    Bind(salvo::Error),
    /// The bound address can't be told.
    #[display("the bound address is not an IP address")]
    Address,
}

/// A bound server, not yet serving.
pub struct Bound {
    acceptor: TcpAcceptor,
    /// Where it listens.
    pub address: SocketAddr,
}

/// Binds the callers' address.
///
/// # Errors
///
/// When it can't be bound.
pub async fn bind(address: SocketAddr) -> Result<Bound> {
    let acceptor = TcpListener::new(address).try_bind().await?;
    let holding = acceptor.holdings().first().ok_or(ServerError::Address)?;
    let address = holding
        .local_addr
        .clone()
        .into_std()
        .ok_or(ServerError::Address)?;
    Ok(Bound { acceptor, address })
}

/// Serves until the handle is told to stop.
pub fn serve(bound: Bound, context: &Arc<Context>) -> ServerHandle {
    let server = Server::new(bound.acceptor);
    let handle = server.handle();
    tokio::spawn(server.serve(router(context)));
    handle
}

fn router(context: &Arc<Context>) -> Router {
    let share = || Arc::clone(context);
    Router::new()
        .push(Router::with_path("healthz").get(Live))
        .push(Router::with_path("readyz").get(Ready(share())))
        .push(Router::with_path("metrics").get(Counters(share())))
        .push(Router::with_path("v1/operator").post(Operators(share())))
        .push(Router::with_path("v1/requests/{id}").get(RequestState(share())))
        .push(Router::with_path("{**rest}").goal(Calls(share())))
}
