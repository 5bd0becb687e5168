//! What endpoints say of themselves in their answers.

use super::View;
use crate::clock::Millis;
use crate::ids::PoolId;
use crate::routing::endpoint::InstanceId;
use crate::routing::notices::{Notice, answered_by};

/// Time until a pool that has no endpoint left is asked again: about what a new one takes from its
/// start until the platform lists it and daemons read that.
const NEWCOMER: Millis = Millis(1000);

impl View {
    /// Takes what an endpoint says of itself in the answer to a request that was handed over at a
    /// time since the Unix epoch; says whether it is news. It counts also where the endpoint isn't
    /// listed any more, since it may be again.
    pub fn note(&mut self, id: &InstanceId, notice: Notice, now: Millis, handed: Millis) -> bool {
        // A later start may have been listed while the request was under way.
        let listed = self.directory.instance(&id.endpoint).unwrap_or(id).clone();
        if !answered_by(&listed, id, handed) {
            return false;
        }
        if notice.leaving {
            self.directory.set_leaving(&listed, now);
        }
        self.notices.record(&listed, notice, now, handed)
    }

    /// How long a pool takes no work of which no endpoint takes any now: until the first pause
    /// ends, or a new endpoint may be listed. None where there is one that takes work.
    pub fn closed_for(&self, pool: &PoolId, now: Millis) -> Option<Millis> {
        let listed = self.directory.pool(pool).iter();
        let staying = listed.filter(|e| self.takes_work(e));
        let pauses = staying.map(|e| self.notices.pause(&e.id, now));
        let shortest = pauses.min().unwrap_or(NEWCOMER);
        (shortest > Millis::ZERO).then_some(shortest)
    }

    /// Endpoints that want no requests now.
    pub fn pauses(&self, now: Millis) -> usize {
        self.notices.pauses(now)
    }

    /// Forgets what endpoints said that are gone.
    pub fn tidy_notices(&mut self, now: Millis) {
        let directory = &self.directory;
        let is_listed = |name: &_| directory.instance(name).is_some();
        self.notices.prune(is_listed, now);
    }
}
