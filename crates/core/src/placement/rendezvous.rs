//! Weighted rendezvous hashing.
//!
//! A node's score for a key does not depend on the other nodes, so a node that joins or leaves
//! moves only the keys that it gains or had.

use std::cmp::Ordering;

use derive_more::Debug;
use xxhash_rust::xxh3::{Xxh3, xxh3_64, xxh3_64_with_seed};

use crate::ids::{ChatHash, InstitutionId};

/// Bits of a hash that are used for a score: the precision of an `f64`.
const FRACTION_BITS: u32 = 53;

/// Separates a name from what follows it; no name contains this byte.
const SEPARATOR: &[u8] = &[0];

/// Hashes an institution and the name of its chat.
pub fn chat_hash(institution: &InstitutionId, chat: &[u8]) -> ChatHash {
    let mut hash = Xxh3::new();
    hash.update(institution.as_str().as_bytes());
    hash.update(SEPARATOR);
    hash.update(chat);
    ChatHash(hash.digest())
}

/// Hashes a name to a key or a node's seed.
pub fn key_of(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// One candidate for keys.
#[derive(Clone, PartialEq)]
#[derive(Debug)]
pub struct Node<I> {
    /// Identifies the node, and breaks ties between equal scores.
    pub id: I,
    /// Share of keys, relative to the weights of the other nodes.
    pub weight: f64,
    seed: u64,
}

impl<I> Node<I> {
    /// A node of weight 1 whose scores are derived from its name.
    pub fn new(id: I, name: &str) -> Self {
        Self {
            id,
            weight: 1.0,
            seed: key_of(name),
        }
    }

    /// Returns the node with another weight.
    pub fn with_weight(self, weight: f64) -> Self {
        Self { weight, ..self }
    }

    /// The node's rank for a key among nodes of weight 1; the highest wins, in the same order as by
    /// score.
    pub fn rank(&self, key: u64) -> u64 {
        fraction(key, self.seed)
    }

    /// The node's score for a key; the highest wins.
    pub fn score(&self, key: u64) -> f64 {
        score(key, self.seed, self.weight)
    }
}

/// Score of a node with this seed for a key, above zero.
pub(super) fn score(key: u64, seed: u64, weight: f64) -> f64 {
    let scale = (1u64 << FRACTION_BITS) as f64;
    let fraction = (fraction(key, seed) as f64 + 0.5) / scale;
    -weight / fraction.ln()
}

/// Pseudo-random number of a seed and a key, of [`FRACTION_BITS`] bits.
fn fraction(key: u64, seed: u64) -> u64 {
    let hash = xxh3_64_with_seed(&key.to_le_bytes(), seed);
    hash >> (u64::BITS - FRACTION_BITS)
}

/// Nodes among which keys are distributed.
#[derive(Clone, PartialEq)]
#[derive(Debug)]
pub struct Group<I> {
    nodes: Vec<Node<I>>,
}

impl<I> Default for Group<I> {
    fn default() -> Self {
        Self { nodes: Vec::new() }
    }
}

impl<I: Ord> Group<I> {
    /// A group of the given nodes.
    pub fn new(nodes: Vec<Node<I>>) -> Self {
        Self { nodes }
    }

    /// Adds a node.
    pub fn push(&mut self, node: Node<I>) {
        self.nodes.push(node);
    }

    /// The number of nodes.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether the group has no nodes.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// The node with the highest score for a key.
    pub fn first(&self, key: u64) -> Option<&I> {
        let scored = |node| Scored::new(node, key);
        let best = self.nodes.iter().map(scored).max_by(Scored::order);
        best.map(|best| &best.node.id)
    }

    /// The `count` nodes with the highest scores for a key, best first.
    pub fn top(&self, key: u64, count: usize) -> Vec<&I> {
        let scored = |node| Scored::new(node, key);
        let mut all: Vec<_> = self.nodes.iter().map(scored).collect();
        all.sort_unstable_by(|a, b| b.order(a));
        let ids = all.into_iter().map(|scored| &scored.node.id);
        ids.take(count).collect()
    }

    /// All nodes for a key, best first.
    pub fn rank(&self, key: u64) -> Vec<&I> {
        self.top(key, self.nodes.len())
    }
}

struct Scored<'a, I> {
    score: f64,
    node: &'a Node<I>,
}

impl<'a, I: Ord> Scored<'a, I> {
    fn new(node: &'a Node<I>, key: u64) -> Self {
        let score = node.score(key);
        Self { score, node }
    }

    /// Orders by score, then by identifier, so that all daemons agree on ties.
    fn order(&self, other: &Self) -> Ordering {
        let by_score = self.score.total_cmp(&other.score);
        by_score.then_with(|| self.node.id.cmp(&other.node.id))
    }
}
