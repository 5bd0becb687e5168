//! A member as seen by this daemon, and its encodings on the wire: short [`Change`] and full [`Record`].

use std::net::{IpAddr, SocketAddr};

use bytes::{BufMut, Bytes, BytesMut};
use derive_more::{Debug, Display};

use crate::ids::{DaemonId, DataCentreId, Generation, Incarnation, RegionId};
use crate::wire::{Change, Record};

// Bits of `Change::flags`; bits 0 and 1 hold the announced state.
const READY: u32 = 1 << 2;
const LIVENESS_SHIFT: u32 = 3;
const REFUSED: u32 = 1 << 5;

/// The state that a member announces for itself.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Debug)]
pub enum Announced {
    /// It doesn't know the other members yet.
    Joining,
    /// It takes part.
    Live,
    /// It will stop once its work is done.
    Leaving,
    /// It has left in an orderly way.
    Left,
}

/// Whether other members believe a member to be alive.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Debug)]
pub enum Liveness {
    /// There is no sign of a failure.
    Alive,
    /// It hasn't answered a probe, and still has time to.
    Suspect,
    /// It hasn't answered in time and is considered lost.
    Gone,
}

/// The state of a member, derived from what it announces and from its liveness.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Debug, Display)]
pub enum State {
    /// It doesn't know the other members yet.
    #[display("joining")]
    Joining,
    /// It takes part.
    #[display("live")]
    Live,
    /// It will stop once its work is done.
    #[display("leaving")]
    Leaving,
    /// It hasn't answered a probe, and still has time to.
    #[display("suspect")]
    Suspect,
    /// It has left, or is considered lost.
    #[display("gone")]
    Gone,
}

/// A member of the fleet: one daemon process.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub struct Member {
    /// The daemon's name.
    pub daemon: DaemonId,
    /// The run of the process.
    pub incarnation: Incarnation,
    /// Orders the incarnations of one name; initially the start time in seconds.
    pub epoch: u32,
    /// The address where it accepts links.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its region.
    pub region: RegionId,
    /// The state that it announces.
    pub announced: Announced,
    /// Whether others believe it to be alive.
    pub liveness: Liveness,
    /// Whether it accepts requests.
    pub ready: bool,
    /// Its heartbeat number, which it increments with each change of its own state.
    pub heartbeat: u32,
    /// The configuration generation in force there, as last received from itself.
    pub generation: Generation,
}

impl Member {
    /// Creates the member of a process that has just started, as it sees itself.
    pub const fn new(
        daemon: DaemonId,
        incarnation: Incarnation,
        address: SocketAddr,
        data_centre: DataCentreId,
        region: RegionId,
    ) -> Self {
        Self {
            daemon,
            incarnation,
            epoch: 0,
            address,
            data_centre,
            region,
            announced: Announced::Joining,
            liveness: Liveness::Alive,
            ready: false,
            heartbeat: 1,
            generation: Generation(0),
        }
    }

    /// Sets the epoch: the wall-clock start time in seconds.
    pub const fn with_epoch(mut self, epoch: u32) -> Self {
        self.epoch = epoch;
        self
    }

    /// The state derived from `announced` and `liveness`.
    pub const fn state(&self) -> State {
        match (self.announced, self.liveness) {
            (Announced::Left, _) | (_, Liveness::Gone) => State::Gone,
            (_, Liveness::Suspect) => State::Suspect,
            (Announced::Joining, _) => State::Joining,
            (Announced::Live, _) => State::Live,
            (Announced::Leaving, _) => State::Leaving,
        }
    }

    /// Whether homes and claims may be placed on it: it takes part, and isn't gone.
    ///
    /// A suspect member is still eligible, so that a lost probe doesn't move any home.
    pub fn is_eligible(&self) -> bool {
        self.announced == Announced::Live && self.liveness != Liveness::Gone
    }

    /// Whether it has left or is considered lost.
    pub fn is_gone(&self) -> bool {
        self.state() == State::Gone
    }

    /// Whether it is considered lost without having announced that it leaves: it may run on, cut off
    /// from this daemon.
    pub fn is_lost(&self) -> bool {
        self.liveness == Liveness::Gone && self.announced < Announced::Leaving
    }

    /// The key by which the processes of one name are ordered.
    pub const fn order(&self) -> (u32, Incarnation) {
        (self.epoch, self.incarnation)
    }

    /// The short encoding; `refused` is whether its address refused a connection.
    pub fn change(&self, refused: bool) -> Change {
        let mut flags = self.announced as u32 | (self.liveness as u32) << LIVENESS_SHIFT;
        if self.ready {
            flags |= READY;
        }
        if refused {
            flags |= REFUSED;
        }
        Change {
            incarnation: self.incarnation.0,
            beat: self.heartbeat,
            flags,
        }
    }

    /// The full encoding.
    pub fn record(&self) -> Record {
        Record {
            change: Some(self.change(false)),
            epoch: self.epoch,
            daemon: self.daemon.as_str().into(),
            address: encode_address(self.address),
            data_centre: self.data_centre.as_str().into(),
            region: self.region.as_str().into(),
        }
    }

    /// Decodes the full encoding; `None` if a field is invalid.
    pub fn from_record(record: &Record) -> Option<Self> {
        let change = record.change.as_ref()?;
        Some(Self {
            daemon: record.daemon.parse().ok()?,
            incarnation: Incarnation(change.incarnation),
            epoch: record.epoch,
            address: decode_address(&record.address)?,
            data_centre: record.data_centre.parse().ok()?,
            region: record.region.parse().ok()?,
            announced: change.announced(),
            liveness: change.liveness(),
            ready: change.ready(),
            heartbeat: change.beat,
            generation: Generation(0),
        })
    }
}

impl Change {
    /// The state that the member announces.
    pub const fn announced(&self) -> Announced {
        match self.flags & 0b11 {
            0 => Announced::Joining,
            1 => Announced::Live,
            2 => Announced::Leaving,
            _ => Announced::Left,
        }
    }

    /// Whether the sender believes the member to be alive.
    pub const fn liveness(&self) -> Liveness {
        match self.flags >> LIVENESS_SHIFT & 0b11 {
            0 => Liveness::Alive,
            1 => Liveness::Suspect,
            _ => Liveness::Gone,
        }
    }

    /// Whether the member accepts requests.
    pub const fn ready(&self) -> bool {
        self.flags & READY != 0
    }

    /// Whether the member's address refused a connection.
    pub const fn refused(&self) -> bool {
        self.flags & REFUSED != 0
    }
}

fn encode_address(address: SocketAddr) -> Bytes {
    let mut bytes = BytesMut::with_capacity(18);
    match address.ip() {
        IpAddr::V4(ip) => bytes.put_slice(&ip.octets()),
        IpAddr::V6(ip) => bytes.put_slice(&ip.octets()),
    }
    bytes.put_u16(address.port());
    bytes.freeze()
}

fn decode_address(bytes: &[u8]) -> Option<SocketAddr> {
    let (ip, port) = bytes.split_last_chunk::<2>()?;
    let ip = match ip.len() {
        4 => IpAddr::from(<[u8; 4]>::try_from(ip).ok()?),
        16 => IpAddr::from(<[u8; 16]>::try_from(ip).ok()?),
        _ => return None,
    };
    Some(SocketAddr::new(ip, u16::from_be_bytes(*port)))
}
