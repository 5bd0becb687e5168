//! Datagrams of the exchange, coded by `prost`.

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use bytes::Bytes;
use prost::{DecodeError, Message as _, Oneof};

use super::{Heard, Others, Strength};
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
    /// Requests with shared prefixes that were sent since the last report.
    #[prost(message, repeated, tag = "3")]
    pub sent: Vec<Sent>,
    /// How strong the daemon's VM is.
    #[prost(uint32, tag = "4")]
    pub strength: u32,
    /// Prefixes that went elsewhere than rank and age say, since the last report.
    #[prost(message, repeated, tag = "5")]
    pub moved: Vec<Moved>,
}

/// Requests with one shared prefix.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct Sent {
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
pub struct Moved {
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
    /// How strong its VM is.
    #[prost(uint32, tag = "5")]
    pub strength: u32,
}

/// What daemons have at endpoints together.
#[derive(Clone, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct Summary {
    /// Endpoints with requests in flight or outcomes.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<Entry>,
    /// Daemons that live, in a large fleet the first in rank; not in every summary.
    #[prost(message, repeated, tag = "2")]
    pub peers: Vec<Peer>,
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
    pub strength: u32,
    /// Prefixes that went elsewhere than rank and age say.
    #[prost(message, repeated, tag = "7")]
    pub moved: Vec<Moved>,
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
            strength: 0,
        })
    }

    /// Sets how strong its VM is.
    pub const fn with_strength(self, strength: Strength) -> Self {
        Self {
            strength: strength.0,
            ..self
        }
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
    /// Forgets what is told once.
    pub fn clear_outcomes(&mut self) {
        self.sent.clear();
        self.moved.clear();
        for entry in &mut self.entries {
            entry.good = 0;
            entry.bad = 0;
        }
    }

    /// Adds what an earlier report told once.
    pub fn keep_outcomes(&mut self, earlier: &Self) {
        self.sent.extend_from_slice(&earlier.sent);
        self.moved.extend_from_slice(&earlier.moved);
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

/// Reports added up, by endpoint.
#[derive(Clone, PartialEq, Default)]
#[derive(Debug)]
pub struct Totals(HashMap<u32, Entry>);

impl Totals {
    /// Adds a report.
    pub fn add(&mut self, report: &Report) {
        for entry in &report.entries {
            let sum = self.0.entry(entry.endpoint).or_default();
            sum.endpoint = entry.endpoint;
            sum.in_flight += entry.in_flight;
            sum.good += entry.good;
            sum.bad += entry.bad;
        }
    }

    /// The same less one of the reports that were added.
    pub fn without(&self, report: &Report) -> Summary {
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
        let entries = self.0.values().map(rest);
        let told = |entry: &Entry| entry.in_flight + entry.good + entry.bad > 0;
        Summary {
            entries: entries.filter(told).collect(),
            ..Summary::default()
        }
    }
}

impl Summary {
    /// The entries by endpoint, and hot prefixes.
    pub fn heard(&self) -> Heard {
        let share = |hot: &Hot| (hot.prefix, f64::from(hot.share) / Hot::WHOLE);
        Heard {
            endpoints: self.by_endpoint(),
            hot: self.hot.iter().map(share).collect(),
            moved: self.moved.clone(),
        }
    }

    fn by_endpoint(&self) -> HashMap<u32, Others> {
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
