//! The load report, which lags.

use std::collections::VecDeque;

use medlarrill_core::clock::Millis;
use serde::{Deserialize, Serialize};

use super::cache::CacheLoad;
use crate::Readiness;

/// The load of an engine at a time.
#[derive(Clone, PartialEq, Eq, Default, Debug)]
#[derive(Serialize, Deserialize)]
pub struct Load {
    /// When it was true, by the engine's wall clock in ms.
    pub as_of: u64,
    /// Requests that run.
    pub running: u64,
    /// Requests that wait.
    pub waiting: u64,
    /// Tokens of work in hand.
    pub tokens: u64,
    /// Requests that can run at once.
    pub slots: u64,
    /// Whether it takes work.
    pub state: Readiness,
    /// How full the cache is.
    pub cache: CacheLoad,
}

/// The reports of the last while, the oldest first.
#[derive(Debug)]
pub(super) struct Reports {
    lag: Millis,
    kept: VecDeque<Load>,
}

impl Reports {
    pub(super) const fn new(lag: Millis) -> Self {
        let kept = VecDeque::new();
        Self { lag, kept }
    }

    /// Keeps a report and forgets those that no call can get any more.
    pub(super) fn record(&mut self, load: Load) {
        let seen = Millis(load.as_of) - self.lag;
        self.kept.push_back(load);
        while self.kept.get(1).is_some_and(|next| next.as_of <= seen.0) {
            self.kept.pop_front();
        }
    }

    /// The latest report that is as old as the lag, the first one if none is.
    pub(super) fn show(&self, now: Millis) -> Option<&Load> {
        let seen = now - self.lag;
        let old = |load: &&Load| load.as_of <= seen.0;
        self.kept.iter().rfind(old).or(self.kept.front())
    }
}
