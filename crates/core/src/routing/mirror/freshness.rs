//! How old a copy is, and outages of the platform after which removals are delayed.

use super::{Mirror, REMOVAL_GRACE};
use crate::clock::Millis;

/// After an outage of this length entries may have expired: they do after three missed heartbeats,
/// and one heartbeat is a safe lower bound.
const MIN_OUTAGE: Millis = Millis(1000);
/// A copy that wasn't confirmed up to date for this long has been through an outage, whichever
/// daemon was affected. Longer than the platform holds a watch call and the pause after one (2.4 s
/// together); entries were seen to expire after 3.6 s without heartbeats at the earliest.
const STALE_AFTER: Millis = Millis(2800);
/// Time by which a copy has to be newer for its followers to be notified at once. Ages don't
/// include the transmission time of their message: without this minimum, copies that follow each
/// other would keep notifying each other and never become stale.
const MIN_ADVANCE: Millis = Millis(100);

impl Mirror {
    /// Time since it was last known to be up to date; none before the first list.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.confirmed.map(|confirmed| now.since(confirmed))
    }

    /// Whether a copy that was up to date at `confirmed` is enough newer for followers to be
    /// notified before the next heartbeat.
    pub fn should_notify(&self, confirmed: Millis) -> bool {
        self.confirmed
            .is_none_or(|before| confirmed >= before + MIN_ADVANCE)
    }

    /// Records that the platform responds again after an outage of this length.
    pub fn platform_recovered(&mut self, outage: Millis, now: Millis) {
        if outage >= MIN_OUTAGE {
            self.recovered = Some(now);
        }
    }

    /// Records that calls to the platform have failed since a time, here or at a source. It isn't
    /// unavailable if another daemon's copy was confirmed later: then only some daemons fail to
    /// reach it, and as long as they do, each confirmation would count as a return of the platform.
    pub fn record_failure(&mut self, since: Millis, now: Millis) {
        if self.confirmed.is_some_and(|confirmed| confirmed > since) {
            return;
        }
        let (first, _) = self.outage.unwrap_or((since, now));
        self.outage = Some((first.min(since), now));
    }

    /// For how long calls to the platform have been failing; none if they succeed.
    pub fn outage(&self, now: Millis) -> Option<Millis> {
        self.outage.map(|(first, _)| now.since(first))
    }

    /// Records that the copy was up to date at `confirmed`.
    pub(super) fn confirm(&mut self, confirmed: Millis, now: Millis) {
        if let Some((first, last)) = self.outage
            && confirmed > last
        {
            self.outage = None;
            let since = self.confirmed.map_or(first, |before| before.max(first));
            self.platform_recovered(confirmed.since(since), now);
        }
        let gap = self
            .confirmed
            .map_or(Millis::ZERO, |before| confirmed.since(before));
        if gap >= STALE_AFTER && self.grace(now).is_none() {
            self.recovered = Some(now);
        }
        self.confirmed = self.confirmed.max(Some(confirmed));
    }

    /// Until when removals are delayed; none if they take effect at once.
    pub fn grace(&self, now: Millis) -> Option<Millis> {
        let until = self.recovered? + REMOVAL_GRACE;
        (now < until && !self.is_persistent).then_some(until)
    }
}
