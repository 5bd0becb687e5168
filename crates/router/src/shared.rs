//! What the tasks of a daemon share.

use std::sync::{Arc, Mutex, PoisonError};

use derive_more::Debug;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::stop::{Stage, Stop};
use tokio::sync::watch;

use crate::endpoints::{Connections, UnreadHeaders};
use crate::metrics::Metrics;
use crate::placement::Placement;
use crate::settings::Settings;
use crate::store::{Copies, InForce};

/// Shared by all tasks.
#[derive(Debug)]
pub struct Shared {
    /// Settings at the start.
    pub settings: Settings,
    /// The configuration in force.
    pub config: watch::Receiver<InForce>,
    /// Whether the list of endpoints was read.
    pub listed: watch::Receiver<bool>,
    /// Endpoints and where requests go.
    pub placement: Arc<Placement>,
    /// Copies of the platform's objects.
    pub copies: Arc<Copies>,
    /// Connections to endpoints.
    pub connections: Connections,
    /// Headers of endpoints' answers that nothing reads.
    pub unread: UnreadHeaders,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// The graceful stop.
    pub stop: Mutex<Stop>,
    /// Set when idle connections of callers are to be closed.
    pub closing: watch::Sender<bool>,
}

impl Shared {
    /// The stage of the graceful stop.
    pub fn stage(&self, now: Millis) -> Stage {
        let stop = self.stop.lock().unwrap_or_else(PoisonError::into_inner);
        stop.stage(now)
    }

    /// Notes the signal to stop.
    pub fn ask_stop(&self, now: Millis) {
        let mut stop = self.stop.lock().unwrap_or_else(PoisonError::into_inner);
        stop.request(now);
    }

    /// Whether this daemon should be given connections.
    pub fn is_ready(&self, now: Millis) -> bool {
        let known = self.config.borrow().is_some() && *self.listed.borrow();
        known && self.stage(now) == Stage::Serving
    }
}
