//! The directory's slab, index and order of use.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};

use super::{MAX_PLACES, Packed};
use crate::ids::ChatHash;

/// No entry.
const NONE: u32 = u32::MAX;

/// No places.
const UNUSED: [Packed; MAX_PLACES] = [Packed::EMPTY; MAX_PLACES];

/// Passes a chat's hash through, which is well mixed already.
#[derive(Default)]
pub(super) struct Through(u64);

impl Hasher for Through {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = self.0.rotate_left(8) ^ u64::from(*byte);
        }
    }

    fn write_u64(&mut self, value: u64) {
        self.0 = value;
    }
}

struct Entry {
    chat: ChatHash,
    places: [Packed; MAX_PLACES],
    newer: u32,
    older: u32,
}

/// Chats in order of use.
pub(super) struct Table {
    index: HashMap<ChatHash, u32, BuildHasherDefault<Through>>,
    slab: Vec<Entry>,
    free: Vec<u32>,
    newest: u32,
    oldest: u32,
    capacity: usize,
}

impl Table {
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            index: HashMap::default(),
            slab: Vec::new(),
            free: Vec::new(),
            newest: NONE,
            oldest: NONE,
            capacity: capacity.clamp(1, NONE as usize - 1),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.index.len()
    }

    /// Capacity in use, by the layout of the standard map: a pair and a control byte for 8 buckets in 7 filled.
    pub(super) fn state_bytes(&self) -> usize {
        let buckets = (self.index.capacity() * 8).div_ceil(7);
        let pair = size_of::<(ChatHash, u32)>() + 1;
        let slab = self.slab.capacity() * size_of::<Entry>();
        buckets * pair + slab + self.free.capacity() * size_of::<u32>()
    }

    pub(super) fn get(&self, chat: ChatHash) -> Option<[Packed; MAX_PLACES]> {
        let at = *self.index.get(&chat)?;
        Some(self.slab[at as usize].places)
    }

    /// Changes a chat's places without making it more recent; drops it if none are left.
    pub(super) fn set(&mut self, chat: ChatHash, places: [Packed; MAX_PLACES]) {
        if places == UNUSED {
            self.remove(chat);
        } else if let Some(at) = self.index.get(&chat) {
            self.slab[*at as usize].places = places;
        }
    }

    /// Puts a chat first; the least recent one gives way if the table is full.
    pub(super) fn put(&mut self, chat: ChatHash, places: [Packed; MAX_PLACES]) {
        if let Some(at) = self.index.get(&chat).copied() {
            self.slab[at as usize].places = places;
            self.unlink(at);
            self.link(at);
            return;
        }
        if self.len() >= self.capacity {
            let oldest = self.slab[self.oldest as usize].chat;
            self.remove(oldest);
        }
        let entry = Entry {
            chat,
            places,
            newer: NONE,
            older: NONE,
        };
        let at = self.store(entry);
        self.index.insert(chat, at);
        self.link(at);
    }

    pub(super) fn remove(&mut self, chat: ChatHash) {
        if let Some(at) = self.index.remove(&chat) {
            self.unlink(at);
            self.free.push(at);
        }
    }

    pub(super) fn for_each(&mut self, change: impl Fn(&mut [Packed; MAX_PLACES])) {
        let mut emptied = Vec::new();
        for at in self.index.values() {
            let entry = &mut self.slab[*at as usize];
            change(&mut entry.places);
            if entry.places == UNUSED {
                emptied.push(entry.chat);
            }
        }
        for chat in emptied {
            self.remove(chat);
        }
    }

    pub(super) fn recent(&self) -> Vec<ChatHash> {
        let mut chats = Vec::with_capacity(self.len());
        let mut at = self.newest;
        while let Some(entry) = self.slab.get(at as usize) {
            chats.push(entry.chat);
            at = entry.older;
        }
        chats
    }

    fn store(&mut self, entry: Entry) -> u32 {
        if let Some(at) = self.free.pop() {
            self.slab[at as usize] = entry;
            return at;
        }
        if self.slab.len() == self.slab.capacity() {
            let more = self.slab.len().max(64).min(self.capacity - self.slab.len());
            self.slab.reserve_exact(more);
        }
        self.slab.push(entry);
        self.slab.len() as u32 - 1
    }

    fn link(&mut self, at: u32) {
        let older = self.newest;
        self.slab[at as usize].newer = NONE;
        self.slab[at as usize].older = older;
        match self.slab.get_mut(older as usize) {
            Some(entry) => entry.newer = at,
            None => self.oldest = at,
        }
        self.newest = at;
    }

    fn unlink(&mut self, at: u32) {
        let Entry { newer, older, .. } = self.slab[at as usize];
        match self.slab.get_mut(newer as usize) {
            Some(entry) => entry.older = older,
            None => self.newest = older,
        }
        match self.slab.get_mut(older as usize) {
            Some(entry) => entry.newer = newer,
            None => self.oldest = newer,
        }
    }
}
