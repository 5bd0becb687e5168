//! Heartbeats, which carry membership and load.
//!
//! A heartbeat names neither side: both are known from the link's handshake. A
//! member is identified by its incarnation; its names and address are sent only
//! to a peer that requested them.

use bytes::Bytes;
use prost::Message;

/// One heartbeat; all fields but the first three are optional.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Gossip {
    /// The incarnation addressed, lower half; zero if the sender doesn't know it.
    #[prost(fixed32, tag = "1")]
    pub to: u32,
    /// The sender's heartbeat number.
    #[prost(uint32, tag = "2")]
    pub beat: u32,
    /// Generation of the configuration in force at the sender.
    #[prost(uint64, tag = "3")]
    pub generation: u64,
    /// Number of a probe that requests an `ack`; zero for none.
    #[prost(uint32, tag = "4")]
    pub ping: u32,
    /// Number of the probe answered; zero for none.
    #[prost(uint32, tag = "5")]
    pub ack: u32,
    /// Indirect probe: the member to probe for the sender; `ping` is acknowledged once that member has answered.
    #[prost(fixed64, tag = "6")]
    pub probe: u64,
    /// Updates of members.
    #[prost(message, repeated, tag = "7")]
    pub changes: Vec<Change>,
    /// Complete records of members.
    #[prost(message, repeated, tag = "8")]
    pub records: Vec<Record>,
    /// Incarnations whose records are requested.
    #[prost(fixed64, repeated, tag = "9")]
    pub wants: Vec<u64>,
    /// Digest of the sender's complete table, for comparison; zero for none.
    #[prost(fixed64, tag = "10")]
    pub digest: u64,
    /// Digests of the table's buckets, sent where `digest` differed.
    #[prost(fixed32, repeated, tag = "11")]
    pub buckets: Vec<u32>,
    /// Bit set of the buckets of which `changes` contains every member.
    #[prost(uint32, tag = "12")]
    pub covers: u32,
    /// Load of the sender's endpoints, by pool; only within a data centre.
    #[prost(message, repeated, tag = "13")]
    pub loads: Vec<PoolLoad>,
    /// Age of `loads`, in milliseconds.
    #[prost(uint32, tag = "14")]
    pub age: u32,
    /// Sums over the sender's data centre; sent only to other data centres of its region.
    #[prost(message, repeated, tag = "15")]
    pub sums: Vec<PoolSum>,
}

/// State of a member, without its names.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Message)]
pub struct Change {
    /// The member.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// Its heartbeat number.
    #[prost(uint32, tag = "2")]
    pub beat: u32,
    /// Bits 0 and 1: joining, live, leaving, left; bit 2: ready; bits 3 and 4: alive, suspect, lost;
    /// bit 5: its address refused a connection.
    #[prost(uint32, tag = "3")]
    pub flags: u32,
}

/// Complete record of a member.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct Record {
    /// The part that changes over time.
    #[prost(message, optional, tag = "1")]
    pub change: Option<Change>,
    /// Orders the incarnations of one name.
    #[prost(uint32, tag = "2")]
    pub epoch: u32,
    /// The daemon's name.
    #[prost(string, tag = "3")]
    pub daemon: String,
    /// Address on which it accepts links: 4 or 16 bytes of IP address, then 2 of port.
    #[prost(bytes = "bytes", tag = "4")]
    pub address: Bytes,
    /// Its data centre.
    #[prost(string, tag = "5")]
    pub data_centre: String,
    /// Its region.
    #[prost(string, tag = "6")]
    pub region: String,
}

/// Load of those endpoints of one pool whose home is the sender.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct PoolLoad {
    /// Hash of the pool's name, by [`name_hash`].
    #[prost(fixed32, tag = "1")]
    pub pool: u32,
    /// Sum of their loads.
    #[prost(uint64, tag = "2")]
    pub load: u64,
    /// Number of these endpoints.
    #[prost(uint32, tag = "3")]
    pub endpoints: u32,
    /// The least loaded of them: upper half the hash of the name, lower half the load, its top bit set if the endpoint has no room.
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
    /// Number of its endpoints.
    #[prost(uint32, tag = "3")]
    pub endpoints: u32,
}

/// Load of one endpoint, as encoded in [`PoolLoad`].
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct EndpointLoad {
    /// Hash of the endpoint's name, by [`name_hash`].
    pub endpoint: u32,
    /// Its load, at most [`MAX_LOAD`].
    pub load: u32,
    /// Whether one more request would start immediately.
    pub room: bool,
}

/// Largest load that a heartbeat can encode.
pub const MAX_LOAD: u32 = u32::MAX >> 1;
/// Flag of an endpoint without room.
const FULL: u32 = 1 << 31;

impl PoolLoad {
    /// Encodes the load of one pool's endpoints; `least` are the least loaded.
    pub fn new(pool: u32, load: u64, endpoints: u32, least: &[EndpointLoad]) -> Self {
        Self {
            pool,
            load,
            endpoints,
            least: least.iter().copied().map(u64::from).collect(),
        }
    }

    /// Decodes the least loaded endpoints.
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

/// Hash that identifies pools and endpoints in heartbeats.
pub fn name_hash(name: &str) -> u32 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as u32
}
