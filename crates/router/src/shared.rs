//! State that the tasks of a daemon share.

use std::sync::{Arc, Mutex, PoisonError};

use derive_more::Debug;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::body_room::BodyRoom;
use medlarrill_core::routing::stop::{Stage, Stop};
use tokio::sync::watch;

use crate::endpoints::{ConnectionPool, UnreadHeaders};
use crate::entry::Crowd;
use crate::metrics::Metrics;
use crate::placement::Placement;
use crate::settings::Settings;
use crate::store::{ActiveConfig, Copies};
use crate::streams::Streams;

/// State shared by all tasks.
#[derive(Debug)]
pub struct Shared {
    /// Settings as read at the start of the process, with the addresses that were bound.
    pub settings: Settings,
    /// The active configuration.
    pub config: watch::Receiver<ActiveConfig>,
    /// Whether the required objects have been listed, and others have told what they know.
    pub is_informed: watch::Receiver<bool>,
    /// Routing state.
    pub placement: Arc<Placement>,
    /// Local copies of the platform's objects.
    pub copies: Arc<Copies>,
    /// Where streams began.
    pub streams: Streams,
    /// Idle connections to endpoints.
    pub connections: ConnectionPool,
    /// Decides which new connections of callers are taken.
    pub crowd: Arc<Crowd>,
    /// Reporter of endpoints' response headers that nothing reads.
    pub unread_headers: UnreadHeaders,
    /// Memory for bodies of responses.
    pub body_room: Mutex<BodyRoom>,
    /// Metrics of the daemon.
    pub metrics: Arc<Metrics>,
    /// Progress of the graceful stop.
    pub stop: Mutex<Stop>,
    /// Becomes true when idle connections of callers are to be closed.
    pub closing: watch::Sender<bool>,
}

impl Shared {
    /// Current stage of the graceful stop.
    pub fn stage(&self, now: Millis) -> Stage {
        let stop = self.stop.lock().unwrap_or_else(PoisonError::into_inner);
        stop.stage(now)
    }

    /// Begins the graceful stop.
    pub fn request_stop(&self, now: Millis) {
        let mut stop = self.stop.lock().unwrap_or_else(PoisonError::into_inner);
        stop.request(now);
    }

    /// Whether the load balancer should send connections to this daemon.
    pub fn is_ready(&self, now: Millis) -> bool {
        let is_configured = self.config.borrow().is_some() && *self.is_informed.borrow();
        is_configured && self.stage(now) == Stage::Serving && !self.crowd.is_full(now)
    }
}
