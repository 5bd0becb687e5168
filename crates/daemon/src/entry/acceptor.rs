//! The callers' listener, which can be closed while responses are still being sent.
//!
//! The server keeps its listener open until its last response is sent. Until
//! then the kernel would accept connections that are never served and are
//! reset at the end. So the listener is closed first, and the connections
//! accepted up to that point are served.

use std::io::Result;
use std::time::Duration;

use salvo::conn::tcp::TcpAcceptor;
use salvo::conn::{Accepted, Acceptor, Holding};
use salvo::fuse::ArcFusePolicy;
use tokio::sync::watch;
use tokio::time::sleep;

/// Time without a new connection after which the listener closes.
const QUIET_TIME: Duration = Duration::from_millis(2);
/// Most connections accepted while closing, after which the listener closes regardless.
const MAX_LATE: usize = 10_000;

/// State of the listener.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Phase {
    /// Accepts connections.
    Open,
    /// Accepts only connections that are already pending.
    Closing,
    /// Accepts none.
    Closed,
}

/// A TCP acceptor that can be closed before the server stops.
pub struct ClosableAcceptor {
    inner: Option<TcpAcceptor>,
    holdings: Vec<Holding>,
    phase: watch::Sender<Phase>,
    /// Connections accepted while closing.
    late: usize,
}

impl ClosableAcceptor {
    /// An acceptor that follows `phase` and sets it to `Closed` once it is closed.
    pub fn new(inner: TcpAcceptor, phase: watch::Sender<Phase>) -> Self {
        let holdings = inner.holdings().to_vec();
        Self {
            inner: Some(inner),
            holdings,
            phase,
            late: 0,
        }
    }
}

impl Acceptor for ClosableAcceptor {
    type Coupler = <TcpAcceptor as Acceptor>::Coupler;
    type Stream = <TcpAcceptor as Acceptor>::Stream;

    fn holdings(&self) -> &[Holding] {
        &self.holdings
    }

    async fn accept(
        &mut self,
        policy: Option<ArcFusePolicy>,
    ) -> Result<Accepted<Self::Coupler, Self::Stream>> {
        let mut phase = self.phase.subscribe();
        while let Some(inner) = &mut self.inner {
            if *phase.borrow_and_update() == Phase::Open {
                tokio::select! {
                    accepted = inner.accept(policy.clone()) => return accepted,
                    _ = phase.changed() => continue,
                }
            }
            self.late += 1;
            tokio::select! {
                biased;
                accepted = inner.accept(policy.clone()), if self.late < MAX_LATE => return accepted,
                () = sleep(QUIET_TIME) => {}
            }
            self.inner = None;
            self.phase.send_replace(Phase::Closed);
        }
        std::future::pending().await
    }
}
