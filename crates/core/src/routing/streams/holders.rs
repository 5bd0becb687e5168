//! The daemons that are told of a stream, and asked for it.

use std::net::SocketAddr;

use derive_more::Debug;

use super::StreamKey;
use crate::placement::Node;

/// Number of daemons that are told of each stream: with a third of a fleet killed at once, one in
/// thirty is forgotten.
const TOLD: usize = 3;
/// Number of daemons that are asked: one more, since the daemon that tells leaves itself out.
const ASKED: usize = TOLD + 1;

/// The other daemons, ranked for each stream by rendezvous hashing.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct Holders {
    daemons: Vec<Node<SocketAddr>>,
}

impl Holders {
    /// Ranks these daemons; the daemon itself isn't among them.
    pub fn new(daemons: impl IntoIterator<Item = SocketAddr>) -> Self {
        let mut holders = Self::default();
        holders.set(daemons);
        holders
    }

    /// Ranks other daemons, unless they are the same in the same order.
    pub fn set(&mut self, daemons: impl IntoIterator<Item = SocketAddr>) {
        let daemons: Vec<SocketAddr> = daemons.into_iter().collect();
        let known = self.daemons.iter().map(|node| &node.id);
        if known.eq(&daemons) {
            return;
        }
        let node = |daemon: SocketAddr| Node::new(daemon, &daemon.to_string());
        self.daemons = daemons.into_iter().map(node).collect();
    }

    /// Whether no other daemon is known.
    pub const fn is_empty(&self) -> bool {
        self.daemons.is_empty()
    }

    /// The daemons to tell of a stream.
    pub fn told(&self, key: StreamKey) -> Vec<SocketAddr> {
        self.first(key, TOLD)
    }

    /// The daemons to ask for a stream.
    pub fn asked(&self, key: StreamKey) -> Vec<SocketAddr> {
        self.first(key, ASKED)
    }

    fn first(&self, key: StreamKey, count: usize) -> Vec<SocketAddr> {
        let mut first: Vec<(u64, SocketAddr)> = Vec::with_capacity(count + 1);
        for node in &self.daemons {
            let rank = node.rank(key.0);
            let at = first.partition_point(|other| *other > (rank, node.id));
            if at < count {
                first.insert(at, (rank, node.id));
                first.truncate(count);
            }
        }
        first.into_iter().map(|(_, daemon)| daemon).collect()
    }
}
