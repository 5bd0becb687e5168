//! Slow start: endpoints that get fewer requests after a start.

use std::collections::{HashMap, HashSet};

use derive_more::Debug;

use super::View;
use crate::clock::Millis;
use crate::ids::PoolId;
use crate::routing::endpoint::InstanceId;
use crate::routing::slow_start::SlowStart;

/// Endpoints whose slow start began or ended.
#[derive(Clone, PartialEq, Eq, Default)]
#[derive(Debug)]
pub struct SlowStartChanges {
    /// Endpoints that are in slow start from now on.
    pub started: Vec<InstanceId>,
    /// Endpoints whose slow start is over.
    pub ended: Vec<InstanceId>,
}

impl View {
    /// Sets the pools that have a slow start.
    pub fn configure_slow_starts(&mut self, pools: HashMap<PoolId, SlowStart>) {
        self.slow_starts.configure(pools);
    }

    /// Starts the slow start of a listed endpoint; `left` is its remaining time.
    pub fn begin_slow_start(&mut self, id: &InstanceId, left: Millis, now: Millis) {
        if self.directory.is_listed(id) {
            self.slow_starts.begin(id, left, now);
        }
    }

    /// Returns the endpoints whose slow start began or ended since the last call.
    pub fn review_slow_starts(&mut self, now: Millis) -> SlowStartChanges {
        self.slow_starts.prune(now);
        let current: HashSet<InstanceId> = self.slow_starts.active(now).cloned().collect();
        let changes = SlowStartChanges {
            started: current.difference(&self.in_slow_start).cloned().collect(),
            ended: self.in_slow_start.difference(&current).cloned().collect(),
        };
        self.in_slow_start = current;
        changes
    }

    /// Number of endpoints in slow start as of the last review.
    pub fn slow_start_count(&self) -> usize {
        self.in_slow_start.len()
    }

    /// Starts the slow start of an endpoint that may have restarted.
    pub(super) fn presume_restart(&mut self, id: &InstanceId, now: Millis) {
        if let Some(endpoint) = self.directory.get(id) {
            let pool = endpoint.pool.clone();
            self.slow_starts.begin_full(id, &pool, now);
        }
    }
}
