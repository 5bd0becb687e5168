//! The prefix cache: blocks of the prompts seen, the least recently used
//! evicted first.

use std::collections::{BTreeMap, HashMap};

use medlarrill_core::clock::Millis;
use serde::{Deserialize, Serialize};

use super::text::BLOCK_TOKENS;

/// How full the cache is.
#[derive(Clone, PartialEq, Eq, Default, Debug)]
#[derive(Serialize, Deserialize)]
pub struct CacheLoad {
    /// Blocks held.
    pub used: u64,
    /// Blocks that fit.
    pub capacity: u64,
    /// Time since its last use, in ms, of the block evicted last.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub eviction_age: Option<u64>,
}

/// A prefix that came into the cache or went out of it, named by its last block.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) struct Prefix {
    pub(super) hash: u64,
    pub(super) tokens: u64,
}

/// What a store changed.
#[derive(Default, Debug)]
pub(super) struct Stored {
    /// The longest new prefix, if any block was new.
    pub(super) added: Option<Prefix>,
    pub(super) evicted: Vec<Prefix>,
}

#[derive(Debug)]
struct Block {
    parent: Option<u64>,
    depth: usize,
    stamp: u64,
    used: Millis,
}

/// The blocks held, by their chained hash.
#[derive(Default, Debug)]
pub(super) struct Cache {
    capacity: usize,
    blocks: HashMap<u64, Block>,
    /// Hashes by the stamp of their last use.
    order: BTreeMap<u64, u64>,
    stamp: u64,
    eviction_age: Option<u64>,
}

impl Cache {
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            ..Self::default()
        }
    }

    /// The number of leading blocks of `chain` that are held.
    pub(super) fn matched(&self, chain: &[u64]) -> usize {
        let held = |hash: &&u64| self.blocks.contains_key(hash);
        chain.iter().take_while(held).count()
    }

    /// Stores `chain`, or marks it as used now.
    pub(super) fn store(&mut self, chain: &[u64], now: Millis) -> Stored {
        let mut stored = Stored::default();
        // The last block goes first, so that a prefix is never evicted before
        // what depends on it.
        for depth in (0..chain.len()).rev() {
            let new = self.touch(chain, depth, now);
            if new && stored.added.is_none() {
                stored.added = Some(prefix(chain[depth], depth));
            }
        }
        while self.blocks.len() > self.capacity {
            stored.evicted.extend(self.evict(now));
        }
        stored
    }

    /// The chain that ends with `hash`, if all of it is held.
    pub(super) fn chain(&self, hash: u64) -> Option<Vec<u64>> {
        let mut chain = Vec::new();
        let mut next = Some(hash);
        while let Some(hash) = next {
            chain.push(hash);
            next = self.blocks.get(&hash)?.parent;
        }
        chain.reverse();
        Some(chain)
    }

    /// Forgets all blocks.
    pub(super) fn clear(&mut self) {
        self.blocks.clear();
        self.order.clear();
    }

    pub(super) fn load(&self) -> CacheLoad {
        CacheLoad {
            used: self.blocks.len() as u64,
            capacity: self.capacity as u64,
            eviction_age: self.eviction_age,
        }
    }

    /// Marks one block as used; whether it is new.
    fn touch(&mut self, chain: &[u64], depth: usize, now: Millis) -> bool {
        self.stamp += 1;
        let hash = chain[depth];
        let block = Block {
            parent: depth.checked_sub(1).map(|before| chain[before]),
            depth,
            stamp: self.stamp,
            used: now,
        };
        let old = self.blocks.insert(hash, block);
        if let Some(old) = &old {
            self.order.remove(&old.stamp);
        }
        self.order.insert(self.stamp, hash);
        old.is_none()
    }

    fn evict(&mut self, now: Millis) -> Option<Prefix> {
        let (_, hash) = self.order.pop_first()?;
        let block = self.blocks.remove(&hash)?;
        self.eviction_age = Some(now.since(block.used).0);
        Some(prefix(hash, block.depth))
    }
}

/// The prefix that ends with the block at `depth`, counted from 0.
pub(super) const fn prefix(hash: u64, depth: usize) -> Prefix {
    let tokens = ((depth + 1) * BLOCK_TOKENS) as u64;
    Prefix { hash, tokens }
}
