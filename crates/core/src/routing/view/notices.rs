//! Notices that endpoints give about themselves in their responses.

use super::View;
use crate::clock::Millis;
use crate::ids::PoolId;
use crate::routing::directory::Pool;
use crate::routing::endpoint::InstanceId;
use crate::routing::exchange::BrittlePools;
use crate::routing::notices::{Notice, answered_by};

/// Time after which a request for a pool without endpoints is retried: about what a new endpoint
/// takes from its start until the platform lists it and daemons have read the list.
const LISTING_DELAY: Millis = Millis(1000);

impl View {
    /// Applies an endpoint's notice about itself from the response to a request; returns whether it
    /// is new. `sent_at` is when the request was sent, since the Unix epoch. Applies also if the
    /// endpoint isn't listed any more, since it may be listed again.
    pub fn apply_notice(
        &mut self,
        id: &InstanceId,
        notice: Notice,
        now: Millis,
        sent_at: Millis,
    ) -> bool {
        // A later instance may have been listed while the request was in flight.
        let listed = self.directory.instance(&id.endpoint).unwrap_or(id).clone();
        if !answered_by(&listed, id, sent_at) {
            return false;
        }
        if notice.leaving {
            self.directory.set_leaving(&listed, now);
        }
        self.notices.record(&listed, notice, now, sent_at)
    }

    /// Records that a response says how many requests its endpoint may turn away in a second.
    pub fn record_brittle(&mut self, id: &InstanceId, rejections: u32, now: Millis) {
        if let Some(endpoint) = self.directory.get(id) {
            self.brittle.record_limit(&endpoint.pool, rejections, now);
        }
    }

    /// What this daemon observed of brittle pools, for the others.
    pub fn observed_brittle(&self, now: Millis) -> Option<BrittlePools> {
        self.brittle.observed(now).into_message()
    }

    /// Applies what other daemons tell of brittle pools.
    pub fn merge_brittle_pools(&mut self, brittle: &BrittlePools, now: Millis) {
        self.brittle.merge(brittle, now);
    }

    /// Records that an endpoint turned a request away.
    pub(super) fn record_rejection(&mut self, id: &InstanceId, now: Millis) {
        if let Some(endpoint) = self.directory.get(id) {
            self.brittle.record_rejection(endpoint, now);
        }
    }

    /// Time for which no endpoint of a pool takes new work: until the first pause ends, or a new
    /// endpoint may be listed. `None` if an endpoint takes work now.
    pub fn closed_for(&self, pool: &PoolId, now: Millis) -> Option<Millis> {
        let listed = self.directory.get_pool(pool).into_iter();
        let listed = listed.flat_map(Pool::endpoints);
        let staying = listed.filter(|e| self.takes_work(e));
        let pauses = staying.map(|e| self.notices.pause(&e.id, now));
        let shortest = pauses.min().unwrap_or(LISTING_DELAY);
        (shortest > Millis::ZERO).then_some(shortest)
    }

    /// Number of endpoints that have asked for a pause without requests.
    pub fn paused_count(&self, now: Millis) -> usize {
        self.notices.pauses(now)
    }

    /// Drops notices of endpoints that were removed.
    pub fn prune_notices(&mut self, now: Millis) {
        let directory = &self.directory;
        let is_listed = |name: &_| directory.instance(name).is_some();
        self.notices.prune(is_listed, now);
        self.brittle.prune(now);
    }
}
