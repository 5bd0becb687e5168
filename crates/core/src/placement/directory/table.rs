//! The LRU table of the directory: an index into a slab of linked entries.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};

use super::{MAX_PLACES, PackedPlace};
use crate::ids::ChatHash;

/// The end of the list, in the links of entries.
const NO_ENTRY: u32 = u32::MAX;

/// The places of a chat that has none; its entry is removed.
const NO_PLACES: [PackedPlace; MAX_PLACES] = [PackedPlace::EMPTY; MAX_PLACES];

/// Returns a chat's hash unchanged, as it is uniformly distributed already.
#[derive(Default)]
pub(super) struct IdentityHasher(u64);

impl Hasher for IdentityHasher {
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
    places: [PackedPlace; MAX_PLACES],
    newer: u32,
    older: u32,
}

/// Chats by hash, linked in order of use.
pub(super) struct Table {
    index: HashMap<ChatHash, u32, BuildHasherDefault<IdentityHasher>>,
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
            newest: NO_ENTRY,
            oldest: NO_ENTRY,
            capacity: capacity.clamp(1, NO_ENTRY as usize - 1),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.index.len()
    }

    /// Allocated bytes. The standard map allocates 8 buckets for 7 entries; a bucket holds a pair
    /// and a control byte.
    pub(super) fn state_bytes(&self) -> usize {
        let buckets = (self.index.capacity() * 8).div_ceil(7);
        let pair = size_of::<(ChatHash, u32)>() + 1;
        let slab = self.slab.capacity() * size_of::<Entry>();
        buckets * pair + slab + self.free.capacity() * size_of::<u32>()
    }

    pub(super) fn get(&self, chat: ChatHash) -> Option<[PackedPlace; MAX_PLACES]> {
        let slot = *self.index.get(&chat)?;
        Some(self.slab[slot as usize].places)
    }

    /// Changes a chat's places without making it more recent; removes the chat if none are left.
    pub(super) fn set(&mut self, chat: ChatHash, places: [PackedPlace; MAX_PLACES]) {
        if places == NO_PLACES {
            self.remove(chat);
        } else if let Some(slot) = self.index.get(&chat) {
            self.slab[*slot as usize].places = places;
        }
    }

    /// Makes a chat the most recent; a full table evicts the least recent one.
    pub(super) fn put(&mut self, chat: ChatHash, places: [PackedPlace; MAX_PLACES]) {
        if let Some(slot) = self.index.get(&chat).copied() {
            self.slab[slot as usize].places = places;
            self.unlink(slot);
            self.link(slot);
            return;
        }
        if self.len() >= self.capacity {
            let oldest = self.slab[self.oldest as usize].chat;
            self.remove(oldest);
        }
        let entry = Entry {
            chat,
            places,
            newer: NO_ENTRY,
            older: NO_ENTRY,
        };
        let slot = self.allocate(entry);
        self.index.insert(chat, slot);
        self.link(slot);
    }

    pub(super) fn remove(&mut self, chat: ChatHash) {
        if let Some(slot) = self.index.remove(&chat) {
            self.unlink(slot);
            self.free.push(slot);
        }
    }

    pub(super) fn for_each(&mut self, change: impl Fn(&mut [PackedPlace; MAX_PLACES])) {
        let mut emptied = Vec::new();
        for slot in self.index.values() {
            let entry = &mut self.slab[*slot as usize];
            change(&mut entry.places);
            if entry.places == NO_PLACES {
                emptied.push(entry.chat);
            }
        }
        for chat in emptied {
            self.remove(chat);
        }
    }

    pub(super) fn recent(&self) -> Vec<ChatHash> {
        let mut chats = Vec::with_capacity(self.len());
        let mut slot = self.newest;
        while let Some(entry) = self.slab.get(slot as usize) {
            chats.push(entry.chat);
            slot = entry.older;
        }
        chats
    }

    fn allocate(&mut self, entry: Entry) -> u32 {
        if let Some(slot) = self.free.pop() {
            self.slab[slot as usize] = entry;
            return slot;
        }
        if self.slab.len() == self.slab.capacity() {
            let more = self.slab.len().max(64).min(self.capacity - self.slab.len());
            self.slab.reserve_exact(more);
        }
        self.slab.push(entry);
        self.slab.len() as u32 - 1
    }

    fn link(&mut self, slot: u32) {
        let older = self.newest;
        self.slab[slot as usize].newer = NO_ENTRY;
        self.slab[slot as usize].older = older;
        match self.slab.get_mut(older as usize) {
            Some(entry) => entry.newer = slot,
            None => self.oldest = slot,
        }
        self.newest = slot;
    }

    fn unlink(&mut self, slot: u32) {
        let Entry { newer, older, .. } = self.slab[slot as usize];
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
