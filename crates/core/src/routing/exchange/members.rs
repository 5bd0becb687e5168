//! Which other daemons live, where, and what they are fit for.

use std::collections::HashMap;
use std::net::SocketAddr;

use derive_more::Debug;
use xxhash_rust::xxh3::xxh3_64;

use super::message::Peer;
use super::roles::{Ranks, Role, LinkClass, holders};
use super::{HUBS, LARGE, SILENT, short_key};
use crate::clock::Millis;
use crate::ids::DataCentreId;

/// Silence after which a daemon that others tell of counts as gone: [`SILENT`], so that the next in
/// rank are still known when hubs have died, and two lists more, one of which may be lost.
const TOLD_SILENT: Millis = Millis(2100);
/// Time by which others have to have heard a daemon later than this one for their word to count.
/// Ages on the way leave out the way itself, and would have one that died seem to live longer.
const LATER: Millis = Millis(300);
/// Silence after which a daemon is forgotten.
const FORGOTTEN: Millis = Millis::from_secs(10);
/// Daemons that are told of for each role in a large fleet, the first in rank: enough to replace
/// those that hold it, several times over. Lists of all took 18 KB a second and daemon at 300.
pub const TOLD: usize = 8;

/// Short form of a data centre's id in messages.
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
pub struct Seen {
    /// When it last showed life.
    pub at: Millis,
    /// Whether it did so here, not at another daemon.
    pub here: bool,
    /// Whether it had lost the platform then.
    pub cut_off: bool,
    /// Its ranks.
    pub ranks: Ranks,
    /// Its data centre.
    pub centre: DataCentreHash,
}

/// The daemons that one knows, itself included.
#[derive(Clone)]
#[derive(Debug)]
pub struct Members {
    /// This daemon.
    pub me: SocketAddr,
    /// Its data centre.
    pub centre: DataCentreHash,
    /// Its ranks.
    pub ranks: Ranks,
    seen: HashMap<SocketAddr, Seen>,
}

impl Members {
    /// This daemon alone.
    pub fn new(me: SocketAddr) -> Self {
        Self {
            me,
            centre: DataCentreHash::default(),
            ranks: Ranks::new(me, LinkClass::default()),
            seen: HashMap::new(),
        }
    }

    /// Forgets daemons that were silent for long.
    pub fn forget(&mut self, now: Millis) {
        self.seen.retain(|_, seen| now.since(seen.at) < FORGOTTEN);
    }

    /// The other daemons that live.
    pub fn others(&self, now: Millis) -> impl Iterator<Item = (SocketAddr, Seen)> {
        let live = move |(_, seen): &(&SocketAddr, &Seen)| {
            let silent = match seen.here {
                true => SILENT,
                false => TOLD_SILENT,
            };
            now.since(seen.at) < silent
        };
        self.seen
            .iter()
            .filter(live)
            .map(|(address, seen)| (*address, *seen))
    }

    /// The other daemons that reach the platform.
    pub fn reachers(&self, now: Millis) -> impl Iterator<Item = (SocketAddr, Seen)> {
        self.others(now).filter(|(_, seen)| !seen.cut_off)
    }

    /// The daemons that hold the hubs' role in one data centre, or in the whole fleet; this one
    /// among them if it does.
    pub fn hubs_of(&self, area: Option<DataCentreHash>, now: Millis) -> Vec<SocketAddr> {
        let is_here = |centre| area.is_none_or(|area| centre == area);
        let others = self.others(now).filter(|(_, seen)| is_here(seen.centre));
        let own = is_here(self.centre).then_some((self.me, self.ranks));
        holders(others.map(ranked).chain(own), Role::Hub, HUBS)
    }

    /// Data centres in which other daemons live, but for the own one.
    pub fn other_centres(&self, now: Millis) -> Vec<DataCentreHash> {
        let centres = self.others(now).map(|(_, seen)| seen.centre);
        let mut centres: Vec<DataCentreHash> = centres.filter(|centre| *centre != self.centre).collect();
        centres.sort_unstable();
        centres.dedup();
        centres
    }

    fn ranks_of(&self, address: SocketAddr, link_class: LinkClass) -> Ranks {
        let known = self.seen.get(&address).map(|seen| seen.ranks);
        let same = known.filter(|ranks| ranks.link_class() == link_class);
        same.unwrap_or_else(|| Ranks::new(address, link_class))
    }

    /// Notes a message of a daemon.
    pub fn hear(
        &mut self,
        address: SocketAddr,
        link_class: LinkClass,
        centre: DataCentreHash,
        cut_off: bool,
        now: Millis,
    ) {
        let seen = Seen {
            at: now,
            here: true,
            cut_off,
            ranks: self.ranks_of(address, link_class),
            centre,
        };
        self.seen.insert(address, seen);
    }

    /// Notes word that a daemon showed life some time ago.
    pub fn hear_of(&mut self, peer: &Peer, now: Millis) {
        if peer.address == self.me {
            return;
        }
        let heard = Seen {
            at: now - peer.age,
            here: false,
            cut_off: peer.cut_off,
            ranks: self.ranks_of(peer.address, peer.link_class),
            centre: peer.centre,
        };
        let seen = self.seen.entry(peer.address).or_insert(heard);
        let margin = match seen.here {
            true => LATER,
            false => Millis::ZERO,
        };
        if heard.at > seen.at + margin {
            *seen = heard;
        }
    }

    /// Daemons that live and may hold a role soon, as a daemon of a data centre has to know
    /// them; in a small fleet all.
    pub fn worth_telling(&self, to: DataCentreHash, now: Millis) -> Vec<Peer> {
        let mut live: Vec<(SocketAddr, Seen)> = self.others(now).collect();
        if live.len() > LARGE {
            live = first_in_rank(live, to);
        }
        let peer = |(address, seen): (SocketAddr, Seen)| Peer {
            address,
            age: now.since(seen.at),
            cut_off: seen.cut_off,
            link_class: seen.ranks.link_class(),
            centre: seen.centre,
        };
        live.into_iter().map(peer).collect()
    }
}

/// The first in rank for each role: watchers of the whole fleet, hubs of a data centre, and the
/// hubs of each other one.
fn first_in_rank(mut live: Vec<(SocketAddr, Seen)>, to: DataCentreHash) -> Vec<(SocketAddr, Seen)> {
    live.sort_by(|(_, a), (_, b)| a.ranks.order(&b.ranks, Role::Watcher));
    // Of watchers, too, it has to be known that they have lost the platform. The other places are
    // for those that reach it.
    live[TOLD / 2..].sort_by_key(|(_, seen)| seen.cut_off);
    let mut rest = live.split_off(TOLD);
    rest.sort_by(|(_, a), (_, b)| a.ranks.order(&b.ranks, Role::Hub));
    let mut told: HashMap<DataCentreHash, usize> = HashMap::new();
    rest.retain(|(_, seen)| {
        let most = match seen.centre == to {
            true => TOLD,
            false => HUBS,
        };
        let count = told.entry(seen.centre).or_default();
        *count += 1;
        *count <= most
    });
    live.extend(rest);
    live
}

/// A daemon with its ranks.
pub const fn ranked((address, seen): (SocketAddr, Seen)) -> (SocketAddr, Ranks) {
    (address, seen.ranks)
}
