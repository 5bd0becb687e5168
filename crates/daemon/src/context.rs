//! State shared by the tasks of one daemon: identity, views and clients.

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

/// Reason that a daemon is not ready before it has a configuration.
pub const NO_CONFIGURATION: &str = "no configuration";

/// Handles, views and clients available to every task.
pub struct Context {
    /// Settings as read at start.
    pub settings: Settings,
    /// Name and incarnation of this daemon.
    pub me: PeerId,
    /// Counters and gauges.
    pub metrics: Arc<Metrics>,
    /// The configuration in force.
    pub config: watch::Receiver<Arc<ConfigView>>,
    /// Daemons considered live.
    pub fleet: watch::Receiver<Arc<FleetView>>,
    /// Sends to other daemons.
    pub peers: Peers,
    /// Attempts of this entry that wait for an answer.
    pub attempts: AttemptTable,
    /// Queries to other daemons for the state of their endpoints.
    pub state_queries: StateQueries,
    /// States of requests taken here.
    pub tracker: Tracker,
    /// States of requests taken by other daemons.
    pub states: RequestStates,
    /// True once the daemon is stopping.
    pub stopping: watch::Receiver<bool>,
    /// Handle of the claims task.
    pub claims: claims::Handle,
    /// Handle of the limits task.
    pub limits: limits::Handle,
    /// Handle of the home task.
    pub home: home::Handle,
    /// Handle of the configuration task.
    pub configuration: configuration::Handle,
    /// Handle of the membership task.
    pub fleet_task: fleet::Handle,
    /// Client of the platform.
    pub platform: platform::Client,
    /// Client of endpoints.
    pub endpoints: endpoint::Client,
}

impl Context {
    /// Incarnation of this process.
    pub const fn incarnation(&self) -> Incarnation {
        self.me.incarnation
    }

    /// A new request identifier: the incarnation in its high 64 bits, random low bits.
    pub fn new_request_id(&self) -> RequestId {
        let low: u64 = rand::random();
        RequestId(u128::from(self.me.incarnation.0) << 64 | u128::from(low))
    }

    /// Why the daemon isn't ready for callers; `None` if it is.
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
