//! Datagrams of the exchange, encoded as Protocol Buffers.

mod peers;

use bytes::Bytes;
use prost::{DecodeError, Message as _, Oneof};

use super::LinkClass;
use super::brittle_pools::BrittlePools;
use super::evidence::Findings;
use super::loss_news::LossNews;
use super::members::DataCentreHash;
use super::sums::{Delta, OutcomeCounts, Version};
use crate::routing::room::demand::Demand;
pub use peers::{Peer, Peers};

/// Result of reading a datagram.
pub type Result<T> = std::result::Result<T, DecodeError>;

/// One endpoint in a daemon's report.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct ReportEntry {
    /// Short form of the endpoint's id.
    #[prost(fixed32, tag = "1")]
    pub endpoint: u32,
    /// Requests in flight.
    #[prost(uint32, tag = "2")]
    pub in_flight: u32,
    /// Successful attempts since the last report.
    #[prost(uint32, tag = "3")]
    pub good: u32,
    /// Failed attempts since the last report.
    #[prost(uint32, tag = "4")]
    pub bad: u32,
    /// Prompt tokens that are still to be read, in units of 256.
    #[prost(uint32, tag = "5")]
    pub reading: u32,
}

impl ReportEntry {
    /// Outcomes since the last report.
    pub const fn outcomes(&self) -> OutcomeCounts {
        OutcomeCounts {
            good: self.good,
            bad: self.bad,
        }
    }
}

/// One daemon's requests at endpoints, sent to hubs.
#[derive(Clone, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct Report {
    /// Endpoints with requests in flight or with outcomes since the last report.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<ReportEntry>,
    /// Whether the daemon has lost its connection to the platform.
    #[prost(bool, tag = "2")]
    pub cut_off: bool,
    /// Requests with shared prefixes that were sent since the last report.
    #[prost(message, repeated, tag = "3")]
    pub sent: Vec<PrefixCount>,
    /// Link class of the daemon's VM.
    #[prost(uint32, tag = "4")]
    pub link_class: u32,
    /// Prefixes sent elsewhere than to the endpoint that rank and age give, since the last report.
    #[prost(message, repeated, tag = "5")]
    pub moved: Vec<PrefixMove>,
    /// Short form of the daemon's data centre.
    #[prost(fixed32, tag = "6")]
    pub centre: u32,
    /// The version of the hub's sums that the daemon has reached.
    #[prost(message, optional, tag = "7")]
    pub reached: Option<Version>,
    /// What the receiver is asked for.
    #[prost(enumeration = "Wish", tag = "8")]
    pub wish: i32,
    /// Evidence against requests.
    #[prost(message, optional, tag = "9")]
    pub findings: Option<Findings>,
    /// Digest of all evidence that the daemon holds.
    #[prost(fixed64, tag = "10")]
    pub digest: u64,
    /// Brittle pools that the daemon observed.
    #[prost(message, optional, tag = "11")]
    pub brittle: Option<BrittlePools>,
    /// What the daemon's callers ask of busy pools.
    #[prost(message, optional, tag = "12")]
    pub demand: Option<Demand>,
    /// Requests that the daemon lost lately.
    #[prost(message, optional, tag = "13")]
    pub losses: Option<LossNews>,
}

/// What a report asks its receiver for.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug, prost::Enumeration)]
pub enum Wish {
    /// A heartbeat.
    Heartbeat = 0,
    /// The sums.
    Sums = 1,
    /// The live daemons, once.
    Peers = 2,
}

/// Number of requests with one shared prefix.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct PrefixCount {
    /// Short form of the prefix's key.
    #[prost(fixed32, tag = "1")]
    pub prefix: u32,
    /// Number of requests.
    #[prost(uint32, tag = "2")]
    pub count: u32,
}

/// A shared prefix, and an endpoint to which it was sent.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(prost::Message)]
pub struct PrefixMove {
    /// Short form of the prefix's key.
    #[prost(fixed32, tag = "1")]
    pub prefix: u32,
    /// Short form of the instance's id.
    #[prost(fixed32, tag = "2")]
    pub endpoint: u32,
}

/// A shared prefix that gets much of the traffic.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct HotPrefix {
    /// Short form of the prefix's key.
    #[prost(fixed32, tag = "1")]
    pub prefix: u32,
    /// Its share of the requests with shared prefixes, in millionths.
    #[prost(uint32, tag = "2")]
    pub share: u32,
}

impl HotPrefix {
    /// Value of `share` for all requests.
    pub const SCALE: f64 = 1e6;
}

/// Requests of all daemons at endpoints, sent by a hub to its reporters.
#[derive(Clone, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct Summary {
    /// The sums that are new to the receiver.
    #[prost(message, optional, tag = "1")]
    pub delta: Option<Delta>,
    /// Live daemons; not in every summary.
    #[prost(message, optional, tag = "2")]
    pub peers: Option<Peers>,
    /// Shared prefixes that get much of the traffic; not in every summary.
    #[prost(message, repeated, tag = "3")]
    pub hot: Vec<HotPrefix>,
    /// Number of daemons in the sums.
    #[prost(uint32, tag = "4")]
    pub daemons: u32,
    /// Number of live daemons.
    #[prost(uint32, tag = "5")]
    pub live: u32,
    /// Link class of the hub's VM.
    #[prost(uint32, tag = "6")]
    pub link_class: u32,
    /// Prefixes sent elsewhere than to the endpoint that rank and age give.
    #[prost(message, repeated, tag = "7")]
    pub moved: Vec<PrefixMove>,
    /// Short form of the hub's data centre.
    #[prost(fixed32, tag = "8")]
    pub centre: u32,
    /// Number of daemons that report to the hub, itself included.
    #[prost(uint32, tag = "9")]
    pub reporters: u32,
    /// Whether the hub has lost its connection to the platform.
    #[prost(bool, tag = "10")]
    pub cut_off: bool,
    /// Evidence against requests.
    #[prost(message, optional, tag = "11")]
    pub findings: Option<Findings>,
    /// Digest of all evidence that the hub holds.
    #[prost(fixed64, tag = "12")]
    pub digest: u64,
    /// Brittle pools of the fleet.
    #[prost(message, optional, tag = "13")]
    pub brittle: Option<BrittlePools>,
    /// What callers ask of busy pools.
    #[prost(message, optional, tag = "14")]
    pub demand: Option<Demand>,
    /// Requests that the fleet lost lately.
    #[prost(message, optional, tag = "15")]
    pub losses: Option<LossNews>,
}

/// Requests with shared prefixes in one data centre, with exponential decay.
#[derive(Clone, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct PrefixTotals {
    /// The most frequent prefixes.
    #[prost(message, repeated, tag = "1")]
    pub most: Vec<PrefixCount>,
    /// Number of requests with any shared prefix.
    #[prost(uint32, tag = "2")]
    pub total: u32,
}

/// Requests of the daemons of one data centre at endpoints, sent by its hubs to those of the
/// others.
#[derive(Clone, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct Subtotal {
    /// The sums that are new to the receiver.
    #[prost(message, optional, tag = "1")]
    pub delta: Option<Delta>,
    /// Live daemons; not in every subtotal.
    #[prost(message, optional, tag = "2")]
    pub peers: Option<Peers>,
    /// Requests with shared prefixes; not in every subtotal.
    #[prost(message, optional, tag = "3")]
    pub prefixes: Option<PrefixTotals>,
    /// Number of daemons in the sums.
    #[prost(uint32, tag = "4")]
    pub daemons: u32,
    /// Link class of the hub's VM.
    #[prost(uint32, tag = "5")]
    pub link_class: u32,
    /// Prefixes sent elsewhere than to the endpoint that rank and age give.
    #[prost(message, repeated, tag = "6")]
    pub moved: Vec<PrefixMove>,
    /// Short form of the hub's data centre.
    #[prost(fixed32, tag = "7")]
    pub centre: u32,
    /// Whether the hub has lost its connection to the platform.
    #[prost(bool, tag = "8")]
    pub cut_off: bool,
    /// The version of the receiver's sums that the hub has reached.
    #[prost(message, optional, tag = "9")]
    pub reached: Option<Version>,
    /// Evidence against requests.
    #[prost(message, optional, tag = "10")]
    pub findings: Option<Findings>,
    /// Digest of all evidence that the hub holds.
    #[prost(fixed64, tag = "11")]
    pub digest: u64,
    /// Brittle pools of the data centre.
    #[prost(message, optional, tag = "12")]
    pub brittle: Option<BrittlePools>,
    /// What callers in the data centre ask of busy pools.
    #[prost(message, optional, tag = "13")]
    pub demand: Option<Demand>,
    /// Requests that the data centre lost lately.
    #[prost(message, optional, tag = "14")]
    pub losses: Option<LossNews>,
}

/// A message of the exchange.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Message {
    /// From a daemon to a hub.
    Report(Report),
    /// From a hub to a daemon that reports to it.
    Summary(Summary),
    /// From a hub to a hub of another data centre.
    Subtotal(Subtotal),
    /// Lost requests, told at once.
    Losses(LossNews),
}

#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
struct Datagram {
    // Tags 1 and 2 were used for reports and summaries without versions; 6 to 8 and 10 belong to messages
    // on streams.
    #[prost(oneof = "Content", tags = "3, 4, 5, 9")]
    content: Option<Content>,
}

#[derive(Clone, PartialEq)]
#[derive(Oneof)]
enum Content {
    #[prost(message, tag = "3")]
    Report(Report),
    #[prost(message, tag = "4")]
    Summary(Summary),
    #[prost(message, tag = "5")]
    Subtotal(Subtotal),
    #[prost(message, tag = "9")]
    Losses(LossNews),
}

/// The fields about the sender that all messages have.
#[derive(Clone, Copy)]
#[derive(Debug)]
pub struct Sender<'a> {
    /// Link class of its VM.
    pub link_class: LinkClass,
    /// Its data centre.
    pub centre: DataCentreHash,
    /// Whether it has lost its connection to the platform.
    pub cut_off: bool,
    /// Evidence against requests in the message.
    pub findings: Option<&'a Findings>,
}

impl<'a> Sender<'a> {
    const fn new(
        link_class: u32,
        centre: u32,
        cut_off: bool,
        findings: &'a Option<Findings>,
    ) -> Self {
        Self {
            link_class: LinkClass(link_class),
            centre: DataCentreHash(centre),
            cut_off,
            findings: findings.as_ref(),
        }
    }
}

impl Message {
    /// The fields about the sender; news of losses have none.
    pub const fn sender(&self) -> Option<Sender<'_>> {
        Some(match self {
            Self::Report(message) => Sender::new(
                message.link_class,
                message.centre,
                message.cut_off,
                &message.findings,
            ),
            Self::Summary(message) => Sender::new(
                message.link_class,
                message.centre,
                message.cut_off,
                &message.findings,
            ),
            Self::Subtotal(message) => Sender::new(
                message.link_class,
                message.centre,
                message.cut_off,
                &message.findings,
            ),
            Self::Losses(_) => return None,
        })
    }

    /// Encodes the message as a datagram.
    pub fn encode(self) -> Bytes {
        let content = match self {
            Self::Report(report) => Content::Report(report),
            Self::Summary(summary) => Content::Summary(summary),
            Self::Subtotal(subtotal) => Content::Subtotal(subtotal),
            Self::Losses(losses) => Content::Losses(losses),
        };
        let content = Some(content);
        Datagram { content }.encode_to_vec().into()
    }

    /// Decodes a datagram; `None` for a kind of message that only newer daemons know.
    ///
    /// # Errors
    ///
    /// If the bytes aren't a datagram of the exchange.
    pub fn decode(bytes: &[u8]) -> Result<Option<Self>> {
        let datagram = Datagram::decode(bytes)?;
        Ok(datagram.content.map(|content| match content {
            Content::Report(report) => Self::Report(report),
            Content::Summary(summary) => Self::Summary(summary),
            Content::Subtotal(subtotal) => Self::Subtotal(subtotal),
            Content::Losses(losses) => Self::Losses(losses),
        }))
    }
}
