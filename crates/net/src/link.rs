//! Peer links: framed messages between the daemons of one fleet.
//!
//! A link carries messages one way, from the daemon that dialled it; answers
//! travel on the other daemon's own link. Both sides prove that they know the
//! fleet key before the first message. A link is dialled when it is first
//! needed, and a failed dial is remembered for a moment so that a lost peer
//! costs its callers nothing.

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

/// Longest time to connect and prove the fleet key.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a failed dial is remembered.
pub const REDIAL_AFTER: Duration = Duration::from_millis(250);
/// Messages that may wait for one link's socket.
pub const QUEUE: usize = 1024;
/// How long unacknowledged bytes may stay so before the link is given up.
pub const SILENCE: Duration = Duration::from_secs(5);

/// Result of using a link.
pub type Result<T> = std::result::Result<T, LinkError>;

/// Why a message could not be sent.
#[derive(Debug, Display, Error, From)]
pub enum LinkError {
    /// The socket failed.
    #[display("socket: {_0}")]
    Io(std::io::Error),
    /// The other side did not answer in time.
    #[display("no answer within {} ms", HANDSHAKE_TIMEOUT.as_millis())]
    Timeout,
    /// The other side is not of this fleet.
    #[display("the other side did not prove the fleet key")]
    Proof,
    /// The other side broke the protocol.
    #[display("unexpected message while opening the link")]
    Protocol,
    /// The other side gave a name that can't be used.
    #[display("name of the other side: {_0}")]
    Name(IdError),
    /// The address belongs to another daemon.
    #[display("the address answers as another daemon")]
    OtherDaemon,
    /// A dial failed a moment ago.
    #[display("the last dial failed a moment ago")]
    Resting,
    /// The link was closed.
    #[display("the link was closed")]
    Closed,
    /// Too many messages wait for the link.
    #[display("too many messages wait for the link")]
    Full,
}

impl LinkError {
    /// Whether nothing listens at the address; a timeout may have other causes.
    pub fn is_refusal(&self) -> bool {
        matches!(self, Self::Io(error) if error.kind() == std::io::ErrorKind::ConnectionRefused)
    }
}

/// A daemon as its peers see it.
#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(Debug, Display)]
#[display("{daemon}@{incarnation}")]
pub struct PeerId {
    /// Its name.
    pub daemon: DaemonId,
    /// Its process.
    pub incarnation: Incarnation,
}

/// What happens on links.
#[derive(Debug)]
pub enum Event {
    /// A message came in.
    Message(PeerId, Box<Body>),
    /// A link to or from this peer was opened.
    Opened(PeerId),
    /// A link to or from this peer was closed.
    Closed(PeerId),
    /// An address refused the connection: nothing listens there.
    Refused(SocketAddr),
}

/// Takes the events of all links; must not block.
pub type Handler = Arc<dyn Fn(Event) + Send + Sync>;

/// Who this daemon is on its links.
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
    /// Where it takes links.
    pub address: SocketAddr,
}

/// All links of this daemon.
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
    fn note_address(&self, daemon: &DaemonId, address: SocketAddr) {
        self.addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(daemon.clone(), address);
    }
}

impl Links {
    /// Takes links on `listener` and hands their events to `handler`.
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

    /// The link to a daemon, dialled if need be.
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

    /// The link to whichever daemon listens at an address, dialled if need be.
    ///
    /// # Errors
    ///
    /// As `to`.
    pub async fn at(&self, address: SocketAddr) -> Result<Link> {
        let slot = self.slot(address);
        slot.link(&self.shared, address).await
    }

    /// Where a daemon that has dialled this one takes links itself.
    pub fn address_of(&self, daemon: &DaemonId) -> Option<SocketAddr> {
        let addresses = &self.shared.addresses;
        let addresses = addresses.lock().unwrap_or_else(PoisonError::into_inner);
        addresses.get(daemon).copied()
    }

    /// Bytes and messages so far, by kind.
    pub fn counts(&self) -> &Counts {
        &self.shared.counts
    }

    fn slot(&self, address: SocketAddr) -> Arc<Slot> {
        let slots = &self.shared.slots;
        let mut slots = slots.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(slots.entry(address).or_default())
    }
}
