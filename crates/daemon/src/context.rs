//! What the tasks of one daemon share: identity, views and clients.

use std::sync::Arc;

use medlarrill_core::ids::{Generation, Incarnation, RequestId};
use medlarrill_net::link::PeerId;
use medlarrill_net::{endpoint, platform};
use tokio::sync::watch;

use crate::claims;
use crate::configuration::{self, ConfigView};
use crate::entry::{AttemptTable, RequestStates, Tracker};
use crate::fleet::{self, FleetView};
use crate::home;
use crate::limits;
use crate::metrics::Metrics;
use crate::operators::StateQueries;
use crate::peers::Peers;
use crate::settings::Settings;

/// Why a daemon that knows no configuration yet takes no callers.
pub const NO_CONFIGURATION: &str = "no configuration";

/// Handles that every task may use.
pub struct Context {
    /// Settings as read at start.
    pub settings: Settings,
    /// This daemon and process.
    pub me: PeerId,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// The configuration in force.
    pub config: watch::Receiver<Arc<ConfigView>>,
    /// The daemons held to be live.
    pub fleet: watch::Receiver<Arc<FleetView>>,
    /// Sends to other daemons.
    pub peers: Peers,
    /// Tries of this entry that wait for an answer.
    pub attempts: AttemptTable,
    /// Questions of operators that wait for other daemons.
    pub state_queries: StateQueries,
    /// What became of requests.
    pub tracker: Tracker,
    /// What became of requests that other daemons took.
    pub states: RequestStates,
    /// Set once the daemon is told to stop.
    pub stopping: watch::Receiver<bool>,
    /// The claims task.
    pub claims: claims::Handle,
    /// The limits task.
    pub limits: limits::Handle,
    /// The home task.
    pub home: home::Handle,
    /// The configuration task.
    pub configuration: configuration::Handle,
    /// The membership task.
    pub fleet_task: fleet::Handle,
    /// Client of the platform.
    pub platform: platform::Client,
    /// Client of endpoints.
    pub endpoints: endpoint::Client,
}

impl Context {
    /// This process.
    pub const fn incarnation(&self) -> Incarnation {
        self.me.incarnation
    }

    /// A fresh request identifier, which names this process.
    pub fn new_request_id(&self) -> RequestId {
        let low: u64 = rand::random();
        RequestId(u128::from(self.me.incarnation.0) << 64 | u128::from(low))
    }

    /// Why the daemon takes no callers, unless it does.
    pub fn unready_reason(&self) -> Option<&'static str> {
        if *self.stopping.borrow() {
            return Some("stopping");
        }
        if self.config.borrow().config.generation == Generation::default() {
            return Some(NO_CONFIGURATION);
        }
        None
    }
}
