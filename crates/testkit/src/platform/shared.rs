//! The state of one platform.

use std::sync::Mutex;

use hyper::{HeaderMap, StatusCode};
use tokio::sync::watch;

use super::budget::{Bucket, Budget};
use super::calls::{Call, Calls};
use super::fault::Faults;
use super::store::Store;
use super::vms::Vms;
use crate::http::{self, Switch, header, refuse};
use crate::lock;

/// Seconds in the `Retry-After` of a spent budget.
const RETRY_AFTER: u64 = 1;
/// The role of callers that name none.
const NO_ROLE: &str = "-";

/// All state of one platform.
pub(super) struct Shared {
    store: Mutex<Store>,
    /// The era and revision of the last change.
    position: watch::Sender<(u64, u64)>,
    pub(super) switch: Switch,
    writes: Mutex<Bucket>,
    reads: Mutex<Bucket>,
    pub(super) faults: Mutex<Faults>,
    pub(super) vms: Mutex<Vms>,
    pub(super) calls: Mutex<Calls>,
}

impl Default for Shared {
    fn default() -> Self {
        Self {
            store: Mutex::default(),
            position: watch::Sender::new((0, 0)),
            switch: Switch::default(),
            writes: Mutex::new(Bucket::new(None)),
            reads: Mutex::new(Bucket::new(None)),
            faults: Mutex::default(),
            vms: Mutex::default(),
            calls: Mutex::default(),
        }
    }
}

impl Shared {
    /// Works on the store, then wakes the watches if it changed.
    pub(super) fn store<T>(&self, work: impl FnOnce(&mut Store) -> T) -> T {
        let mut store = lock(&self.store);
        let done = work(&mut store);
        let position = (store.era(), store.revision());
        let changed = |last: &mut (u64, u64)| std::mem::replace(last, position) != position;
        self.position.send_if_modified(changed);
        done
    }

    pub(super) fn positions(&self) -> watch::Receiver<(u64, u64)> {
        self.position.subscribe()
    }

    pub(super) fn set_faults(&self, faults: Faults) {
        self.switch.set(faults.plan());
        *lock(&self.faults) = faults;
    }

    pub(super) fn set_budget(&self, budget: Budget) {
        *lock(&self.writes) = Bucket::new(budget.writes);
        *lock(&self.reads) = Bucket::new(budget.reads);
    }

    /// Spends the budget of a call; 429 if that is spent.
    pub(super) fn spend(&self, caller: &Caller, call: Call) -> http::Result<()> {
        let bucket = if call.is_write() {
            &self.writes
        } else {
            &self.reads
        };
        if lock(bucket).take() {
            return Ok(());
        }
        lock(&self.calls).refuse(&caller.role, call);
        let status = StatusCode::TOO_MANY_REQUESTS;
        Err(refuse(status, RETRY_AFTER, "budget spent").into())
    }

    /// Waits as the faults say.
    pub(super) async fn delay(&self, caller: &Caller) {
        let faults = lock(&self.faults).clone();
        if faults.meets(caller.vm()) {
            tokio::time::sleep(faults.delay.as_duration()).await;
        }
    }
}

/// Who calls.
pub(super) struct Caller {
    pub(super) role: String,
    vm: Option<String>,
}

impl Caller {
    pub(super) fn new(headers: &HeaderMap) -> Self {
        Self {
            role: header(headers, "x-caller-role").unwrap_or(NO_ROLE).into(),
            vm: header(headers, "x-caller-vm").map(str::to_owned),
        }
    }

    pub(super) fn vm(&self) -> Option<&str> {
        self.vm.as_deref()
    }
}
