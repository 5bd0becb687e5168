//! Calls to the platform's object API.
//!
//! Each call names the role that spends it, keeps to that role's budget, and
//! ends in one typed way that says whether a write took effect. While the
//! platform looks down, one call per role finds out whether it is back, and
//! the others fail at once without being sent.

mod backoff;
mod calls;
mod counts;
mod error;
mod exchange;
mod follow;
mod gate;
mod model;
mod retry;
mod role;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use derive_more::Debug;
use medlarrill_core::ids::VmId;

use crate::http::{Http, Limits};
use counts::Counts;
use gate::Gate;

pub use backoff::Backoff;
pub use counts::{ByteCount, CallCount, Snapshot};
pub use error::{Error, Refusal, Result};
pub use follow::{Follow, Followed, Follower, Heard};
pub use model::{
    Change, Changes, Entry, Listing, MAX_OBJECT, Object, Read, Revision, Version, Vm, VmKind,
    VmList, VmState,
};
pub use retry::Repeat;
pub use role::{Budget, Ending, Kind, Role};

/// Where the platform is, and what this daemon may spend there.
#[derive(Clone, PartialEq)]
#[derive(Debug)]
pub struct Settings {
    /// Where it listens.
    pub address: SocketAddr,
    /// The VM that calls, named in each call.
    pub vm: Option<VmId>,
    /// Budgets, in the order of `Role::ALL`.
    budgets: [Budget; Role::ALL.len()],
    /// Waits between tries.
    pub backoff: Backoff,
    /// Limits of the connections.
    pub limits: Limits,
    /// Seed of the jitter; different in each process.
    pub seed: u64,
}

impl Settings {
    /// The usual budgets and limits.
    pub fn new(address: SocketAddr, seed: u64) -> Self {
        Self {
            address,
            vm: None,
            budgets: Role::ALL.map(Role::default_budget),
            backoff: Backoff::default(),
            limits: Limits::default(),
            seed,
        }
    }

    /// Names the VM that calls.
    #[must_use]
    pub fn with_vm(mut self, vm: VmId) -> Self {
        self.vm = Some(vm);
        self
    }

    /// Sets the budget of one role.
    #[must_use]
    pub const fn with_budget(mut self, role: Role, budget: Budget) -> Self {
        self.budgets[role as usize] = budget;
        self
    }

    /// Sets the waits between tries.
    #[must_use]
    pub const fn with_backoff(mut self, backoff: Backoff) -> Self {
        self.backoff = backoff;
        self
    }

    /// Sets the limits of the connections.
    #[must_use]
    pub const fn with_limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }
}

/// Calls the platform. Cheap to clone; clones share budgets and counters.
#[derive(Clone)]
#[derive(Debug)]
pub struct Client {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    http: Http,
    address: SocketAddr,
    vm: Option<VmId>,
    /// In the order of `Role::ALL`; held for a few instructions at a time.
    gates: [Mutex<Gate>; Role::ALL.len()],
    counts: Counts,
}

impl Client {
    /// A client with its own connections.
    pub fn new(settings: Settings) -> Self {
        let gate = |role: Role| {
            let budget = settings.budgets[role as usize];
            let seed = settings.seed.wrapping_add(role as u64);
            Mutex::new(Gate::new(budget, settings.backoff, seed))
        };
        let shared = Shared {
            http: Http::new(&settings.limits),
            address: settings.address,
            gates: Role::ALL.map(gate),
            counts: Counts::default(),
            vm: settings.vm,
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// The counters as they stand.
    pub fn snapshot(&self) -> Snapshot {
        self.shared.counts.snapshot()
    }

    /// Whether the platform looks down to a role.
    pub fn looks_down(&self, role: Role) -> bool {
        self.shared.gate(role).looks_down()
    }
}

impl Shared {
    fn gate(&self, role: Role) -> MutexGuard<'_, Gate> {
        self.gates[role as usize]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
