//! Which daemons follow the platform, and whose copies of its objects the others follow.

use std::net::SocketAddr;

use derive_more::Debug;

use super::Exchange;
use super::members::ranked;
use super::roles::{Role, role_holders, sources};
use crate::clock::Millis;

/// Number of daemons in a large fleet that follow the platform: each change is read that many
/// times, not once by each daemon. Three, so that two may freeze or be cut off at once.
const WATCHERS: usize = 3;
/// Number of daemons whose copies a daemon follows, so that one that freezes or is cut off causes
/// no delay.
const SOURCES: usize = 2;

/// The daemons through which a daemon follows the platform.
#[derive(Clone, PartialEq, Eq, Default)]
#[derive(Debug)]
pub struct Following {
    /// The daemons that follow the platform for all, in rank order.
    pub watchers: Vec<SocketAddr>,
    /// The daemons whose copies of the platform's objects this one follows unless it follows the
    /// platform itself.
    pub sources: Vec<SocketAddr>,
    /// Whether this daemon is a hub.
    pub is_hub: bool,
    /// Whether this daemon follows the platform only through others: in a large fleet all do except
    /// hubs and watchers.
    pub is_indirect: bool,
}

impl Exchange {
    /// The daemons that follow the platform for all; in a small fleet each daemon does.
    ///
    /// Daemons that have lost their connection to the platform aren't chosen, unless all have. A
    /// daemon that the platform refused at its start has no copy that could be followed: when six
    /// of nine were refused, following such daemons took 0.3 s of the 1.0 s until their first
    /// configuration.
    pub fn watchers(&self, cut_off: bool, now: Millis) -> Vec<SocketAddr> {
        let members = &self.members;
        let own = (members.me, members.ranks);
        if !self.is_large(now) {
            let address = |(address, _): (SocketAddr, _)| address;
            let mut chosen: Vec<SocketAddr> = members.with_platform(now).map(address).collect();
            if chosen.is_empty() {
                chosen.extend(members.live_others(now).map(address));
            }
            chosen.push(members.me);
            return chosen;
        }
        let own_candidate = (!cut_off).then_some(own);
        let candidates = members.with_platform(now).map(ranked).chain(own_candidate);
        let chosen = role_holders(candidates, Role::Watcher, WATCHERS);
        if !chosen.is_empty() {
            return chosen;
        }
        let all = members.live_others(now).map(ranked).chain([own]);
        role_holders(all, Role::Watcher, WATCHERS)
    }

    /// The daemons that this one follows. In a large fleet hubs follow the watchers, and the others
    /// follow their hubs, so that each change is sent to a data centre once for each of its hubs,
    /// not for each of its daemons. With `is_stale`, because the sources don't reach the platform, a
    /// hub follows all watchers: another one may reach it.
    pub fn following(&self, cut_off: bool, is_stale: bool, now: Millis) -> Following {
        let me = self.members.me;
        let watchers = self.watchers(cut_off, now);
        let hubs = self.hubs(now);
        let is_hub = hubs.contains(&me);
        let follows_hubs = self.is_large(now) && !is_hub;
        let mut chosen = if follows_hubs { hubs } else { Vec::new() };
        chosen.extend(sources(me, &watchers, WATCHERS));
        chosen.truncate(match is_hub && is_stale {
            true => WATCHERS,
            false => SOURCES,
        });
        Following {
            is_hub,
            is_indirect: follows_hubs && !watchers.contains(&me),
            sources: chosen,
            watchers,
        }
    }
}
