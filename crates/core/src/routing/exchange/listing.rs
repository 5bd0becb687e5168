//! Live daemons as they are listed in messages.
//!
//! In a small fleet all are listed. In a large one only those that hold a role
//! or may soon hold one are, so that lists don't grow with the fleet.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use derive_more::Debug;

use super::members::{DataCentreHash, Member};
use super::message::Peer;
use super::roles::Role;
use super::{HUBS, LARGE_FLEET};
use crate::clock::Millis;

/// Daemons that are listed for each role in a large fleet, the first in rank: enough to replace the
/// daemons that have it several times over.
pub const LISTED_PER_ROLE: usize = 8;

type Entry = (SocketAddr, Member);

/// Live daemons, ranked for each role.
#[derive(Clone)]
#[derive(Debug)]
pub struct Listing {
    /// The first in rank as watchers; all daemons of a small fleet.
    first: Vec<Entry>,
    /// Of the others, the first in rank as hubs in each data centre.
    hubs: BTreeMap<DataCentreHash, Vec<Entry>>,
}

impl Listing {
    /// Ranks live daemons.
    pub fn new(mut live: Vec<Entry>) -> Self {
        let mut hubs: BTreeMap<DataCentreHash, Vec<Entry>> = BTreeMap::new();
        if live.len() > LARGE_FLEET {
            for entry in split_watchers(&mut live) {
                hubs.entry(entry.1.centre).or_default().push(entry);
            }
            for entries in hubs.values_mut() {
                truncate_by_rank(entries, LISTED_PER_ROLE, Role::Hub);
            }
        }
        Self { first: live, hubs }
    }

    /// The daemons to list for a daemon in a data centre: watchers of the fleet, hubs of that data
    /// centre, and the hubs of each other one.
    pub fn peers_for(&self, to: DataCentreHash, now: Millis) -> Vec<Peer> {
        let hubs = self.hubs.iter().flat_map(|(centre, entries)| {
            let count = match *centre == to {
                true => LISTED_PER_ROLE,
                false => HUBS,
            };
            entries.iter().take(count)
        });
        let peer = |(address, member): &Entry| Peer {
            address: *address,
            age: now.since(member.at),
            cut_off: member.cut_off,
            link_class: member.ranks.link_class(),
            centre: member.centre,
        };
        self.first.iter().chain(hubs).map(peer).collect()
    }
}

/// Leaves the daemons in `live` that are listed as watchers; returns the others. Half of them are
/// the first in rank, even those without a connection to the platform, so that this is known; the
/// other half prefers daemons that reach it.
fn split_watchers(live: &mut Vec<Entry>) -> Vec<Entry> {
    let half = LISTED_PER_ROLE / 2;
    live.select_nth_unstable_by(half, |a, b| order(a, b, Role::Watcher));
    live[half..].select_nth_unstable_by(half, |a, b| {
        let by_platform = a.1.cut_off.cmp(&b.1.cut_off);
        by_platform.then_with(|| order(a, b, Role::Watcher))
    });
    live.split_off(LISTED_PER_ROLE)
}

/// Keeps the first `count` in rank, in this order.
fn truncate_by_rank(entries: &mut Vec<Entry>, count: usize, role: Role) {
    if entries.len() > count {
        entries.select_nth_unstable_by(count, |a, b| order(a, b, role));
        entries.truncate(count);
    }
    entries.sort_by(|a, b| order(a, b, role));
}

fn order((a, member): &Entry, (b, other): &Entry, role: Role) -> std::cmp::Ordering {
    member.ranks.order(&other.ranks, role).then(a.cmp(b))
}
