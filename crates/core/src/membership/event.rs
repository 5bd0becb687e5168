//! What the membership machine is told, and what it asks for.

use std::net::SocketAddr;

use crate::clock::Millis;
use crate::ids::{DaemonId, DataCentreId, Generation, Incarnation, RegionId};
use crate::wire::{Gossip, PoolLoad, PoolSum};

use super::Member;

/// The other side of a link, as its `Hello` named it.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct Peer {
    /// The daemon.
    pub daemon: DaemonId,
    /// The process.
    pub incarnation: Incarnation,
}

/// Where a message goes; at least one part is given.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct Target {
    /// The daemon, unless only its address is known.
    pub daemon: Option<DaemonId>,
    /// Where it takes links, unless it has only been heard of by a link of its own.
    pub address: Option<SocketAddr>,
}

/// A router VM in the platform's list.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ListedVm {
    /// Where its daemon takes links.
    pub address: SocketAddr,
    /// Whether the platform is about to take it away.
    pub leaving: bool,
}

/// Which members are meant.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Scope {
    /// All.
    Fleet,
    /// Those of one region.
    Region(RegionId),
    /// Those of one data centre.
    DataCentre(DataCentreId),
}

impl Scope {
    /// Whether `member` is meant.
    pub fn contains(&self, member: &Member) -> bool {
        match self {
            Self::Fleet => true,
            Self::Region(region) => member.region == *region,
            Self::DataCentre(data_centre) => member.data_centre == *data_centre,
        }
    }
}

/// What the machine is told.
#[derive(Clone, PartialEq, Debug)]
pub enum Event {
    /// Time has passed; due every 100 ms or so.
    Tick {
        /// The wall clock.
        wall: Millis,
    },
    /// A heartbeat has arrived.
    Received {
        /// Its sender.
        from: Peer,
        /// The heartbeat.
        message: Gossip,
    },
    /// A link is up.
    Connected(Peer),
    /// A link is down.
    Closed(Peer),
    /// An address refused a connection.
    Refused(SocketAddr),
    /// The platform's list of router VMs.
    VmList(Vec<ListedVm>),
    /// This daemon begins to leave.
    Leave,
    /// This daemon has finished its work and is about to exit.
    Depart,
}

/// What the machine asks for, or tells.
#[derive(Clone, PartialEq, Debug)]
pub enum Action {
    /// Send a heartbeat, if the link can be had.
    Send {
        /// Where to.
        to: Target,
        /// The heartbeat.
        message: Gossip,
    },
    /// A member is new or has changed.
    Changed(Member),
    /// A member that was gone is no longer known.
    Forgotten(DaemonId),
    /// A peer has a later configuration in force than this daemon.
    NewerGeneration {
        /// The peer.
        from: DaemonId,
        /// Its generation.
        generation: Generation,
    },
    /// Load of the endpoints that a peer of this data centre is home to.
    LoadReceived {
        /// The peer.
        from: DaemonId,
        /// When it was so, on the monotonic clock.
        at: Millis,
        /// By pool.
        pools: Vec<PoolLoad>,
    },
    /// Load of another data centre of the region.
    SumsReceived {
        /// The data centre.
        data_centre: DataCentreId,
        /// By pool.
        sums: Vec<PoolSum>,
    },
    /// What is known is stale: no dispatch, no claim, no order until `Fresh`.
    Stale,
    /// What is known may be acted on.
    Fresh,
    /// The platform is about to take this VM away.
    ListedLeaving,
    /// Peers know that this daemon is leaving.
    LeaveAcknowledged {
        /// How many have acknowledged it.
        peers: usize,
    },
    /// Peers know that this daemon has left.
    Departed {
        /// How many have acknowledged it.
        peers: usize,
    },
    /// Another process runs under this daemon's name.
    Replaced {
        /// That process.
        by: Incarnation,
    },
}
