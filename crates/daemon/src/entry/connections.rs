//! Counts callers' connections, and those that end without a valid request.
//!
//! Input that isn't HTTP never reaches a handler: the HTTP library answers it
//! and closes. Such a connection is counted when it ends.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use salvo::fuse::{ArcConnObserver, ConnObserver, FuseAction, FuseConfig, FuseInfo, FusePolicy};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait};

use crate::metrics::Metrics;

/// Label: nothing was sent before the connection ended.
const SILENT: &str = "silent";
/// Label: the request head was malformed, too large or too slow.
const BROKEN: &str = "broken";

/// Callers' connections. Cheap to clone.
#[derive(Clone)]
pub struct Connections {
    fuse: FuseConfig,
    metrics: Arc<Metrics>,
    /// Whether a request was read, by the caller's address.
    served: Arc<Mutex<HashMap<SocketAddr, bool>>>,
}

impl Connections {
    /// No connections yet; each gets the timeouts of `fuse`.
    pub fn new(fuse: FuseConfig, metrics: Arc<Metrics>) -> Self {
        Self {
            fuse,
            metrics,
            served: Arc::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, bool>> {
        self.served.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[async_trait]
impl FusePolicy for Connections {
    async fn decide(&self, _info: &FuseInfo) -> FuseAction {
        FuseAction::Accept(self.fuse)
    }

    fn observe(&self, info: &FuseInfo, _ctrl: &salvo::conn::ConnCtrl) -> Option<ArcConnObserver> {
        let remote = info.remote_addr.clone().into_std()?;
        self.lock().insert(remote, false);
        self.metrics.connections.inc();
        Some(Arc::new(Connection {
            all: self.clone(),
            remote,
            received: AtomicBool::new(false),
        }))
    }
}

#[async_trait]
impl Handler for Connections {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        _response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        let Some(remote) = request.remote_addr().clone().into_std() else {
            return;
        };
        if let Some(served) = self.lock().get_mut(&remote) {
            *served = true;
        }
    }
}

/// Observes one connection until its end.
struct Connection {
    all: Connections,
    remote: SocketAddr,
    received: AtomicBool,
}

impl ConnObserver for Connection {
    fn on_read(&self, _bytes: usize) {
        self.received.store(true, Ordering::Relaxed);
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.all.metrics.connections.dec();
        let served = self.all.lock().remove(&self.remote);
        if served == Some(true) {
            return;
        }
        let received = self.received.load(Ordering::Relaxed);
        self.all
            .metrics
            .record_unserved(if received { BROKEN } else { SILENT });
    }
}
