//! Events and actions of membership.

use std::net::SocketAddr;

use crate::clock::Millis;
use crate::ids::{DaemonId, DataCentreId, Generation, Incarnation, RegionId};
use crate::wire::{Gossip, PoolLoad, PoolSum};

use super::Member;

/// The peer of a link, as named in its `Hello`.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct Peer {
    /// The name of the daemon.
    pub daemon: DaemonId,
    /// The process.
    pub incarnation: Incarnation,
}

/// The destination of a message; at least one field is set.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct Target {
    /// The name of the daemon, unless only its address is known.
    pub daemon: Option<DaemonId>,
    /// The address where it accepts links, unless it is known only by a link that it opened.
    pub address: Option<SocketAddr>,
}

/// A router VM in the platform's list.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ListedVm {
    /// The address where its daemon accepts links.
    pub address: SocketAddr,
    /// Whether the platform is about to remove the VM.
    pub leaving: bool,
}

/// A set of members.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Scope {
    /// All members.
    Fleet,
    /// The members of one region.
    Region(RegionId),
    /// The members of one data centre.
    DataCentre(DataCentreId),
}

impl Scope {
    /// Whether `member` is in the set.
    pub fn contains(&self, member: &Member) -> bool {
        match self {
            Self::Fleet => true,
            Self::Region(region) => member.region == *region,
            Self::DataCentre(data_centre) => member.data_centre == *data_centre,
        }
    }
}

/// An event for [`Membership`](super::Membership).
#[derive(Clone, PartialEq, Debug)]
pub enum Event {
    /// Time has passed; due about every 100 ms.
    Tick {
        /// Wall-clock time.
        wall: Millis,
    },
    /// A heartbeat was received.
    Received {
        /// Its sender.
        from: Peer,
        /// The heartbeat.
        message: Gossip,
    },
    /// A link was established.
    Connected(Peer),
    /// A link was closed.
    Closed(Peer),
    /// An address refused a connection.
    Refused(SocketAddr),
    /// A new list of router VMs from the platform.
    VmList(Vec<ListedVm>),
    /// This daemon begins to leave.
    Leave,
    /// This daemon has finished its work and is about to exit.
    Depart,
}

/// An action for the caller of [`Membership`](super::Membership).
#[derive(Clone, PartialEq, Debug)]
pub enum Action {
    /// Send a heartbeat, if a link is available.
    Send {
        /// The destination.
        to: Target,
        /// The heartbeat.
        message: Gossip,
    },
    /// A member is new or has changed.
    Changed(Member),
    /// A gone member was removed from the table.
    Forgotten(DaemonId),
    /// A peer has a later configuration in force than this daemon.
    NewerGeneration {
        /// The peer.
        from: DaemonId,
        /// Its generation.
        generation: Generation,
    },
    /// A peer in this data centre has reported the load of the endpoints it is home to.
    LoadReceived {
        /// The peer.
        from: DaemonId,
        /// When it was measured, on the monotonic clock.
        at: Millis,
        /// The load of each pool.
        pools: Vec<PoolLoad>,
    },
    /// A peer has reported the load of another data centre of the region.
    SumsReceived {
        /// The data centre.
        data_centre: DataCentreId,
        /// The load of each pool.
        sums: Vec<PoolSum>,
    },
    /// The view is stale: no dispatch, claim or order until `Fresh`.
    Stale,
    /// The view may be acted on.
    Fresh,
    /// The platform's list marks this VM as leaving.
    ListedLeaving,
    /// Peers have acknowledged that this daemon is leaving, or the wait for them timed out.
    LeaveAcknowledged {
        /// Number of peers that acknowledged it.
        peers: usize,
    },
    /// Peers have acknowledged that this daemon has left, or the wait for them timed out.
    Departed {
        /// Number of peers that acknowledged it.
        peers: usize,
    },
    /// Another process runs under this daemon's name and takes precedence.
    Replaced {
        /// The other process.
        by: Incarnation,
    },
}
