//! Heartbeat with membership and load.
//!
//! A heartbeat names nobody: the link it travels on has named both sides. A
//! member is known by its incarnation, and its names and address travel only
//! to a peer that asked for them.

use bytes::Bytes;
use prost::Message;

/// One heartbeat; every part but the first three is optional.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Gossip {
    /// The incarnation addressed, lower half; zero if the sender doesn't know it.
    #[prost(fixed32, tag = "1")]
    pub to: u32,
    /// The sender's heartbeat number.
    #[prost(uint32, tag = "2")]
    pub beat: u32,
    /// The configuration in force at the sender.
    #[prost(uint64, tag = "3")]
    pub generation: u64,
    /// Number of a probe that asks for an `ack`; zero for none.
    #[prost(uint32, tag = "4")]
    pub ping: u32,
    /// Number of the probe answered; zero for none.
    #[prost(uint32, tag = "5")]
    pub ack: u32,
    /// The member to probe in the sender's stead; `ping` is answered once that one has answered.
    #[prost(fixed64, tag = "6")]
    pub probe: u64,
    /// What is new about members.
    #[prost(message, repeated, tag = "7")]
    pub changes: Vec<Change>,
    /// Members in full.
    #[prost(message, repeated, tag = "8")]
    pub records: Vec<Record>,
    /// Incarnations whose records are wanted.
    #[prost(fixed64, repeated, tag = "9")]
    pub wants: Vec<u64>,
    /// Digest of the sender's whole table, to be compared; zero for none.
    #[prost(fixed64, tag = "10")]
    pub digest: u64,
    /// Digests of the table's buckets, sent where `digest` differed.
    #[prost(fixed32, repeated, tag = "11")]
    pub buckets: Vec<u32>,
    /// Bit set of the buckets of which `changes` holds every member.
    #[prost(uint32, tag = "12")]
    pub covers: u32,
    /// Load of the sender's endpoints, by pool; only within a data centre.
    #[prost(message, repeated, tag = "13")]
    pub loads: Vec<PoolLoad>,
    /// Age of `loads`, in milliseconds.
    #[prost(uint32, tag = "14")]
    pub age: u32,
    /// Sums over the sender's data centre; only to other ones of its region.
    #[prost(message, repeated, tag = "15")]
    pub sums: Vec<PoolSum>,
}

/// What is known of a member, without its names.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Message)]
pub struct Change {
    /// The member.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// Its heartbeat number.
    #[prost(uint32, tag = "2")]
    pub beat: u32,
    /// Bits 0 and 1: joining, live, leaving, left; bit 2: ready; bits 3 and 4: trusted, suspect, gone;
    /// bit 5: its address refused a connection.
    #[prost(uint32, tag = "3")]
    pub flags: u32,
}

/// A member in full.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct Record {
    /// What may change.
    #[prost(message, optional, tag = "1")]
    pub change: Option<Change>,
    /// Orders the incarnations of one name.
    #[prost(uint32, tag = "2")]
    pub epoch: u32,
    /// The daemon's name.
    #[prost(string, tag = "3")]
    pub daemon: String,
    /// Where it takes links: 4 or 16 bytes of address and 2 of port.
    #[prost(bytes = "bytes", tag = "4")]
    pub address: Bytes,
    /// Its data centre.
    #[prost(string, tag = "5")]
    pub data_centre: String,
    /// Its region.
    #[prost(string, tag = "6")]
    pub region: String,
}

/// Load of the endpoints of one pool that the sender is home to.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct PoolLoad {
    /// Hash of the pool's name, by [`name_hash`].
    #[prost(fixed32, tag = "1")]
    pub pool: u32,
    /// Sum of their loads.
    #[prost(uint64, tag = "2")]
    pub load: u64,
    /// How many there are.
    #[prost(uint32, tag = "3")]
    pub endpoints: u32,
    /// The least loaded of them: hash of the name above, load below with its top bit set if there is no room.
    #[prost(fixed64, repeated, tag = "4")]
    pub least: Vec<u64>,
}

/// Load of one pool in one data centre.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Message)]
pub struct PoolSum {
    /// Hash of the pool's name, by [`name_hash`].
    #[prost(fixed32, tag = "1")]
    pub pool: u32,
    /// Sum of its endpoints' loads.
    #[prost(uint64, tag = "2")]
    pub load: u64,
    /// How many endpoints there are.
    #[prost(uint32, tag = "3")]
    pub endpoints: u32,
}

/// Load of one endpoint, as [`PoolLoad`] carries it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct EndpointLoad {
    /// Hash of the endpoint's name, by [`name_hash`].
    pub endpoint: u32,
    /// Its load, at most [`MAX_LOAD`].
    pub load: u32,
    /// Whether one more request would run at once.
    pub room: bool,
}

/// Largest load that a heartbeat can name.
pub const MAX_LOAD: u32 = u32::MAX >> 1;
/// Marks an endpoint without room.
const FULL: u32 = 1 << 31;

impl PoolLoad {
    /// The load of one pool's endpoints, of which `least` are named.
    pub fn new(pool: u32, load: u64, endpoints: u32, least: &[EndpointLoad]) -> Self {
        Self {
            pool,
            load,
            endpoints,
            least: least.iter().copied().map(u64::from).collect(),
        }
    }

    /// The least loaded endpoints, as given.
    pub fn least(&self) -> impl Iterator<Item = EndpointLoad> + '_ {
        self.least.iter().copied().map(EndpointLoad::from)
    }
}

impl From<EndpointLoad> for u64 {
    fn from(from: EndpointLoad) -> Self {
        let full = if from.room { 0 } else { FULL };
        Self::from(from.endpoint) << 32 | Self::from(from.load.min(MAX_LOAD) | full)
    }
}

impl From<u64> for EndpointLoad {
    fn from(from: u64) -> Self {
        Self {
            endpoint: (from >> 32) as u32,
            load: from as u32 & MAX_LOAD,
            room: from as u32 & FULL == 0,
        }
    }
}

/// Hash by which heartbeats name pools and endpoints.
pub fn name_hash(name: &str) -> u32 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as u32
}
