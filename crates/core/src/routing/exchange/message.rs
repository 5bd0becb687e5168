//! Datagrams of the exchange, coded by `prost`.

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use bytes::Bytes;
use prost::{DecodeError, Message as _, Oneof};

use super::Others;
use crate::clock::Millis;

/// Result of reading a datagram.
pub type Result<T> = std::result::Result<T, DecodeError>;

/// One endpoint in a report or a summary.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct Entry {
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

/// What one daemon has at endpoints.
#[derive(Clone, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct Report {
    /// Endpoints with requests in flight or outcomes.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<Entry>,
    /// Whether the daemon has lost the platform.
    #[prost(bool, tag = "2")]
    pub cut_off: bool,
}

/// A daemon that lives.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct Peer {
    /// Its IPv4 address.
    #[prost(fixed32, tag = "1")]
    pub ip: u32,
    /// Its port.
    #[prost(uint32, tag = "2")]
    pub port: u32,
    /// Milliseconds since it last showed life.
    #[prost(uint64, tag = "3")]
    pub silent: u64,
    /// Whether it has lost the platform.
    #[prost(bool, tag = "4")]
    pub cut_off: bool,
}

/// What daemons have at endpoints together.
#[derive(Clone, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct Summary {
    /// Endpoints with requests in flight or outcomes.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<Entry>,
    /// Daemons that live; not in every summary.
    #[prost(message, repeated, tag = "2")]
    pub peers: Vec<Peer>,
}

/// A datagram.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Message {
    /// From a daemon to a hub.
    Report(Report),
    /// From a hub to a daemon.
    Summary(Summary),
}

#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
struct Datagram {
    #[prost(oneof = "Content", tags = "1, 2")]
    content: Option<Content>,
}

#[derive(Clone, PartialEq)]
#[derive(Oneof)]
enum Content {
    #[prost(message, tag = "1")]
    Report(Report),
    #[prost(message, tag = "2")]
    Summary(Summary),
}

impl Message {
    /// The datagram.
    pub fn encode(self) -> Bytes {
        let content = match self {
            Self::Report(report) => Content::Report(report),
            Self::Summary(summary) => Content::Summary(summary),
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
        }))
    }
}

impl Peer {
    /// A daemon that showed life some time ago; none if it isn't reached by IPv4.
    pub fn new(address: SocketAddr, silent: Millis, cut_off: bool) -> Option<Self> {
        let IpAddr::V4(ip) = address.ip() else {
            return None;
        };
        Some(Self {
            ip: ip.into(),
            port: address.port().into(),
            silent: silent.0,
            cut_off,
        })
    }

    /// Where it is reached; none if the port is none.
    pub fn address(&self) -> Option<SocketAddr> {
        let port = u16::try_from(self.port).ok()?;
        Some((Ipv4Addr::from(self.ip), port).into())
    }

    /// Time since it last showed life.
    pub const fn age(&self) -> Millis {
        Millis(self.silent)
    }
}

impl Report {
    /// Forgets outcomes that were told.
    pub fn clear_outcomes(&mut self) {
        for entry in &mut self.entries {
            entry.good = 0;
            entry.bad = 0;
        }
    }

    /// Adds the outcomes of an earlier report.
    pub fn keep_outcomes(&mut self, earlier: &Self) {
        for old in &earlier.entries {
            if old.good == 0 && old.bad == 0 {
                continue;
            }
            let same = |entry: &&mut Entry| entry.endpoint == old.endpoint;
            match self.entries.iter_mut().find(same) {
                Some(entry) => {
                    entry.good += old.good;
                    entry.bad += old.bad;
                }
                None => self.entries.push(Entry {
                    in_flight: 0,
                    ..*old
                }),
            }
        }
    }
}

impl Summary {
    /// Adds a report.
    pub fn add(&mut self, report: &Report) {
        for entry in &report.entries {
            let same = |sum: &&mut Entry| sum.endpoint == entry.endpoint;
            match self.entries.iter_mut().find(same) {
                Some(sum) => {
                    sum.in_flight += entry.in_flight;
                    sum.good += entry.good;
                    sum.bad += entry.bad;
                }
                None => self.entries.push(*entry),
            }
        }
    }

    /// The same less one of the reports that were added.
    pub fn without(&self, report: &Report) -> Self {
        let own: HashMap<u32, &Entry> = report
            .entries
            .iter()
            .map(|entry| (entry.endpoint, entry))
            .collect();
        let rest = |sum: &Entry| {
            let Some(own) = own.get(&sum.endpoint) else {
                return *sum;
            };
            Entry {
                endpoint: sum.endpoint,
                in_flight: sum.in_flight.saturating_sub(own.in_flight),
                good: sum.good.saturating_sub(own.good),
                bad: sum.bad.saturating_sub(own.bad),
            }
        };
        let entries = self.entries.iter().map(rest);
        let told = |entry: &Entry| entry.in_flight + entry.good + entry.bad > 0;
        Self {
            entries: entries.filter(told).collect(),
            peers: Vec::new(),
        }
    }

    /// The entries by endpoint.
    pub fn by_endpoint(&self) -> HashMap<u32, Others> {
        let others = |entry: &Entry| Others {
            in_flight: entry.in_flight,
            good: entry.good,
            bad: entry.bad,
        };
        self.entries
            .iter()
            .map(|entry| (entry.endpoint, others(entry)))
            .collect()
    }
}
