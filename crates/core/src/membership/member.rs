//! A member as seen from here, and its short and full forms on the wire.

use std::net::{IpAddr, SocketAddr};

use bytes::{BufMut, Bytes, BytesMut};
use derive_more::{Debug, Display};

use crate::ids::{DaemonId, DataCentreId, Generation, Incarnation, RegionId};
use crate::wire::{Change, Record};

const READY: u32 = 1 << 2;
const DOUBT_SHIFT: u32 = 3;
const REFUSED: u32 = 1 << 5;

/// What a member says of itself.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Debug)]
pub enum Announced {
    /// It has not yet heard of the others.
    Joining,
    /// It takes part.
    Live,
    /// It will stop once its work is done.
    Leaving,
    /// It has stopped in order.
    Left,
}

/// What others think of a member.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Debug)]
pub enum Liveness {
    /// Nothing speaks against it.
    Alive,
    /// It hasn't answered, and may yet.
    Suspect,
    /// It hasn't answered for long.
    Gone,
}

/// The state of a member, from both.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Debug, Display)]
pub enum State {
    /// It has not yet heard of the others.
    #[display("joining")]
    Joining,
    /// It takes part.
    #[display("live")]
    Live,
    /// It will stop once its work is done.
    #[display("leaving")]
    Leaving,
    /// It hasn't answered, and may yet.
    #[display("suspect")]
    Suspect,
    /// It has stopped, or hasn't answered for long.
    #[display("gone")]
    Gone,
}

/// One daemon process.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub struct Member {
    /// Its name.
    pub daemon: DaemonId,
    /// This run of it.
    pub incarnation: Incarnation,
    /// Orders the incarnations of one name.
    pub epoch: u32,
    /// Where it takes links.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its region.
    pub region: RegionId,
    /// What it says of itself.
    pub announced: Announced,
    /// What others think of it.
    pub liveness: Liveness,
    /// Whether it takes requests.
    pub ready: bool,
    /// Its heartbeat number, raised with each change that it makes to itself.
    pub heartbeat: u32,
    /// The configuration in force there, as last heard from itself.
    pub generation: Generation,
}

impl Member {
    /// A process that has just started, as it sees itself.
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

    /// The same, started at this wall time in seconds.
    pub const fn with_epoch(mut self, epoch: u32) -> Self {
        self.epoch = epoch;
        self
    }

    /// Its state.
    pub const fn state(&self) -> State {
        match (self.announced, self.liveness) {
            (Announced::Left, _) | (_, Liveness::Gone) => State::Gone,
            (_, Liveness::Suspect) => State::Suspect,
            (Announced::Joining, _) => State::Joining,
            (Announced::Live, _) => State::Live,
            (Announced::Leaving, _) => State::Leaving,
        }
    }

    /// Whether it is a place for homes and claims: it takes part, and isn't gone.
    ///
    /// A suspect still is one, so that a lost probe moves no home.
    pub fn is_eligible(&self) -> bool {
        self.announced == Announced::Live && self.liveness != Liveness::Gone
    }

    /// Whether it has stopped or is believed to have.
    pub fn is_gone(&self) -> bool {
        self.state() == State::Gone
    }

    /// What orders the processes of one name.
    pub const fn order(&self) -> (u32, Incarnation) {
        (self.epoch, self.incarnation)
    }

    /// Its short form; `refused` says that its address refused a connection.
    pub fn change(&self, refused: bool) -> Change {
        let mut flags = self.announced as u32 | (self.liveness as u32) << DOUBT_SHIFT;
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

    /// Its full form.
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

    /// Reads a full form; `None` if a part of it can't be read.
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
    /// What the member says of itself.
    pub const fn announced(&self) -> Announced {
        match self.flags & 0b11 {
            0 => Announced::Joining,
            1 => Announced::Live,
            2 => Announced::Leaving,
            _ => Announced::Left,
        }
    }

    /// What the sender thinks of it.
    pub const fn liveness(&self) -> Liveness {
        match self.flags >> DOUBT_SHIFT & 0b11 {
            0 => Liveness::Alive,
            1 => Liveness::Suspect,
            _ => Liveness::Gone,
        }
    }

    /// Whether it takes requests.
    pub const fn ready(&self) -> bool {
        self.flags & READY != 0
    }

    /// Whether its address refused a connection.
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
