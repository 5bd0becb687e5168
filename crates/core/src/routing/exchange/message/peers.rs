//! Live daemons in messages.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use derive_more::Debug;

use super::{DataCentreHash, LinkClass};
use crate::clock::Millis;

/// A live daemon.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub struct Peer {
    /// Its address.
    pub address: SocketAddr,
    /// Time since the last contact with it.
    pub age: Millis,
    /// Whether it has lost its connection to the platform.
    pub cut_off: bool,
    /// Link class of its VM.
    pub link_class: LinkClass,
    /// Its data centre.
    pub centre: DataCentreHash,
}

/// Live daemons; the entries at one index of all columns describe one daemon. A message for each
/// took twice the bytes.
#[derive(Clone, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct Peers {
    /// IPv4 addresses.
    #[prost(fixed32, repeated, tag = "1")]
    ips: Vec<u32>,
    /// Ports.
    #[prost(uint32, repeated, tag = "2")]
    ports: Vec<u32>,
    /// Times since the last contacts, in milliseconds.
    #[prost(uint32, repeated, tag = "3")]
    ages: Vec<u32>,
    /// Link classes of their VMs, doubled, plus one for daemons without a connection to
    /// the platform.
    #[prost(uint32, repeated, tag = "4")]
    states: Vec<u32>,
    /// Short forms of their data centres.
    #[prost(fixed32, repeated, tag = "5")]
    centres: Vec<u32>,
}

impl Peers {
    /// Encodes daemons; those without an IPv4 address are left out.
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

    /// Decodes the daemons.
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
