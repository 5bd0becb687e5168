//! What may be sent to the endpoints of a pool now.

use crate::clock::Millis;
use crate::ids::PoolId;
use crate::routing::endpoint::InstanceId;
use crate::routing::fleet::Fleet;
use crate::routing::notices::Notices;
use crate::routing::slow_start::{Allowance, SlowStarts};

/// What may be sent to the endpoints of a pool now.
pub(super) struct Allowances<'a> {
    pool: &'a PoolId,
    notices: &'a Notices,
    slow_starts: &'a mut SlowStarts,
    pub(super) fleet: &'a Fleet,
    now: Millis,
    has_pauses: bool,
    is_limited: bool,
}

impl<'a> Allowances<'a> {
    pub(super) fn new(
        pool: &'a PoolId,
        notices: &'a Notices,
        slow_starts: &'a mut SlowStarts,
        fleet: &'a Fleet,
        now: Millis,
    ) -> Self {
        Self {
            has_pauses: notices.has_pauses(now),
            is_limited: slow_starts.may_limit(pool, fleet, now),
            pool,
            notices,
            slow_starts,
            fleet,
            now,
        }
    }

    pub(super) fn get(&mut self, id: &InstanceId) -> Allowance {
        if self.has_pauses && self.notices.pause(id, self.now) > Millis::ZERO {
            return Allowance::Nothing;
        }
        match self.is_limited {
            true => self
                .slow_starts
                .allowance(id, self.pool, self.fleet, self.now),
            false => Allowance::All,
        }
    }
}
