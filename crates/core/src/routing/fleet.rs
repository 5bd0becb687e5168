//! The daemons among which a bound of the whole fleet is divided.
//!
//! Endpoints count what all daemons send together, in times too short for
//! daemons to ask each other. So each has a part of its own that it never
//! exceeds, and needs nobody's word to keep to it. Parts are reckoned from the
//! list of daemons that the platform keeps, never from those that are heard: a
//! daemon that hears fewer others has no larger part, and one that isn't on
//! the list has none. What an earlier process of the same daemon has used
//! isn't known, so whatever is filled with a part starts empty.
//!
//! Lists of different age deal some parts twice, at most those of the daemons
//! by which they differ.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

use derive_more::Debug;

use crate::clock::Millis;
use crate::placement::{Node, key_of};

/// Time without word of any other daemon after which this one counts as alone.
const ALONE: Millis = Millis(3000);

/// Silence after which a daemon is taken from the list.
const FORGOTTEN: Millis = Millis::from_secs(3600);

/// What one daemon knows of the list, and whether it hears others.
#[derive(Clone)]
#[derive(Debug)]
pub struct Fleet {
    started: Millis,
    /// Parts of the platform's list.
    parts: BTreeMap<String, Vec<SocketAddr>>,
    /// This daemon, if the platform lists it.
    me: Option<Node<SocketAddr>>,
    /// All daemons that the platform lists.
    listed: Vec<Node<SocketAddr>>,
    /// Since when no other daemon was heard of.
    silent: Option<Millis>,
    /// Whether it was told of no others and never heard of one.
    is_sole: bool,
}

impl Fleet {
    /// What a daemon that starts now knows: nothing.
    pub fn new(now: Millis) -> Self {
        Self {
            started: now,
            parts: BTreeMap::new(),
            me: None,
            listed: Vec::new(),
            silent: None,
            is_sole: false,
        }
    }

    /// Notes that this daemon is told of no others. Until it hears of one, or the platform lists
    /// some, it is the whole fleet.
    pub const fn set_single(&mut self) {
        self.is_sole = true;
    }

    /// Sets a part of the platform's list, of which `me` is this daemon.
    pub fn set_listed(&mut self, me: SocketAddr, part: &str, daemons: Vec<SocketAddr>) {
        self.parts.insert(part.to_owned(), daemons);
        // Several parts may name a daemon.
        let all: BTreeSet<SocketAddr> = self.parts.values().flatten().copied().collect();
        let node = |daemon: SocketAddr| Node::new(daemon, &daemon.to_string());
        self.listed = all.into_iter().map(node).collect();
        self.me = self.listed.iter().find(|node| node.id == me).cloned();
    }

    /// Notes how many daemons live, this one included.
    pub fn set_live(&mut self, live: usize, now: Millis) {
        match live {
            0 | 1 => _ = self.silent.get_or_insert(now),
            _ => {
                self.silent = None;
                self.is_sole = false;
            }
        }
    }

    /// Whether the platform lists a daemon.
    pub fn is_listed(&self, daemon: &SocketAddr) -> bool {
        self.listed.iter().any(|node| node.id == *daemon)
    }

    /// How many daemons the platform lists.
    pub const fn size(&self) -> usize {
        self.listed.len()
    }

    /// Time since this daemon's start.
    pub const fn age(&self, now: Millis) -> Millis {
        now.since(self.started)
    }

    /// Whether there are others and none was heard of for long, so that all they told may be out
    /// of date.
    pub fn is_isolated(&self, now: Millis) -> bool {
        let is_long = self.silent.is_some_and(|since| now.since(since) >= ALONE);
        is_long && self.listed.len() > 1
    }

    /// This daemon's part of a bound that all share equally.
    pub fn share(&self, bound: f64) -> f64 {
        match (&self.me, self.listed.len()) {
            (Some(_), daemons) => bound / daemons as f64,
            (None, 0) if self.is_sole => bound,
            (None, _) => 0.0,
        }
    }

    /// This daemon's part of a whole number of units; who has one more is drawn by the name of
    /// what the bound is for.
    pub fn unit_share(&self, name: &str, units: usize) -> usize {
        let Some(me) = &self.me else {
            return 0;
        };
        let key = key_of(name);
        let order = |node: &Node<SocketAddr>| (node.score(key).to_bits(), node.id);
        let own = order(me);
        let rank = self.listed.iter().filter(|node| order(node) > own).count();
        let daemons = self.listed.len();
        units / daemons + usize::from(rank < units % daemons)
    }
}

/// When daemons were last known to live, as one that writes the list knows.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct LastSeen(HashMap<SocketAddr, Millis>);

impl LastSeen {
    /// Notes daemons that live.
    pub fn mark_live(&mut self, daemons: &[SocketAddr], now: Millis) {
        self.0.extend(daemons.iter().map(|daemon| (*daemon, now)));
    }

    /// Whether a daemon that is listed stays so. One that wasn't seen yet counts as seen now: a
    /// process that is new to this task doesn't know who has lived.
    pub fn is_retained(&mut self, daemon: SocketAddr, now: Millis) -> bool {
        let seen = self.0.entry(daemon).or_insert(now);
        now.since(*seen) < FORGOTTEN
    }
}
