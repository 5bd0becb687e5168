//! The known live daemons, with their data centres and ranks.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use derive_more::Debug;
use xxhash_rust::xxh3::xxh3_64;

use super::listing::Listing;
use super::message::Peer;
use super::roles::{LinkClass, Ranks, Role, role_holders};
use super::{HUBS, SILENCE_TIMEOUT, short_key};
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
/// Time for which a listing is used. Contacts within it are missing; ages are those of the moment at
/// which it is sent.
const LISTING_INTERVAL: Millis = Millis(10);

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
    /// The last listing, and when it was made.
    listing: Option<(Millis, Arc<Listing>)>,
}

impl Members {
    /// Only this daemon is known.
    pub fn new(me: SocketAddr) -> Self {
        Self {
            me,
            centre: DataCentreHash::default(),
            ranks: Ranks::new(me, LinkClass::default()),
            others: HashMap::new(),
            listing: None,
        }
    }

    /// Removes daemons that have been silent for long.
    pub fn expire(&mut self, now: Millis) {
        self.others
            .retain(|_, member| now.since(member.at) < REMOVAL_TIMEOUT);
    }

    /// The other daemons that were heard of lately, also if they are silent by now.
    pub fn recent_others(&self, now: Millis) -> impl Iterator<Item = SocketAddr> {
        let is_recent = move |member: &Member| now.since(member.at) < REMOVAL_TIMEOUT;
        let recent = self
            .others
            .iter()
            .filter(move |(_, member)| is_recent(member));
        recent.map(|(address, _)| *address)
    }

    /// Number of other daemons that aren't removed yet.
    pub fn known_count(&self) -> usize {
        self.others.len()
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

    /// The live daemons to list in messages. They are ranked again after [`LISTING_INTERVAL`] only:
    /// each of a thousand daemons that start together asks the same few for the others.
    pub fn listing(&mut self, now: Millis) -> Arc<Listing> {
        if let Some((at, listing)) = &self.listing
            && now.since(*at) < LISTING_INTERVAL
        {
            return Arc::clone(listing);
        }
        let listing = Arc::new(Listing::new(self.live_others(now).collect()));
        self.listing = Some((now, Arc::clone(&listing)));
        listing
    }
}

/// Pairs a daemon's address with its ranks.
pub const fn ranked((address, member): (SocketAddr, Member)) -> (SocketAddr, Ranks) {
    (address, member.ranks)
}
