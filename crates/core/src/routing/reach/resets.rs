//! Whether this daemon's own link resets its connections.
//!
//! A process that ends takes the connections to one endpoint with it; a link that
//! fails takes those to most endpoints at once, also the idle ones. Losses at such
//! a moment are no evidence against the requests that ran on them.

use std::collections::HashMap;

use derive_more::Debug;
use foldhash::fast::RandomState;

use super::{LOSS_WINDOW, OWN_LOSSES};
use crate::clock::Millis;
use crate::routing::endpoint::InstanceId;

/// This daemon's direct connections to endpoints, and which were reset lately.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct Resets {
    /// Number of open connections by endpoint.
    open: HashMap<InstanceId, usize, RandomState>,
    /// Endpoints whose connections were reset within [`LOSS_WINDOW`], and when last.
    recent: HashMap<InstanceId, Millis, RandomState>,
    /// When this daemon's link last reset connections.
    link_reset_at: Option<Millis>,
}

impl Resets {
    /// Records a new connection to an endpoint.
    pub fn record_opened(&mut self, id: &InstanceId) {
        *self.open.entry(id.clone()).or_default() += 1;
    }

    /// Records that a connection was closed, for whatever reason.
    pub fn record_closed(&mut self, id: &InstanceId) {
        let Some(count) = self.open.get_mut(id) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.open.remove(id);
        }
    }

    /// Records that a connection was reset.
    pub fn record_reset(&mut self, id: &InstanceId, now: Millis) {
        self.recent.retain(|_, at| now.since(*at) < LOSS_WINDOW);
        self.recent.insert(id.clone(), now);
        let reset = self.recent.len();
        let spared = self.open.keys().filter(|id| !self.recent.contains_key(id));
        if reset >= OWN_LOSSES && reset > spared.count() {
            self.link_reset_at = Some(now);
        }
    }

    /// Whether connections that were lost at a time were reset by this daemon's own link.
    pub fn is_own(&self, lost_at: Millis) -> bool {
        let is_near = |at: Millis| at.since(lost_at) + lost_at.since(at) <= LOSS_WINDOW;
        self.link_reset_at.is_some_and(is_near)
    }
}
