//! Connects to endpoints for daemons that don't reach them.

use std::sync::Arc;

use derive_more::{Debug, Display, Error, From};
use futures_util::{SinkExt, StreamExt};
use medlarrill_core::routing::endpoint::Endpoint;
use medlarrill_core::routing::stop::Stage;
use medlarrill_net::now::now;
use tokio::net::TcpStream;

use super::carry::carry;
use super::message::{Reply, Target, Verdict};
use crate::metrics::Metrics;
use crate::shared::Shared;
use crate::socket::Link;

/// Connections that a daemon carries for others besides [`PER_REQUEST`].
const ALLOWANCE: i64 = 32;
/// Connections that a daemon carries for others for each request of its own callers: with two
/// thirds of the fleet cut off, each of the others helps two.
const PER_REQUEST: i64 = 3;
/// Maximum number of connections that a daemon carries for others; each takes two file
/// descriptors and two buffers.
const HELPED_MAX: i64 = 256;

/// Result of helping.
type Result<T> = std::result::Result<T, ServeError>;

/// Why a connection to an endpoint isn't carried, or not to its end.
#[derive(Debug, Display, Error, From)]
pub enum ServeError {
    /// The link failed.
    #[display("{_0}")]
    Io(std::io::Error),
    /// This daemon can't help.
    #[display("{_0:?}")]
    #[from(skip)]
    Refused(#[error(not(source))] Verdict),
    /// The daemon that asked is gone.
    #[display("the daemon that asked is gone")]
    #[from(skip)]
    Left,
}

/// Counts a connection that is carried for another daemon.
#[derive(Debug)]
pub struct HelpGuard(Arc<Metrics>);

impl HelpGuard {
    fn new(metrics: &Arc<Metrics>) -> Self {
        metrics.helping.inc();
        Self(Arc::clone(metrics))
    }
}

impl Drop for HelpGuard {
    fn drop(&mut self) {
        self.0.helping.dec();
    }
}

/// Connects to an endpoint for another daemon, and carries bytes until either side ends.
pub async fn serve(shared: &Shared, link: Link, wanted: &Target) {
    let mut link = link;
    let guard = HelpGuard::new(&shared.metrics);
    let helped = match connect(shared, &mut link, wanted).await {
        Ok(endpoint) => carry(link, endpoint).await.map_err(ServeError::Io),
        Err(ServeError::Refused(verdict)) => {
            link.send(Reply::new(verdict).encode()).await.ok();
            Err(ServeError::Refused(verdict))
        }
        Err(error) => Err(error),
    };
    drop(guard);
    if let Err(error) = helped {
        log::debug!(target: "tunnel", "tunnel: a connection for another daemon ended: {error}");
    }
}

/// Connects to the endpoint, unless the other daemon leaves before.
async fn connect(shared: &Shared, link: &mut Link, wanted: &Target) -> Result<TcpStream> {
    let endpoint = check(shared, wanted)?;
    link.send(Reply::new(Verdict::Accepted).encode()).await?;
    let connecting = shared.connections.paths().connect_for_other(&endpoint);
    let stream = tokio::select! {
        connected = connecting => connected.map_err(|_| ServeError::Refused(Verdict::Unreachable))?,
        _ = link.next() => return Err(ServeError::Left),
    };
    link.send(Reply::new(Verdict::Open).encode()).await?;
    Ok(stream)
}

/// Whether this daemon may help now; returns the endpoint.
fn check(shared: &Shared, wanted: &Target) -> Result<Arc<Endpoint>> {
    let refused = |verdict| Err(ServeError::Refused(verdict));
    let metrics = &shared.metrics;
    let limit = ALLOWANCE + PER_REQUEST * metrics.in_flight.get();
    if shared.stage(now()) != Stage::Serving {
        return refused(Verdict::Stopping);
    }
    if shared.connections.paths().is_cut_off() {
        return refused(Verdict::CutOff);
    }
    if metrics.helping.get() > limit.min(HELPED_MAX) {
        return refused(Verdict::Busy);
    }
    let id = wanted.id();
    let endpoint = id.and_then(|id| shared.placement.open_endpoint(&id));
    endpoint.ok_or(ServeError::Refused(Verdict::Unknown))
}
