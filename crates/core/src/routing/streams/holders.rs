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
/// Number of daemons that are asked besides, of those that only the platform lists: it lists daemons
/// for long after they ended, and some that this one hasn't heard of yet.
const ASKED_UNHEARD: usize = 2;

/// The other daemons, ranked for each stream by rendezvous hashing.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct Holders {
    /// Daemons that were heard of lately.
    heard: Vec<Node<SocketAddr>>,
    /// Others that the platform lists.
    unheard: Vec<Node<SocketAddr>>,
}

impl Holders {
    /// Ranks these daemons, all of which were heard of; the daemon itself isn't among them.
    pub fn new(heard: impl IntoIterator<Item = SocketAddr>) -> Self {
        let mut holders = Self::default();
        holders.set(heard, []);
        holders
    }

    /// Ranks other daemons, unless they are the same in the same order: those that were heard of
    /// lately, and those that the platform lists besides. Returns whether some are others.
    pub fn set(
        &mut self,
        heard: impl IntoIterator<Item = SocketAddr>,
        unheard: impl IntoIterator<Item = SocketAddr>,
    ) -> bool {
        set_nodes(&mut self.heard, heard) | set_nodes(&mut self.unheard, unheard)
    }

    /// Whether a daemon was heard of lately.
    pub fn is_heard(&self, daemon: &SocketAddr) -> bool {
        self.heard.iter().any(|node| node.id == *daemon)
    }

    /// The daemons to tell of a stream.
    pub fn told(&self, key: StreamKey) -> Vec<SocketAddr> {
        let mut told = first(&self.heard, key, TOLD);
        told.extend(first(&self.unheard, key, TOLD - told.len()));
        told
    }

    /// The daemons to ask for a stream.
    pub fn asked(&self, key: StreamKey) -> Vec<SocketAddr> {
        let mut asked = first(&self.heard, key, ASKED);
        let unheard = (ASKED - asked.len()).max(ASKED_UNHEARD);
        asked.extend(first(&self.unheard, key, unheard));
        asked
    }
}

fn set_nodes(
    nodes: &mut Vec<Node<SocketAddr>>,
    daemons: impl IntoIterator<Item = SocketAddr>,
) -> bool {
    let daemons: Vec<SocketAddr> = daemons.into_iter().collect();
    let known = nodes.iter().map(|node| &node.id);
    if known.eq(&daemons) {
        return false;
    }
    let node = |daemon: SocketAddr| Node::new(daemon, &daemon.to_string());
    *nodes = daemons.into_iter().map(node).collect();
    true
}

/// The first daemons in rank for a stream.
fn first(nodes: &[Node<SocketAddr>], key: StreamKey, count: usize) -> Vec<SocketAddr> {
    let mut first: Vec<(u64, SocketAddr)> = Vec::with_capacity(count + 1);
    for node in nodes {
        let rank = node.rank(key.0);
        let at = first.partition_point(|other| *other > (rank, node.id));
        if at < count {
            first.insert(at, (rank, node.id));
            first.truncate(count);
        }
    }
    first.into_iter().map(|(_, daemon)| daemon).collect()
}
