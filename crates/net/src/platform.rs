//! Calls to the platform's object API.
//!
//! Each call is made in a role, within the rate budget of that role. Its result
//! says whether a write took effect. Each role has a circuit breaker: while the
//! platform seems down, one call per role probes it, and the others fail at once
//! without being sent.

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
pub use follow::{Follow, FollowEvent, Follower, LastContact};
pub use model::{
    Change, Changes, Entry, Era, Listing, MAX_OBJECT, Object, Read, Revision, Version, Vm, VmKind,
    VmList, VmState,
};
pub use retry::RetryOn;
pub use role::{Budget, Ending, Kind, Role};

/// Settings of a platform client.
#[derive(Clone, PartialEq)]
#[derive(Debug)]
pub struct Settings {
    /// The platform's address.
    pub address: SocketAddr,
    /// The VM that calls, sent as a header of each call.
    pub vm: Option<VmId>,
    /// Rate budgets, in the order of `Role::ALL`.
    budgets: [Budget; Role::ALL.len()],
    /// Delays between attempts.
    pub backoff: Backoff,
    /// Connection limits.
    pub limits: Limits,
    /// Seed of the jitter; must differ between processes.
    pub seed: u64,
}

impl Settings {
    /// Settings with the default budgets and limits.
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

    /// Sets the VM that calls.
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

    /// Sets the delays between attempts.
    #[must_use]
    pub const fn with_backoff(mut self, backoff: Backoff) -> Self {
        self.backoff = backoff;
        self
    }

    /// Sets the connection limits.
    #[must_use]
    pub const fn with_limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }
}

/// Client of the platform. Cheap to clone; clones share budgets and counters.
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
    /// In the order of `Role::ALL`. Each is locked only for a few instructions.
    gates: [Mutex<Gate>; Role::ALL.len()],
    counts: Counts,
}

impl Client {
    /// A client with its own connection pool.
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

    /// The current values of the counters.
    pub fn snapshot(&self) -> Snapshot {
        self.shared.counts.snapshot()
    }

    /// Whether the role's circuit breaker considers the platform down.
    pub fn is_down(&self, role: Role) -> bool {
        self.shared.gate(role).is_down()
    }
}

impl Shared {
    fn gate(&self, role: Role) -> MutexGuard<'_, Gate> {
        self.gates[role as usize]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
