//! News on its way to others: each piece is sent a bounded number of times.

use std::collections::BTreeMap;

use crate::ids::Incarnation;

use super::settings::{MAX_CHANGES, URGENT};

/// Members of whom there is news, and how often it was sent.
#[derive(Clone, Default, Debug)]
pub(super) struct Spread {
    sent: BTreeMap<Incarnation, u32>,
}

impl Spread {
    /// Notes news of a member; what was sent of it before no longer counts.
    pub fn put(&mut self, incarnation: Incarnation) {
        self.sent.insert(incarnation, 0);
    }

    /// Whether some news hasn't gone to enough peers for a first time.
    pub fn urgent(&self) -> bool {
        self.sent.values().any(|sent| *sent < URGENT)
    }

    /// The news for one message, least sent first; what was sent `limit` times is dropped.
    pub fn take(&mut self, limit: u32) -> Vec<Incarnation> {
        let mut news: Vec<_> = self.sent.iter().map(|(i, sent)| (*sent, *i)).collect();
        news.sort_unstable();
        news.truncate(MAX_CHANGES);
        for (sent, incarnation) in &news {
            if sent + 1 >= limit {
                self.sent.remove(incarnation);
            } else {
                self.sent.insert(*incarnation, sent + 1);
            }
        }
        news.into_iter()
            .map(|(_, incarnation)| incarnation)
            .collect()
    }
}
