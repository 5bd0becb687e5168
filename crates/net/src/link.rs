//! Peer links: framed messages between the daemons of one fleet.
//!
//! A link carries messages one way, from the daemon that dialled it; replies use
//! a link that the peer dials. Both sides prove that they know the fleet key
//! before the first message. A link is dialled on first use. After a failed
//! dial, further calls fail at once for `REDIAL_DELAY`, so that callers don't
//! wait for a lost peer.

mod counts;
mod handshake;
mod incoming;
mod outgoing;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use derive_more::{Debug, Display, Error, From};
use medlarrill_core::ids::{DaemonId, IdError, Incarnation};
use medlarrill_core::wire::Body;
use tokio::net::TcpListener;

pub use counts::{Counts, KindCount};
pub use handshake::FleetKey;
pub use outgoing::Link;

use outgoing::Slot;

/// Timeout for connecting and for the handshake.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after a failed dial before the next attempt.
pub const REDIAL_DELAY: Duration = Duration::from_millis(250);
/// Capacity of a link's send queue, in messages.
pub const QUEUE_LEN: usize = 1024;
/// How long sent bytes may stay unacknowledged before the link is closed.
pub const ACK_TIMEOUT: Duration = Duration::from_secs(5);

/// Result of a link operation.
pub type Result<T> = std::result::Result<T, LinkError>;

/// Why a message could not be sent.
#[derive(Debug, Display, Error, From)]
pub enum LinkError {
    /// The socket failed.
    #[display("socket: {_0}")]
    Io(std::io::Error),
    /// The peer did not respond in time.
    #[display("no answer within {} ms", HANDSHAKE_TIMEOUT.as_millis())]
    Timeout,
    /// The peer is not a member of this fleet.
    #[display("the peer did not prove that it knows the fleet key")]
    Proof,
    /// The peer broke the handshake protocol.
    #[display("unexpected message during the handshake")]
    Protocol,
    /// The peer sent an invalid name.
    #[display("invalid peer name: {_0}")]
    Name(IdError),
    /// The address belongs to another daemon.
    #[display("another daemon listens at this address")]
    OtherDaemon,
    /// The last dial failed less than `REDIAL_DELAY` ago.
    #[display("not dialled again so soon after a failure")]
    Resting,
    /// The link was closed.
    #[display("the link was closed")]
    Closed,
    /// The link's send queue is full.
    #[display("the send queue of the link is full")]
    Full,
}

impl LinkError {
    /// Whether the connection was refused: nothing listens at the address. A
    /// timeout may have other causes.
    pub fn is_refusal(&self) -> bool {
        matches!(self, Self::Io(error) if error.kind() == std::io::ErrorKind::ConnectionRefused)
    }
}

/// Identifies a daemon and its process to its peers.
#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(Debug, Display)]
#[display("{daemon}@{incarnation}")]
pub struct PeerId {
    /// Name of the daemon.
    pub daemon: DaemonId,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
}

/// An event on a link.
#[derive(Debug)]
pub enum Event {
    /// A message was received.
    Message(PeerId, Box<Body>),
    /// A link to or from this peer was opened.
    Opened(PeerId),
    /// A link to or from this peer was closed.
    Closed(PeerId),
    /// An address refused the connection: nothing listens there.
    Refused(SocketAddr),
}

/// Callback for the events of all links; must not block.
pub type Handler = Arc<dyn Fn(Event) + Send + Sync>;

/// Identity that this daemon presents in handshakes.
#[derive(Clone)]
#[derive(Debug)]
pub struct Identity {
    /// The fleet's name.
    pub fleet: String,
    /// The fleet's key.
    #[debug(skip)]
    pub key: FleetKey,
    /// This daemon and process.
    pub me: PeerId,
    /// Address on which it accepts links.
    pub address: SocketAddr,
}

/// The links of this daemon. Cheap to clone.
#[derive(Clone)]
pub struct Links {
    shared: Arc<Shared>,
}

struct Shared {
    identity: Identity,
    handler: Handler,
    counts: Counts,
    slots: Mutex<HashMap<SocketAddr, Arc<Slot>>>,
    addresses: Mutex<HashMap<DaemonId, SocketAddr>>,
}

impl Shared {
    fn record_address(&self, daemon: &DaemonId, address: SocketAddr) {
        self.addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(daemon.clone(), address);
    }
}

impl Links {
    /// Accepts links on `listener` and passes the events of all links to `handler`.
    pub fn start(listener: TcpListener, identity: Identity, handler: Handler) -> Self {
        let shared = Arc::new(Shared {
            identity,
            handler,
            counts: Counts::default(),
            slots: Mutex::default(),
            addresses: Mutex::default(),
        });
        tokio::spawn(incoming::listen(listener, Arc::clone(&shared)));
        Self { shared }
    }

    /// The link to a daemon; dials it unless one is open.
    ///
    /// # Errors
    ///
    /// When the daemon can't be reached there or isn't of this fleet; then nothing was sent.
    pub async fn to(&self, daemon: &DaemonId, address: SocketAddr) -> Result<Link> {
        let link = self.at(address).await?;
        if link.peer.daemon != *daemon {
            return Err(LinkError::OtherDaemon);
        }
        Ok(link)
    }

    /// The link to whichever daemon listens at an address; dials it unless one is open.
    ///
    /// # Errors
    ///
    /// As for `to`.
    pub async fn at(&self, address: SocketAddr) -> Result<Link> {
        let slot = self.slot(address);
        slot.link(&self.shared, address).await
    }

    /// The address on which a daemon accepts links, if it has dialled this one.
    pub fn address_of(&self, daemon: &DaemonId) -> Option<SocketAddr> {
        let addresses = &self.shared.addresses;
        let addresses = addresses.lock().unwrap_or_else(PoisonError::into_inner);
        addresses.get(daemon).copied()
    }

    /// Traffic counters.
    pub fn counts(&self) -> &Counts {
        &self.shared.counts
    }

    fn slot(&self, address: SocketAddr) -> Arc<Slot> {
        let slots = &self.shared.slots;
        let mut slots = slots.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(slots.entry(address).or_default())
    }
}
