//! The platform: an object store in memory, the list of VMs, budgets and
//! faults.

mod api;
mod budget;
mod calls;
mod fault;
mod shared;
mod store;
mod vms;
mod watch;
mod write;

pub use budget::Budget;
pub use calls::{Call, CallCount};
pub use fault::Faults;
pub use store::{Change, Entry, MAX_OBJECT, Object, Store, StoreError};
pub use vms::{Kind, State, Vm, VmList, VmUpdate};

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use medlarrill_core::clock::Millis;

use crate::http::{self, Server};
use crate::lock;
use shared::Shared;

/// Result of starting a platform.
pub type Result<T> = std::io::Result<T>;

/// A running platform, stopped when dropped.
pub struct Platform {
    server: Server,
    shared: Arc<Shared>,
}

impl Platform {
    /// Starts an empty platform at `listen`.
    pub async fn start(listen: SocketAddr) -> Result<Self> {
        let shared = Arc::new(Shared::default());
        let handler = Arc::clone(&shared);
        let server = http::serve(listen, shared.switch.clone(), move |request| {
            let shared = Arc::clone(&handler);
            async move { api::answer(&shared, request).await }
        })
        .await?;
        Ok(Self { server, shared })
    }

    /// Where it listens.
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.set_faults(faults);
    }

    /// The faults that are left.
    pub fn faults(&self) -> Faults {
        lock(&self.shared.faults).clone()
    }

    /// Limits calls from now on.
    pub fn set_budget(&self, budget: Budget) {
        self.shared.set_budget(budget);
    }

    /// Changes the list of VMs, shown to all after the lag.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        lock(&self.shared.vms).set(vms);
    }

    /// Shows `viewer` a list of its own at once, or the common one again.
    pub fn set_vms_for(&self, viewer: &str, vms: Option<Vec<Vm>>) {
        lock(&self.shared.vms).set_for(viewer, vms);
    }

    /// Sets how long changes of the list take to show.
    pub fn set_vm_lag(&self, lag: Millis) {
        lock(&self.shared.vms).set_lag(lag);
    }

    /// Calls so far by role and kind, in order.
    pub fn calls(&self) -> Vec<CallCount> {
        lock(&self.shared.calls).list()
    }

    /// The revision of the last change.
    pub fn revision(&self) -> u64 {
        self.shared.store(|store| store.revision())
    }

    /// The present object under `key`.
    pub fn object(&self, key: &str) -> Option<Object> {
        self.shared.store(|store| store.get(key).cloned())
    }

    /// The present keys under `prefix`, in order.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.shared.store(|store| {
            let entries = store.list(prefix, "", usize::MAX);
            entries.into_iter().map(|entry| entry.key).collect()
        })
    }

    /// Writes `key` whatever its version, past faults and budgets.
    pub fn put(&self, key: &str, body: impl Into<Bytes>) -> u64 {
        let body = body.into();
        self.shared.store(|store| store.put(key, body))
    }

    /// What it holds now.
    pub fn copy(&self) -> Store {
        self.shared.store(|store| store.clone())
    }

    /// Goes back to a copy: what was written since is lost, and its revisions are given out again.
    pub fn restore(&self, copy: Store) {
        self.shared.store(|store| store.restore(copy));
    }

    /// Becomes another platform, which counts revisions and eras on its own.
    pub fn rebuild(&self, other: Store) {
        self.shared.store(|store| *store = other);
    }

    /// Forgets the changes so far, so that a watch behind them gets 410.
    pub fn compact(&self) {
        self.shared.store(Store::compact);
    }

    /// Stops it and waits until its port is closed; the objects are gone.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}
