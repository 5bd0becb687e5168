//! Remembers what was served lately.

use std::collections::HashMap;

use derive_more::Debug;

use crate::clock::Millis;
use crate::routing::fingerprint::Fingerprint;

/// Causes in each of the two generations.
const GENERATION_MAX: usize = 4096;

/// When the last complete response to a request with each cause began. Forgets those that weren't
/// served for the longest time.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct ServedMemory {
    recent: HashMap<Fingerprint, Millis>,
    older: HashMap<Fingerprint, Millis>,
}

impl ServedMemory {
    /// Records that a complete response began.
    pub fn record(&mut self, cause: Fingerprint, began: Millis) {
        let began = self.get(cause).map_or(began, |known| known.max(began));
        if self.recent.len() >= GENERATION_MAX && !self.recent.contains_key(&cause) {
            self.older = std::mem::take(&mut self.recent);
        }
        self.recent.insert(cause, began);
    }

    /// When the last complete response to a request with a cause began.
    pub fn get(&self, cause: Fingerprint) -> Option<Millis> {
        let known = self.recent.get(&cause);
        known.or_else(|| self.older.get(&cause)).copied()
    }
}
