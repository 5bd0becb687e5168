//! Where shared prefixes were sent, and how much of the traffic they get.

use super::View;
use crate::clock::Millis;
use crate::routing::ablation::{Mechanism, is_on};
use crate::routing::choose::{Choice, is_worth_fetching};
use crate::routing::directory::{Directory, Listed, Pool};
use crate::routing::endpoint::InstanceId;
use crate::routing::exchange;
use crate::routing::prefix_index::PrefixIndex;
use crate::routing::request::SharedPrefix;

impl View {
    /// Records where a prefix was sent, and queues a report if other daemons can't derive it.
    pub(super) fn record_prefix(&mut self, prefix: &SharedPrefix, choice: &Choice, now: Millis) {
        if !is_worth_fetching(prefix) || !is_on(Mechanism::ToldPrefixes) {
            return;
        }
        let prefix = exchange::short_key(prefix.key);
        let endpoint = exchange::short_id(&choice.endpoint.id);
        let is_new = self.prefix_index.record(prefix, endpoint, now);
        if is_new && choice.moved && self.prefix_moves.len() < exchange::MOVES_MAX {
            self.prefix_moves
                .push(exchange::PrefixMove { prefix, endpoint });
        }
    }

    /// Records that an endpoint to which a prefix was sent hasn't processed it.
    pub fn retract_prefix(&mut self, prefix: &SharedPrefix, id: &InstanceId) {
        let prefix = exchange::short_key(prefix.key);
        self.prefix_index.remove(prefix, exchange::short_id(id));
    }

    /// Counts a request with a shared prefix; returns the prefix's share of the fleet's traffic, 0
    /// to 1.
    pub(super) fn count_prefix(&mut self, prefix: &SharedPrefix) -> f64 {
        let key = exchange::short_key(prefix.key);
        *self.prefix_counts.entry(key).or_default() += 1;
        self.hot_shares.get(&key).copied().unwrap_or_default()
    }
}

/// The endpoints of a pool that were sent a prefix.
pub(super) fn locations<'a>(
    index: &'a PrefixIndex,
    directory: &'a Directory,
    pool: &'a Pool,
    prefix: &SharedPrefix,
) -> impl Iterator<Item = &'a Listed> {
    let short_ids = index.locations(exchange::short_key(prefix.key));
    let endpoints = short_ids.flat_map(|short| directory.with_short_id(short));
    endpoints.filter_map(|endpoint| pool.get(&endpoint.id))
}
