//! Sends to the membership task.

use std::net::SocketAddr;

use medlarrill_core::ids::{DaemonId, Generation};
use medlarrill_core::membership::ListedVm;
use medlarrill_core::wire::{Gossip, PoolLoad};
use medlarrill_net::link::PeerId;
use tokio::sync::oneshot;

use crate::mailbox::Mailbox;

/// What the membership task is told.
#[derive(Debug)]
pub enum Message {
    /// A heartbeat came in.
    Heartbeat(PeerId, Gossip),
    /// A link is up.
    Opened(PeerId),
    /// A link is down.
    Closed(PeerId),
    /// An address could not be dialled.
    Unreachable(SocketAddr),
    /// The platform's list of router VMs.
    Listed(Vec<ListedVm>),
    /// Load of the endpoints that this daemon is home of.
    OwnLoad(Vec<PoolLoad>),
    /// The configuration in force here.
    InForce(Generation),
    /// Asks which live daemons aren't known to have a generation.
    Lagging {
        /// The generation.
        generation: Generation,
        /// Whether to ask them for it.
        probe: bool,
        /// Takes their names.
        reply: oneshot::Sender<Vec<DaemonId>>,
    },
    /// Whether this daemon takes callers.
    Ready(bool),
    /// This daemon begins to leave.
    Leave,
    /// This daemon has done its work.
    Depart,
}

/// Sends to the membership task.
pub type Handle = Mailbox<Message>;
