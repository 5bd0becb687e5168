//! An engine's prefix cache: bounded, least recently used first out.

use std::collections::{HashMap, VecDeque};

#[derive(Clone, Copy)]
struct Held {
    tokens: u32,
    /// What of them is stored with the shared prefix.
    shared: u32,
    used: u64,
    stamp: u32,
}

struct Use {
    chat: u64,
    stamp: u32,
}

/// Prefixes by chat. A shared prefix is stored once for each of its users' lengths.
pub(super) struct Cache {
    capacity: u64,
    used: u64,
    held: HashMap<u64, Held>,
    order: VecDeque<Use>,
    /// Age in milliseconds of what was evicted last.
    pub(super) eviction_age: Option<u64>,
    /// Chats evicted since they were taken last.
    pub(super) evicted: Vec<u64>,
}

/// Key of the prefix that an institution's chats or a hot chat's callers share.
pub(super) const fn shared_key(institution: u16, length: u32) -> u64 {
    (institution as u64) << 32 | length as u64
}

impl Cache {
    pub(super) fn new(capacity: u64) -> Self {
        Self {
            capacity,
            used: 0,
            held: HashMap::new(),
            order: VecDeque::new(),
            eviction_age: None,
            evicted: Vec::new(),
        }
    }

    /// Tokens of a prompt that are cached.
    pub(super) fn cached(&self, chat: u64, shared_key: u64, shared: u32, prompt: u32) -> u32 {
        let own = self.held.get(&chat).map_or(0, |held| held.tokens);
        let common = self.held.get(&shared_key).map_or(0, |held| held.tokens);
        own.max(common.min(shared)).min(prompt)
    }

    /// Stores a prefix, of which `shared` tokens are stored elsewhere, and makes it the most recent.
    pub(super) fn store(&mut self, chat: u64, tokens: u32, shared: u32, now: u64) {
        let old = self.held.get(&chat).copied();
        let stamp = old.map_or(0, |old| old.stamp.wrapping_add(1));
        self.used -= old.map_or(0, |old| u64::from(old.tokens - old.shared));
        self.used += u64::from(tokens - shared);
        let held = Held {
            tokens,
            shared,
            used: now,
            stamp,
        };
        self.held.insert(chat, held);
        self.order.push_back(Use { chat, stamp });
        while self.used > self.capacity {
            self.evict(now);
        }
    }

    fn evict(&mut self, now: u64) {
        let Some(oldest) = self.order.pop_front() else {
            return;
        };
        let current = self.held.get(&oldest.chat);
        let Some(held) = current.filter(|held| held.stamp == oldest.stamp) else {
            return;
        };
        self.used -= u64::from(held.tokens - held.shared);
        self.eviction_age = Some(now - held.used);
        self.held.remove(&oldest.chat);
        self.evicted.push(oldest.chat);
    }
}
