//! Who shares what the fleet may send.

use std::net::SocketAddr;

use super::View;
use crate::clock::Millis;

impl View {
    /// Sets the daemons that a part of the platform's list names; all on the list share the repeats
    /// of the fleet and the rate of endpoints that are spared.
    pub fn deal(&mut self, me: SocketAddr, part: &str, daemons: Vec<SocketAddr>) {
        self.fleet.set_listed(me, part, daemons);
        self.slow_starts.clear_shares();
        self.budget.set_share(self.fleet.share(1.0));
    }

    /// Notes that this daemon is told of no others.
    pub fn set_sole(&mut self) {
        self.fleet.set_single();
        self.budget.set_share(self.fleet.share(1.0));
    }

    /// Those of some daemons that the platform doesn't list.
    pub fn unlisted(&self, daemons: &[SocketAddr]) -> Vec<SocketAddr> {
        let mut unlisted = daemons.to_vec();
        unlisted.retain(|daemon| !self.fleet.is_listed(daemon));
        unlisted
    }

    /// Notes how many daemons live, this one included.
    pub fn hear(&mut self, live: usize, now: Millis) {
        self.fleet.set_live(live, now);
        self.budget.set_share(self.fleet.share(1.0));
    }
}
