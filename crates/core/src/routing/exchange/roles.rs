//! Who holds a role: daemons are ranked alike by all that know them.
//!
//! Daemons on strong VMs come first: what a hub or a watcher sends grows with
//! the fleet, and VMs differ by a factor of twenty. Among those that are about
//! alike, rendezvous hashing decides.

use std::cmp::Ordering;
use std::net::SocketAddr;

use derive_more::Debug;

use crate::placement::{Node, key_of};
use crate::units::LinkRate;

/// Name under which hubs are ranked.
const HUB_KEY: &str = "hub";
/// Name under which watchers are ranked.
const WATCH_KEY: &str = "watch";

/// How strong a daemon's VM is, in steps of a factor of four.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
#[derive(Debug)]
pub struct LinkClass(pub u32);

impl LinkClass {
    /// The strength of a VM with this link.
    pub fn of_link(link: LinkRate) -> Self {
        let mbits = link.0 as u32;
        Self(mbits.checked_ilog2().unwrap_or_default() / 2)
    }
}

/// What daemons do for each other.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub enum Role {
    /// Adds up reports.
    Hub,
    /// Follows the platform.
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
    /// The ranks of a daemon.
    pub fn new(address: SocketAddr, link_class: LinkClass) -> Self {
        let node = Node::new((), &address.to_string());
        Self {
            link_class,
            hub: node.score(key_of(HUB_KEY)),
            watcher: node.score(key_of(WATCH_KEY)),
        }
    }

    /// How strong its VM is.
    pub const fn link_class(&self) -> LinkClass {
        self.link_class
    }

    const fn score(&self, role: Role) -> f64 {
        match role {
            Role::Hub => self.hub,
            Role::Watcher => self.watcher,
        }
    }

    /// Order for a role, the first in rank first.
    pub fn order(&self, other: &Self, role: Role) -> Ordering {
        let by_score = other.score(role).total_cmp(&self.score(role));
        other.link_class.cmp(&self.link_class).then(by_score)
    }
}

/// The daemons that hold a role, the first in rank first.
pub fn holders(
    daemons: impl Iterator<Item = (SocketAddr, Ranks)>,
    role: Role,
    count: usize,
) -> Vec<SocketAddr> {
    let mut ranked: Vec<(SocketAddr, Ranks)> = daemons.collect();
    ranked.sort_by(|(a, ranks), (b, others)| ranks.order(others, role).then(a.cmp(b)));
    ranked.truncate(count);
    ranked.into_iter().map(|(address, _)| address).collect()
}

/// Daemons in the order in which one turns to them; daemons are spread over them. It comes first
/// itself.
pub fn first_for(me: SocketAddr, mut daemons: Vec<SocketAddr>) -> Vec<SocketAddr> {
    let key = key_of(&me.to_string());
    let score = |address: &SocketAddr| Node::new((), &address.to_string()).score(key);
    daemons.sort_by(|a, b| {
        let own_first = (*b == me).cmp(&(*a == me));
        let by_score = score(b).total_cmp(&score(a));
        own_first.then(by_score).then(a.cmp(b))
    });
    daemons
}

/// The watchers whose copies a daemon follows.
pub fn sources(me: SocketAddr, watchers: &[SocketAddr], count: usize) -> Vec<SocketAddr> {
    let mut others = first_for(me, watchers.to_vec());
    others.retain(|watcher| *watcher != me);
    others.truncate(count);
    others
}
