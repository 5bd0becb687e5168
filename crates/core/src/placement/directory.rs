//! The chat directory: a bounded LRU table of the endpoints that served each chat last.
//!
//! Entries lie in one slab, linked from the most to the least recently used, so that the table's
//! memory is bounded by its capacity; a full table evicts the least recent entry. Each endpoint
//! name is kept once; places hold its index.

mod table;

use derive_more::Debug;

use self::table::Table;
use crate::clock::Millis;
use crate::ids::{ChatHash, EndpointId};
use crate::units::Tokens;

/// Number of places remembered for each chat.
pub const MAX_PLACES: usize = 2;

/// Resolution of the times in the directory, in milliseconds.
const TIME_STEP: u64 = 100;

/// The last cache event of an endpoint for a prefix. Events come late, and some are missing.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub enum CacheHint {
    /// The prefix was stored.
    Stored,
    /// The prefix was evicted.
    Evicted,
}

/// An endpoint that served a chat.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub struct Place {
    /// The endpoint's name.
    pub endpoint: EndpointId,
    /// Length of the prefix that it cached, which may have been evicted since.
    pub prefix: Tokens,
    /// When the endpoint served the chat last.
    pub served: Millis,
    /// The last cache event, if one was received after `served`.
    pub hint: Option<CacheHint>,
}

/// A chat with its places, as sent to the next directory daemon in a handover.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub struct ChatPlaces {
    /// Hash of the institution and the chat's name.
    pub chat: ChatHash,
    /// Its places, most recent first.
    pub places: Vec<Place>,
}

/// A [`Place`] in 12 bytes.
#[derive(Clone, Copy, PartialEq, Eq, Default)]
struct PackedPlace {
    /// Index of the endpoint's name plus one, zero if unused; the top two bits hold the hint.
    endpoint: u32,
    prefix: u32,
    served: u32,
}

const HINT_SHIFT: u32 = 30;
const INDEX_MASK: u32 = (1 << HINT_SHIFT) - 1;

impl PackedPlace {
    const EMPTY: Self = Self {
        endpoint: 0,
        prefix: 0,
        served: 0,
    };

    fn new(index: usize, place: &Place) -> Self {
        let hint = match place.hint {
            None => 0,
            Some(CacheHint::Stored) => 1,
            Some(CacheHint::Evicted) => 2,
        };
        let index = u32::try_from(index + 1).unwrap_or(INDEX_MASK) & INDEX_MASK;
        Self {
            endpoint: index | hint << HINT_SHIFT,
            prefix: u32::try_from(place.prefix.0).unwrap_or(u32::MAX),
            served: u32::try_from(place.served.0 / TIME_STEP).unwrap_or(u32::MAX),
        }
    }

    fn index(self) -> Option<usize> {
        (self.endpoint & INDEX_MASK)
            .checked_sub(1)
            .map(|n| n as usize)
    }

    fn hint(self) -> Option<CacheHint> {
        match self.endpoint >> HINT_SHIFT {
            1 => Some(CacheHint::Stored),
            2 => Some(CacheHint::Evicted),
            _ => None,
        }
    }
}

/// The chats of one directory daemon.
#[derive(Debug)]
pub struct Directory {
    #[debug(skip)]
    table: Table,
    names: Vec<EndpointId>,
}

impl Directory {
    /// An empty directory of at most `capacity` chats.
    pub fn new(capacity: usize) -> Self {
        Self {
            table: Table::new(capacity),
            names: Vec::new(),
        }
    }

    /// Number of chats in the directory.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Whether the directory holds no chat.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Memory held by the table, in bytes, without the endpoints' names.
    pub fn state_bytes(&self) -> usize {
        self.table.state_bytes()
    }

    /// A chat's places, most recent first; empty if the directory does not hold the chat.
    pub fn places(&self, chat: ChatHash) -> Vec<Place> {
        let packed = self.table.get(chat).unwrap_or_default();
        packed
            .iter()
            .filter_map(|packed| self.unpack(*packed))
            .collect()
    }

    /// Records that an endpoint serves a chat, and makes the chat the most recently used.
    pub fn record(&mut self, chat: ChatHash, place: &Place) {
        let index = self.intern(&place.endpoint);
        let new = PackedPlace::new(index, place);
        let old = self.table.get(chat).unwrap_or_default();
        let other = |packed: &PackedPlace| packed.index() != Some(index);
        let kept = old.into_iter().filter(other);
        let mut packed = [PackedPlace::EMPTY; MAX_PLACES];
        for (slot, value) in packed.iter_mut().zip([new].into_iter().chain(kept)) {
            *slot = value;
        }
        self.table.put(chat, packed);
    }

    /// Records a cache event for a chat's prefix at an endpoint.
    pub fn record_cache_event(&mut self, chat: ChatHash, endpoint: &EndpointId, hint: CacheHint) {
        self.change(chat, endpoint, |place| {
            Some(Place {
                hint: Some(hint),
                ..place
            })
        });
    }

    /// Removes one place of a chat, as when the endpoint had nothing cached.
    pub fn remove_place(&mut self, chat: ChatHash, endpoint: &EndpointId) {
        self.change(chat, endpoint, |_| None);
    }

    /// Removes all places at an endpoint that was removed.
    pub fn remove_endpoint(&mut self, endpoint: &EndpointId) {
        let Some(index) = self.names.iter().position(|name| name == endpoint) else {
            return;
        };
        self.table.for_each(|packed| {
            for place in packed.iter_mut() {
                if place.index() == Some(index) {
                    *place = PackedPlace::EMPTY;
                }
            }
            packed.sort_by_key(|place| place.index().is_none());
        });
    }

    /// All chats, most recently used first, for the plan of a handover.
    pub fn recent(&self) -> Vec<ChatHash> {
        self.table.recent()
    }

    /// Removes the next chats of a handover plan from the directory and returns them, at most
    /// `limit`.
    ///
    /// Chats that have left the directory since are skipped. The handover is complete when the plan
    /// is empty.
    pub fn export(
        &mut self,
        plan: &mut std::collections::VecDeque<ChatHash>,
        limit: usize,
    ) -> Vec<ChatPlaces> {
        let mut batch = Vec::new();
        while batch.len() < limit
            && let Some(chat) = plan.pop_front()
        {
            let places = self.places(chat);
            self.table.remove(chat);
            if !places.is_empty() {
                batch.push(ChatPlaces { chat, places });
            }
        }
        batch
    }

    /// Adds chats that were handed over; each keeps its most recent places.
    pub fn import(&mut self, batch: Vec<ChatPlaces>) {
        for moved in batch {
            let mut places = self.places(moved.chat);
            for place in moved.places {
                merge_place(&mut places, place);
            }
            places.sort_by_key(|place| std::cmp::Reverse(place.served));
            places.truncate(MAX_PLACES);
            for place in places.iter().rev() {
                self.record(moved.chat, place);
            }
        }
    }

    fn change(
        &mut self,
        chat: ChatHash,
        endpoint: &EndpointId,
        change: impl Fn(Place) -> Option<Place>,
    ) {
        let Some(old) = self.table.get(chat) else {
            return;
        };
        let mut kept = [PackedPlace::EMPTY; MAX_PLACES];
        let mut free = kept.iter_mut();
        for packed in old {
            let Some(place) = self.unpack(packed) else {
                continue;
            };
            let matches = place.endpoint == *endpoint;
            let place = if matches { change(place) } else { Some(place) };
            if let (Some(place), Some(index), Some(slot)) = (place, packed.index(), free.next()) {
                *slot = PackedPlace::new(index, &place);
            }
        }
        self.table.set(chat, kept);
    }

    fn unpack(&self, packed: PackedPlace) -> Option<Place> {
        Some(Place {
            endpoint: self.names.get(packed.index()?)?.clone(),
            prefix: Tokens(packed.prefix.into()),
            served: Millis(u64::from(packed.served) * TIME_STEP),
            hint: packed.hint(),
        })
    }

    fn intern(&mut self, endpoint: &EndpointId) -> usize {
        let known = self.names.iter().position(|name| name == endpoint);
        known.unwrap_or_else(|| {
            self.names.push(endpoint.clone());
            self.names.len() - 1
        })
    }
}

fn merge_place(places: &mut Vec<Place>, new: Place) {
    match places.iter_mut().find(|old| old.endpoint == new.endpoint) {
        Some(old) if old.served < new.served => *old = new,
        Some(_) => {}
        None => places.push(new),
    }
}
