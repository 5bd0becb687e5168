//! Endpoints that were taken for lost and came back as the same process.

use std::collections::HashMap;

use derive_more::Debug;

use super::suspect::Record;
use crate::clock::Millis;

/// Endpoints that are remembered.
const COUNT_MAX: usize = 512;

/// When endpoints, by their short ids, came back last.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct Survivors {
    times: HashMap<u32, Millis>,
}

impl Survivors {
    /// Records that an endpoint came back.
    pub fn record(&mut self, endpoint: u32, now: Millis) {
        self.times.insert(endpoint, now);
        if self.times.len() > COUNT_MAX {
            let oldest = self.times.iter().min_by_key(|(id, at)| (**at, **id));
            let oldest = oldest.map(|(id, _)| *id);
            oldest.and_then(|id| self.times.remove(&id));
        }
    }

    /// Whether a record says that an endpoint was lost before it came back.
    pub fn refute(&self, record: &Record) -> bool {
        let endpoint = record.finding.endpoint();
        let back = endpoint.and_then(|endpoint| self.times.get(&endpoint));
        back.is_some_and(|back| record.at <= *back)
    }
}
