//! The known live daemons, with their data centres and ranks.

use std::collections::HashMap;
use std::net::SocketAddr;

use derive_more::Debug;
use xxhash_rust::xxh3::xxh3_64;

use super::message::Peer;
use super::roles::{LinkClass, Ranks, Role, role_holders};
use super::{HUBS, LARGE_FLEET, SILENCE_TIMEOUT, short_key};
use crate::clock::Millis;
use crate::ids::DataCentreId;

/// Silence after which a daemon that is known through others counts as lost. Includes
/// [`SILENCE_TIMEOUT`], so that the next in rank are still known when hubs have failed, and the
/// time of two more lists, one of which may be lost.
const INDIRECT_TIMEOUT: Millis = Millis(2100);
/// Margin by which an indirect contact must be later than a direct one to replace it. Reported ages
/// don't include the time in transit, which would make a failed daemon seem live for longer.
const INDIRECT_MARGIN: Millis = Millis(300);
/// Silence after which a daemon is removed.
const REMOVAL_TIMEOUT: Millis = Millis::from_secs(10);
/// Daemons that are listed for each role in a large fleet, the first in rank: enough to replace the
/// daemons that have it several times over. Lists of all daemons took 18 KB a second for each
/// daemon at 300.
pub const LISTED_PER_ROLE: usize = 8;

/// Hash of a data centre's id, its short form in messages.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Debug)]
pub struct DataCentreHash(pub u32);

impl From<&DataCentreId> for DataCentreHash {
    fn from(id: &DataCentreId) -> Self {
        Self(short_key(xxh3_64(id.as_str().as_bytes())))
    }
}

/// What is known of another daemon.
#[derive(Clone, Copy, PartialEq)]
#[derive(Debug)]
pub struct Member {
    /// Time of the last contact.
    pub at: Millis,
    /// Whether that contact was with this daemon, not with another one that reported it.
    pub is_direct: bool,
    /// Whether it had lost its connection to the platform then.
    pub cut_off: bool,
    /// Its ranks for the roles.
    pub ranks: Ranks,
    /// Its data centre.
    pub centre: DataCentreHash,
}

/// This daemon, and the other daemons that it knows.
#[derive(Clone)]
#[derive(Debug)]
pub struct Members {
    /// Address of this daemon.
    pub me: SocketAddr,
    /// Its data centre.
    pub centre: DataCentreHash,
    /// Its ranks for the roles.
    pub ranks: Ranks,
    others: HashMap<SocketAddr, Member>,
}

impl Members {
    /// Only this daemon is known.
    pub fn new(me: SocketAddr) -> Self {
        Self {
            me,
            centre: DataCentreHash::default(),
            ranks: Ranks::new(me, LinkClass::default()),
            others: HashMap::new(),
        }
    }

    /// Removes daemons that have been silent for long.
    pub fn expire(&mut self, now: Millis) {
        self.others
            .retain(|_, member| now.since(member.at) < REMOVAL_TIMEOUT);
    }

    /// The other live daemons.
    pub fn live_others(&self, now: Millis) -> impl Iterator<Item = (SocketAddr, Member)> {
        let live = move |(_, member): &(&SocketAddr, &Member)| {
            let timeout = match member.is_direct {
                true => SILENCE_TIMEOUT,
                false => INDIRECT_TIMEOUT,
            };
            now.since(member.at) < timeout
        };
        self.others
            .iter()
            .filter(live)
            .map(|(address, member)| (*address, *member))
    }

    /// The other live daemons that reach the platform.
    pub fn with_platform(&self, now: Millis) -> impl Iterator<Item = (SocketAddr, Member)> {
        self.live_others(now).filter(|(_, member)| !member.cut_off)
    }

    /// The hubs of one data centre, or of the fleet if `scope` is `None`; includes this daemon if
    /// it is a hub.
    pub fn hubs_of(&self, scope: Option<DataCentreHash>, now: Millis) -> Vec<SocketAddr> {
        let is_here = |centre| scope.is_none_or(|scope| centre == scope);
        let others = self
            .live_others(now)
            .filter(|(_, member)| is_here(member.centre));
        let own = is_here(self.centre).then_some((self.me, self.ranks));
        role_holders(others.map(ranked).chain(own), Role::Hub, HUBS)
    }

    /// The other data centres with live daemons.
    pub fn other_centres(&self, now: Millis) -> Vec<DataCentreHash> {
        let centres = self.live_others(now).map(|(_, member)| member.centre);
        let mut centres: Vec<DataCentreHash> =
            centres.filter(|centre| *centre != self.centre).collect();
        centres.sort_unstable();
        centres.dedup();
        centres
    }

    fn ranks_of(&self, address: SocketAddr, link_class: LinkClass) -> Ranks {
        let known = self.others.get(&address).map(|member| member.ranks);
        let same = known.filter(|ranks| ranks.link_class() == link_class);
        same.unwrap_or_else(|| Ranks::new(address, link_class))
    }

    /// Records a message from a daemon.
    pub fn record_contact(
        &mut self,
        address: SocketAddr,
        link_class: LinkClass,
        centre: DataCentreHash,
        cut_off: bool,
        now: Millis,
    ) {
        let member = Member {
            at: now,
            is_direct: true,
            cut_off,
            ranks: self.ranks_of(address, link_class),
            centre,
        };
        self.others.insert(address, member);
    }

    /// Records a contact that another daemon had with a peer.
    pub fn record_indirect(&mut self, peer: &Peer, now: Millis) {
        if peer.address == self.me {
            return;
        }
        let indirect = Member {
            at: now - peer.age,
            is_direct: false,
            cut_off: peer.cut_off,
            ranks: self.ranks_of(peer.address, peer.link_class),
            centre: peer.centre,
        };
        let known = self.others.entry(peer.address).or_insert(indirect);
        let margin = match known.is_direct {
            true => INDIRECT_MARGIN,
            false => Millis::ZERO,
        };
        if indirect.at > known.at + margin {
            *known = indirect;
        }
    }

    /// The live daemons to list for a daemon in a data centre: those that hold a role or may soon
    /// hold one; all of them in a small fleet.
    pub fn peers_for(&self, to: DataCentreHash, now: Millis) -> Vec<Peer> {
        let mut live: Vec<(SocketAddr, Member)> = self.live_others(now).collect();
        if live.len() > LARGE_FLEET {
            live = first_in_rank(live, to);
        }
        let peer = |(address, member): (SocketAddr, Member)| Peer {
            address,
            age: now.since(member.at),
            cut_off: member.cut_off,
            link_class: member.ranks.link_class(),
            centre: member.centre,
        };
        live.into_iter().map(peer).collect()
    }
}

/// The first daemons in rank for each role: watchers of the fleet, hubs of data centre `to`, and
/// the hubs of each other data centre.
fn first_in_rank(
    mut live: Vec<(SocketAddr, Member)>,
    to: DataCentreHash,
) -> Vec<(SocketAddr, Member)> {
    live.sort_by(|(_, a), (_, b)| a.ranks.order(&b.ranks, Role::Watcher));
    // Half of the entries are the first in rank, even those without a connection to the platform,
    // so that this is known; the other half prefers daemons that reach it.
    live[LISTED_PER_ROLE / 2..].sort_by_key(|(_, member)| member.cut_off);
    let mut rest = live.split_off(LISTED_PER_ROLE);
    rest.sort_by(|(_, a), (_, b)| a.ranks.order(&b.ranks, Role::Hub));
    let mut listed: HashMap<DataCentreHash, usize> = HashMap::new();
    rest.retain(|(_, member)| {
        let limit = match member.centre == to {
            true => LISTED_PER_ROLE,
            false => HUBS,
        };
        let count = listed.entry(member.centre).or_default();
        *count += 1;
        *count <= limit
    });
    live.extend(rest);
    live
}

/// Pairs a daemon's address with its ranks.
pub const fn ranked((address, member): (SocketAddr, Member)) -> (SocketAddr, Ranks) {
    (address, member.ranks)
}
