//! Assignment of roles by rank, which all daemons compute alike.
//!
//! Daemons on VMs with fast links come first: the traffic of a hub or a watcher
//! grows with the fleet, and VMs differ by a factor of twenty. Within a link
//! class, rendezvous hashing decides.

use std::cmp::Ordering;
use std::net::SocketAddr;

use derive_more::Debug;

use crate::placement::{Node, key_of};
use crate::units::LinkRate;

/// Key for the rendezvous hash of hubs.
const HUB_KEY: &str = "hub";
/// Key for the rendezvous hash of watchers.
const WATCH_KEY: &str = "watch";

/// Bandwidth class of a daemon's VM, in steps of a factor of four.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
#[derive(Debug)]
pub struct LinkClass(pub u32);

impl LinkClass {
    /// The class of a VM with a link of this rate.
    pub fn of_link(link: LinkRate) -> Self {
        let mbits = link.0 as u32;
        Self(mbits.checked_ilog2().unwrap_or_default() / 2)
    }
}

/// Roles that daemons have for the others.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub enum Role {
    /// Aggregates reports.
    Hub,
    /// Follows the platform for others.
    Watcher,
}

/// A daemon's rank for each role.
#[derive(Clone, Copy, PartialEq)]
#[derive(Debug)]
pub struct Ranks {
    link_class: LinkClass,
    hub: f64,
    watcher: f64,
}

impl Ranks {
    /// Computes the ranks of a daemon.
    pub fn new(address: SocketAddr, link_class: LinkClass) -> Self {
        let node = Node::new((), &address.to_string());
        Self {
            link_class,
            hub: node.score(key_of(HUB_KEY)),
            watcher: node.score(key_of(WATCH_KEY)),
        }
    }

    /// Link class of its VM.
    pub const fn link_class(&self) -> LinkClass {
        self.link_class
    }

    const fn score(&self, role: Role) -> f64 {
        match role {
            Role::Hub => self.hub,
            Role::Watcher => self.watcher,
        }
    }

    /// Compares two daemons for a role; the first in rank is the least.
    pub fn order(&self, other: &Self, role: Role) -> Ordering {
        let by_score = other.score(role).total_cmp(&self.score(role));
        other.link_class.cmp(&self.link_class).then(by_score)
    }
}

/// The daemons that hold a role, in rank order.
pub fn role_holders(
    daemons: impl Iterator<Item = (SocketAddr, Ranks)>,
    role: Role,
    count: usize,
) -> Vec<SocketAddr> {
    let mut ranked: Vec<(SocketAddr, Ranks)> = daemons.collect();
    ranked.sort_by(|(a, ranks), (b, others)| ranks.order(others, role).then(a.cmp(b)));
    ranked.truncate(count);
    ranked.into_iter().map(|(address, _)| address).collect()
}

/// `daemons` in the order in which `me` prefers them: itself first, then by rendezvous hashing,
/// which spreads the load over them.
pub fn preference_order(me: SocketAddr, mut daemons: Vec<SocketAddr>) -> Vec<SocketAddr> {
    let key = key_of(&me.to_string());
    let score = |address: &SocketAddr| Node::new((), &address.to_string()).score(key);
    daemons.sort_by(|a, b| {
        let own_first = (*b == me).cmp(&(*a == me));
        let by_score = score(b).total_cmp(&score(a));
        own_first.then(by_score).then(a.cmp(b))
    });
    daemons
}

/// The watchers whose copies of the platform's objects a daemon follows, at most `count`.
pub fn sources(me: SocketAddr, watchers: &[SocketAddr], count: usize) -> Vec<SocketAddr> {
    let mut others = preference_order(me, watchers.to_vec());
    others.retain(|watcher| *watcher != me);
    others.truncate(count);
    others
}
