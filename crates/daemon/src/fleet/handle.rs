//! The membership task's messages and handle.

use std::net::SocketAddr;

use medlarrill_core::ids::{DaemonId, Generation};
use medlarrill_core::membership::ListedVm;
use medlarrill_core::wire::{Gossip, PoolLoad};
use medlarrill_net::link::PeerId;
use tokio::sync::oneshot;

use crate::mailbox::Mailbox;

/// Messages to the membership task.
#[derive(Debug)]
pub enum Message {
    /// A heartbeat from a peer.
    Heartbeat(PeerId, Gossip),
    /// A link is up.
    Opened(PeerId),
    /// A link is down.
    Closed(PeerId),
    /// A connection to this address failed.
    Unreachable(SocketAddr),
    /// The platform's list of router VMs.
    Listed(Vec<ListedVm>),
    /// Load of the endpoints that this daemon is home of.
    OwnLoad(Vec<PoolLoad>),
    /// The configuration in force here.
    InForce(Generation),
    /// Requests the live daemons that aren't known to have a generation.
    Lagging {
        /// The generation.
        generation: Generation,
        /// Whether to probe them for their generation.
        probe: bool,
        /// Receives their names.
        reply: oneshot::Sender<Vec<DaemonId>>,
    },
    /// Whether this daemon serves callers.
    Ready(bool),
    /// This daemon begins to leave.
    Leave,
    /// This daemon has finished its work and departs.
    Depart,
}

/// Sends messages to the membership task.
pub type Handle = Mailbox<Message>;
