//! Reports to other daemons and theirs.

use medlarrill_core::clock::Millis;
use medlarrill_core::routing::exchange;

use super::Placement;

impl Placement {
    /// Returns the report for other daemons: requests in flight, and outcomes since the last call.
    pub fn take_report(&self, cut_off: bool, now: Millis) -> exchange::Report {
        let mut view = self.lock();
        view.confirm_reading(now);
        exchange::Report {
            brittle: view.observed_brittle(now),
            demand: view.observed_demand(now),
            ..view.take_report(cut_off)
        }
    }

    /// Applies what other daemons tell of brittle pools.
    pub fn merge_brittle_pools(&self, brittle: &exchange::BrittlePools, now: Millis) {
        self.lock().merge_brittle_pools(brittle, now);
    }

    /// Applies the sums of the other daemons' reports on endpoints.
    pub fn update_peers(&self, reports: exchange::PeerUpdate, daemons: usize, now: Millis) {
        self.lock().update_peers(reports, daemons, now);
    }
}
