//! Divides limits of the fleet among its daemons.
//!
//! Endpoints count the requests of all daemons together, over times too short
//! for daemons to coordinate. Each daemon therefore gets a share of the limit
//! and never exceeds it. Shares are computed from the list of daemons that the
//! platform stores, never from the daemons that are reachable: a daemon that
//! receives from fewer others doesn't get a larger share, and one that isn't
//! listed gets none. How much of its share an earlier process of the same
//! daemon has used isn't known, so buckets that are filled from a share start empty.
//!
//! Daemons with lists of different age may both use a share, at most those of
//! the daemons by which the lists differ.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

use derive_more::Debug;

use crate::clock::Millis;
use crate::placement::{Node, key_of};

/// Time without contact with any other daemon after which this one counts as isolated.
const ISOLATED_AFTER: Millis = Millis(3000);

/// Time without contact after which a daemon is removed from the list.
const EXPIRY: Millis = Millis::from_secs(3600);

/// The list of daemons as one of them knows it, and whether it has contact with others.
#[derive(Clone)]
#[derive(Debug)]
pub struct Fleet {
    started: Millis,
    /// The platform's list, which is split into named parts.
    parts: BTreeMap<String, Vec<SocketAddr>>,
    /// This daemon, if the platform lists it.
    me: Option<Node<SocketAddr>>,
    /// All daemons that the platform lists.
    listed: Vec<Node<SocketAddr>>,
    /// Since when there has been no contact with any other daemon.
    isolated_since: Option<Millis>,
    /// Whether the settings name no other daemons and none has been seen since.
    is_single: bool,
}

impl Fleet {
    /// The state of a daemon that starts now, with an empty list.
    pub fn new(now: Millis) -> Self {
        Self {
            started: now,
            parts: BTreeMap::new(),
            me: None,
            listed: Vec::new(),
            isolated_since: None,
            is_single: false,
        }
    }

    /// Marks this daemon as configured without others. It counts as the only one until it has
    /// contact with another or the platform lists some.
    pub const fn set_single(&mut self) {
        self.is_single = true;
    }

    /// Sets one part of the platform's list; `me` is the address of this daemon.
    pub fn set_listed(&mut self, me: SocketAddr, part: &str, daemons: Vec<SocketAddr>) {
        self.parts.insert(part.to_owned(), daemons);
        // A daemon may be in several parts.
        let all: BTreeSet<SocketAddr> = self.parts.values().flatten().copied().collect();
        let node = |daemon: SocketAddr| Node::new(daemon, &daemon.to_string());
        self.listed = all.into_iter().map(node).collect();
        self.me = self.listed.iter().find(|node| node.id == me).cloned();
    }

    /// Sets the number of live daemons, this one included.
    pub fn set_live(&mut self, live: usize, now: Millis) {
        match live {
            0 | 1 => _ = self.isolated_since.get_or_insert(now),
            _ => {
                self.isolated_since = None;
                self.is_single = false;
            }
        }
    }

    /// Whether the platform lists a daemon.
    pub fn is_listed(&self, daemon: &SocketAddr) -> bool {
        self.listed.iter().any(|node| node.id == *daemon)
    }

    /// The parts of the platform's list, by their names.
    pub fn parts(&self) -> impl Iterator<Item = (&str, &[SocketAddr])> {
        let parts = self.parts.iter();
        parts.map(|(name, daemons)| (name.as_str(), daemons.as_slice()))
    }

    /// Number of daemons that the platform lists.
    pub const fn size(&self) -> usize {
        self.listed.len()
    }

    /// Time since this daemon's start.
    pub const fn age(&self, now: Millis) -> Millis {
        now.since(self.started)
    }

    /// Whether other daemons are listed but there has been no contact with any of them for long, so
    /// that all they reported may be out of date.
    pub fn is_isolated(&self, now: Millis) -> bool {
        let is_long = self
            .isolated_since
            .is_some_and(|since| now.since(since) >= ISOLATED_AFTER);
        is_long && self.listed.len() > 1
    }

    /// This daemon's share of a limit that is divided equally.
    pub fn share(&self, limit: f64) -> f64 {
        match (&self.me, self.listed.len()) {
            (Some(_), daemons) => limit / daemons as f64,
            (None, 0) if self.is_single => limit,
            (None, _) => 0.0,
        }
    }

    /// This daemon's share of an integral number of units. Rendezvous hashing of `name`, which
    /// identifies the limited resource, decides which daemons get the remaining units.
    pub fn unit_share(&self, name: &str, units: usize) -> usize {
        let Some(rank) = self.rank(name).filter(|_| !self.listed.is_empty()) else {
            return self.share(units as f64) as usize;
        };
        let daemons = self.listed.len();
        units / daemons + usize::from(rank < units % daemons)
    }

    /// This daemon's rank among all for a name, from 0; `None` if the platform doesn't list it.
    pub fn rank(&self, name: &str) -> Option<usize> {
        let Some(me) = &self.me else {
            return (self.is_single && self.listed.is_empty()).then_some(0);
        };
        let key = key_of(name);
        let order = |node: &Node<SocketAddr>| (node.score(key).to_bits(), node.id);
        let own = order(me);
        Some(self.listed.iter().filter(|node| order(node) > own).count())
    }
}

/// When each daemon was last known to be live, as seen by a daemon that writes the list.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct LastSeen(HashMap<SocketAddr, Millis>);

impl LastSeen {
    /// Records daemons as live.
    pub fn mark_live(&mut self, daemons: &[SocketAddr], now: Millis) {
        self.0.extend(daemons.iter().map(|daemon| (*daemon, now)));
    }

    /// Whether a listed daemon stays on the list. One without a record counts as seen now: a
    /// process that has just taken over the list doesn't know which daemons were live.
    pub fn is_retained(&mut self, daemon: SocketAddr, now: Millis) -> bool {
        let seen = self.0.entry(daemon).or_insert(now);
        now.since(*seen) < EXPIRY
    }
}
