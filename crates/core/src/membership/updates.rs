//! Queue of membership updates to send; each is sent a bounded number of times.

use std::collections::BTreeMap;

use crate::ids::Incarnation;

use super::settings::{MAX_UPDATES, URGENT_SENDS};

/// Members with an update to send, and how often it was sent.
#[derive(Clone, Default, Debug)]
pub(super) struct UpdateQueue {
    sent: BTreeMap<Incarnation, u32>,
}

impl UpdateQueue {
    /// Adds an update of a member, which is sent from now on as often as a new one.
    pub fn push(&mut self, incarnation: Incarnation) {
        self.sent.insert(incarnation, 0);
    }

    /// Whether an update hasn't been sent to the first few peers yet.
    pub fn has_urgent(&self) -> bool {
        self.sent.values().any(|sent| *sent < URGENT_SENDS)
    }

    /// The updates for one message, least sent first; those sent `limit` times are removed from the queue.
    pub fn take(&mut self, limit: u32) -> Vec<Incarnation> {
        let mut updates: Vec<_> = self.sent.iter().map(|(i, sent)| (*sent, *i)).collect();
        updates.sort_unstable();
        updates.truncate(MAX_UPDATES);
        for (sent, incarnation) in &updates {
            if sent + 1 >= limit {
                self.sent.remove(incarnation);
            } else {
                self.sent.insert(*incarnation, sent + 1);
            }
        }
        updates
            .into_iter()
            .map(|(_, incarnation)| incarnation)
            .collect()
    }
}
