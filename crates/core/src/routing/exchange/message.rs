//! Datagrams of the exchange, coded by `prost`.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use bytes::Bytes;
use prost::{DecodeError, Message as _, Oneof};

use super::LinkClass;
use super::board::{OutcomeCounts, Delta, Version};
use super::evidence::Findings;
use super::members::DataCentreHash;
use crate::clock::Millis;

/// Result of reading a datagram.
pub type Result<T> = std::result::Result<T, DecodeError>;

/// One endpoint in a report.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct ReportEntry {
    /// Short form of the endpoint's id.
    #[prost(fixed32, tag = "1")]
    pub endpoint: u32,
    /// Requests in flight.
    #[prost(uint32, tag = "2")]
    pub in_flight: u32,
    /// Good answers since the last report.
    #[prost(uint32, tag = "3")]
    pub good: u32,
    /// Failed attempts since the last report.
    #[prost(uint32, tag = "4")]
    pub bad: u32,
}

impl ReportEntry {
    /// Its answers since the last report.
    pub const fn answers(&self) -> OutcomeCounts {
        OutcomeCounts {
            good: self.good,
            bad: self.bad,
        }
    }
}

/// What one daemon has at endpoints.
#[derive(Clone, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct Report {
    /// Endpoints with requests in flight or outcomes.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<ReportEntry>,
    /// Whether the daemon has lost the platform.
    #[prost(bool, tag = "2")]
    pub cut_off: bool,
    /// Requests with shared prefixes that were sent since the last report.
    #[prost(message, repeated, tag = "3")]
    pub sent: Vec<PrefixCount>,
    /// How strong the daemon's VM is.
    #[prost(uint32, tag = "4")]
    pub link_class: u32,
    /// Prefixes that went elsewhere than rank and age say, since the last report.
    #[prost(message, repeated, tag = "5")]
    pub moved: Vec<PrefixMove>,
    /// Short form of the daemon's data centre.
    #[prost(fixed32, tag = "6")]
    pub centre: u32,
    /// What the daemon has reached of the hub's sums.
    #[prost(message, optional, tag = "7")]
    pub reached: Option<Version>,
    /// What is asked for.
    #[prost(enumeration = "Wish", tag = "8")]
    pub wish: i32,
    /// Evidence against requests.
    #[prost(message, optional, tag = "9")]
    pub findings: Option<Findings>,
    /// Digest of all evidence that the daemon holds.
    #[prost(fixed64, tag = "10")]
    pub digest: u64,
}

/// What a report asks its receiver for.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug, prost::Enumeration)]
pub enum Wish {
    /// A sign of life.
    Life = 0,
    /// The sums.
    Sums = 1,
    /// Who lives, once.
    Peers = 2,
}

/// Requests with one shared prefix.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct PrefixCount {
    /// Short form of the prefix's key.
    #[prost(fixed32, tag = "1")]
    pub prefix: u32,
    /// Requests.
    #[prost(uint32, tag = "2")]
    pub count: u32,
}

/// A shared prefix and an endpoint that was sent it.
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
pub struct Hot {
    /// Short form of the prefix's key.
    #[prost(fixed32, tag = "1")]
    pub prefix: u32,
    /// Its share of the requests with shared prefixes, in millionths.
    #[prost(uint32, tag = "2")]
    pub share: u32,
}

impl Hot {
    /// The share of all requests.
    pub const WHOLE: f64 = 1e6;
}

/// A daemon that lives.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub struct Peer {
    /// Where it is reached.
    pub address: SocketAddr,
    /// Time since it last showed life.
    pub age: Millis,
    /// Whether it has lost the platform.
    pub cut_off: bool,
    /// How strong its VM is.
    pub link_class: LinkClass,
    /// Its data centre.
    pub centre: DataCentreHash,
}

/// Daemons that live; one entry of each column makes a daemon. A message for each took twice the
/// bytes.
#[derive(Clone, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct Peers {
    /// IPv4 addresses.
    #[prost(fixed32, repeated, tag = "1")]
    ips: Vec<u32>,
    /// Ports.
    #[prost(uint32, repeated, tag = "2")]
    ports: Vec<u32>,
    /// Milliseconds since they last showed life.
    #[prost(uint32, repeated, tag = "3")]
    ages: Vec<u32>,
    /// How strong their VMs are, doubled, and one more for those that have lost the platform.
    #[prost(uint32, repeated, tag = "4")]
    states: Vec<u32>,
    /// Short forms of their data centres.
    #[prost(fixed32, repeated, tag = "5")]
    centres: Vec<u32>,
}

impl Peers {
    /// Daemons to tell of; those that aren't reached by IPv4 are left out.
    pub fn new(peers: &[Peer]) -> Self {
        let mut columns = Self::default();
        for peer in peers {
            let IpAddr::V4(ip) = peer.address.ip() else {
                continue;
            };
            columns.ips.push(ip.into());
            columns.ports.push(peer.address.port().into());
            let age = u32::try_from(peer.age.0).unwrap_or(u32::MAX);
            columns.ages.push(age);
            let state = peer.link_class.0.saturating_mul(2) | u32::from(peer.cut_off);
            columns.states.push(state);
            columns.centres.push(peer.centre.0);
        }
        columns
    }

    /// The daemons.
    pub fn all(&self) -> impl Iterator<Item = Peer> {
        let addresses = self.ips.iter().zip(&self.ports);
        let states = self.ages.iter().zip(&self.states);
        let rows = addresses.zip(states).zip(&self.centres);
        rows.filter_map(|(((ip, port), (age, state)), centre)| {
            let port = u16::try_from(*port).ok()?;
            Some(Peer {
                address: (Ipv4Addr::from(*ip), port).into(),
                age: Millis(u64::from(*age)),
                cut_off: state % 2 == 1,
                link_class: LinkClass(state / 2),
                centre: DataCentreHash(*centre),
            })
        })
    }
}

/// What daemons have at endpoints together.
#[derive(Clone, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct Summary {
    /// The sums, as far as they are news.
    #[prost(message, optional, tag = "1")]
    pub delta: Option<Delta>,
    /// Daemons that live; not in every summary.
    #[prost(message, optional, tag = "2")]
    pub peers: Option<Peers>,
    /// Shared prefixes that get much of the traffic.
    #[prost(message, repeated, tag = "3")]
    pub hot: Vec<Hot>,
    /// How many daemons it sums up.
    #[prost(uint32, tag = "4")]
    pub daemons: u32,
    /// How many daemons live.
    #[prost(uint32, tag = "5")]
    pub live: u32,
    /// How strong the hub's VM is.
    #[prost(uint32, tag = "6")]
    pub link_class: u32,
    /// Prefixes that went elsewhere than rank and age say.
    #[prost(message, repeated, tag = "7")]
    pub moved: Vec<PrefixMove>,
    /// Short form of the hub's data centre.
    #[prost(fixed32, tag = "8")]
    pub centre: u32,
    /// How many daemons report to the hub, itself included.
    #[prost(uint32, tag = "9")]
    pub gathered: u32,
    /// Whether the hub has lost the platform.
    #[prost(bool, tag = "10")]
    pub cut_off: bool,
    /// Evidence against requests.
    #[prost(message, optional, tag = "11")]
    pub findings: Option<Findings>,
    /// Digest of all evidence that the hub holds.
    #[prost(fixed64, tag = "12")]
    pub digest: u64,
}

/// Requests with shared prefixes in one data centre, the old ones fading.
#[derive(Clone, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct Prefixes {
    /// The prefixes that get most of them.
    #[prost(message, repeated, tag = "1")]
    pub most: Vec<PrefixCount>,
    /// All requests, also those of other prefixes.
    #[prost(uint32, tag = "2")]
    pub total: u32,
}

/// What the daemons of one data centre have at endpoints together, for hubs of the others.
#[derive(Clone, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct Subtotal {
    /// The sums, as far as they are news.
    #[prost(message, optional, tag = "1")]
    pub delta: Option<Delta>,
    /// Daemons that live; not in every subtotal.
    #[prost(message, optional, tag = "2")]
    pub peers: Option<Peers>,
    /// Shared prefixes; not in every subtotal.
    #[prost(message, optional, tag = "3")]
    pub prefixes: Option<Prefixes>,
    /// How many daemons it sums up.
    #[prost(uint32, tag = "4")]
    pub daemons: u32,
    /// How strong the hub's VM is.
    #[prost(uint32, tag = "5")]
    pub link_class: u32,
    /// Prefixes that went elsewhere than rank and age say.
    #[prost(message, repeated, tag = "6")]
    pub moved: Vec<PrefixMove>,
    /// Short form of the hub's data centre.
    #[prost(fixed32, tag = "7")]
    pub centre: u32,
    /// Whether the hub has lost the platform.
    #[prost(bool, tag = "8")]
    pub cut_off: bool,
    /// What the hub has reached of the receiver's sums.
    #[prost(message, optional, tag = "9")]
    pub reached: Option<Version>,
    /// Evidence against requests.
    #[prost(message, optional, tag = "10")]
    pub findings: Option<Findings>,
    /// Digest of all evidence that the hub holds.
    #[prost(fixed64, tag = "11")]
    pub digest: u64,
}

/// A datagram.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Message {
    /// From a daemon to a hub.
    Report(Report),
    /// From a hub to a daemon.
    Summary(Summary),
    /// From a hub to a hub of another data centre.
    Subtotal(Subtotal),
}

#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
struct Datagram {
    // Tags 1 and 2 were reports and summaries without versions.
    #[prost(oneof = "Content", tags = "3, 4, 5")]
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
}

/// What each message says of its sender.
#[derive(Clone, Copy)]
#[derive(Debug)]
pub struct Sender<'a> {
    /// How strong its VM is.
    pub link_class: LinkClass,
    /// Its data centre.
    pub centre: DataCentreHash,
    /// Whether it has lost the platform.
    pub cut_off: bool,
    /// Evidence against requests that it tells.
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
    /// What it says of its sender.
    pub const fn sender(&self) -> Sender<'_> {
        match self {
            Self::Report(told) => {
                Sender::new(told.link_class, told.centre, told.cut_off, &told.findings)
            }
            Self::Summary(told) => {
                Sender::new(told.link_class, told.centre, told.cut_off, &told.findings)
            }
            Self::Subtotal(told) => {
                Sender::new(told.link_class, told.centre, told.cut_off, &told.findings)
            }
        }
    }

    /// The datagram.
    pub fn encode(self) -> Bytes {
        let content = match self {
            Self::Report(report) => Content::Report(report),
            Self::Summary(summary) => Content::Summary(summary),
            Self::Subtotal(subtotal) => Content::Subtotal(subtotal),
        };
        let content = Some(content);
        Datagram { content }.encode_to_vec().into()
    }

    /// Reads a datagram; none if it carries what only newer daemons know.
    ///
    /// # Errors
    ///
    /// When it isn't a datagram of the exchange.
    pub fn decode(bytes: &[u8]) -> Result<Option<Self>> {
        let datagram = Datagram::decode(bytes)?;
        Ok(datagram.content.map(|content| match content {
            Content::Report(report) => Self::Report(report),
            Content::Summary(summary) => Self::Summary(summary),
            Content::Subtotal(subtotal) => Self::Subtotal(subtotal),
        }))
    }
}
