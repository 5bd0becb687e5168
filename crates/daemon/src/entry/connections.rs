//! Watches callers' connections, and counts those that bring no request.
//!
//! What isn't HTTP never reaches a handler: the HTTP library answers and
//! closes. Such a connection is known by its end.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use salvo::fuse::{ArcConnObserver, ConnObserver, FuseAction, FuseConfig, FuseInfo, FusePolicy};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait};

use crate::metrics::Metrics;

/// Nothing was sent before the connection ended.
const SILENT: &str = "silent";
/// What was sent was no request: broken, too large or too slow a head.
const BROKEN: &str = "broken";

/// Callers' connections. Cheap to clone.
#[derive(Clone)]
pub struct Connections {
    fuse: FuseConfig,
    metrics: Arc<Metrics>,
    /// Whether a request has come, by the address of the caller's side.
    served: Arc<Mutex<HashMap<SocketAddr, bool>>>,
}

impl Connections {
    /// None yet; each is held to these timeouts.
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
            heard: AtomicBool::new(false),
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

/// One connection, until its end.
struct Connection {
    all: Connections,
    remote: SocketAddr,
    heard: AtomicBool,
}

impl ConnObserver for Connection {
    fn on_read(&self, _bytes: usize) {
        self.heard.store(true, Ordering::Relaxed);
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.all.metrics.connections.dec();
        let served = self.all.lock().remove(&self.remote);
        if served == Some(true) {
            return;
        }
        let heard = self.heard.load(Ordering::Relaxed);
        self.all
            .metrics
            .unserved(if heard { BROKEN } else { SILENT });
    }
}
