//! The callers' listener, which can be closed while answers go on.
//!
//! The server keeps its listener until its last answer is out. Meanwhile the
//! kernel would take connections that nobody serves and that break at the end,
//! so the listener is closed first, and what had connected by then is served.

use std::io::Result;
use std::time::Duration;

use salvo::conn::tcp::TcpAcceptor;
use salvo::conn::{Accepted, Acceptor, Holding};
use salvo::fuse::ArcFusePolicy;
use tokio::sync::watch;
use tokio::time::sleep;

/// Time without a new connection after which the listener closes.
const QUIET: Duration = Duration::from_millis(2);
/// Connections that are taken at most before it closes all the same.
const MOST: usize = 10_000;

/// How far a listener is closed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Phase {
    /// It takes connections.
    Open,
    /// It takes those that have come.
    Closing,
    /// It takes none.
    Closed,
}

/// An acceptor that can be closed.
pub struct Gate {
    inner: Option<TcpAcceptor>,
    holdings: Vec<Holding>,
    phase: watch::Sender<Phase>,
    taken: usize,
}

impl Gate {
    /// An acceptor that follows `phase` and tells there when it is closed.
    pub fn new(inner: TcpAcceptor, phase: watch::Sender<Phase>) -> Self {
        let holdings = inner.holdings().to_vec();
        Self {
            inner: Some(inner),
            holdings,
            phase,
            taken: 0,
        }
    }
}

impl Acceptor for Gate {
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
            self.taken += 1;
            tokio::select! {
                biased;
                accepted = inner.accept(policy.clone()), if self.taken < MOST => return accepted,
                () = sleep(QUIET) => {}
            }
            self.inner = None;
            self.phase.send_replace(Phase::Closed);
        }
        std::future::pending().await
    }
}
