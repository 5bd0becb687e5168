//! The daemons that share limits of the fleet.

use std::net::SocketAddr;

use super::View;
use crate::clock::Millis;

impl View {
    /// Sets the daemons in a part of the platform's list. All listed daemons share the fleet's
    /// budget for retries, and the rate of endpoints in slow start.
    pub fn set_daemons(&mut self, me: SocketAddr, part: &str, daemons: Vec<SocketAddr>) {
        self.fleet.set_listed(me, part, daemons);
        self.slow_starts.clear_shares();
        self.budget.set_share(self.fleet.share(1.0));
    }

    /// Records that this daemon knows of no others.
    pub fn set_sole(&mut self) {
        self.fleet.set_single();
        self.budget.set_share(self.fleet.share(1.0));
    }

    /// The daemons that the platform lists, by their data centres.
    pub fn listed_daemons(&self) -> impl Iterator<Item = (&str, &[SocketAddr])> {
        self.fleet.parts()
    }

    /// Those of `daemons` that the platform doesn't list.
    pub fn unlisted(&self, daemons: &[SocketAddr]) -> Vec<SocketAddr> {
        let mut unlisted = daemons.to_vec();
        unlisted.retain(|daemon| !self.fleet.is_listed(daemon));
        unlisted
    }

    /// Sets the number of live daemons, this one included.
    pub fn set_live(&mut self, live: usize, now: Millis) {
        self.fleet.set_live(live, now);
        self.budget.set_share(self.fleet.share(1.0));
    }
}
