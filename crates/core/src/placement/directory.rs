//! The chat directory: where each chat was served last, in a bounded table.
//!
//! Entries lie in one slab, linked from the most to the least recently used, so that the table's memory is fixed by its
//! capacity and the least recent entry gives way. Endpoint names are kept once and places hold their number.

mod table;

use derive_more::Debug;

use self::table::Table;
use crate::clock::Millis;
use crate::ids::{ChatHash, EndpointId};
use crate::units::Tokens;

/// Places remembered for a chat.
pub const MAX_PLACES: usize = 2;

/// Length of the directory's time step; places are remembered no finer.
const STEP: u64 = 100;

/// What the endpoint's cache events said last of a prefix; late, and with gaps.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub enum CacheHint {
    /// It was stored.
    Stored,
    /// It was evicted.
    Evicted,
}

/// An endpoint that served a chat.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub struct Place {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Length of the prefix it has cached, unless evicted since.
    pub prefix: Tokens,
    /// When it served the chat last.
    pub served: Millis,
    /// The last cache event, if one was heard after `served`.
    pub hint: Option<CacheHint>,
}

/// A chat with its places, most recent first; travels in hand-overs.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub struct ChatPlaces {
    /// The chat.
    pub chat: ChatHash,
    /// Its places.
    pub places: Vec<Place>,
}

#[derive(Clone, Copy, PartialEq, Eq, Default)]
struct Packed {
    /// Number of the endpoint plus one, zero if unused; the top two bits hold the hint.
    endpoint: u32,
    prefix: u32,
    served: u32,
}

const HINT_SHIFT: u32 = 30;
const NUMBER_MASK: u32 = (1 << HINT_SHIFT) - 1;

impl Packed {
    const EMPTY: Self = Self {
        endpoint: 0,
        prefix: 0,
        served: 0,
    };

    fn new(number: usize, place: &Place) -> Self {
        let hint = match place.hint {
            None => 0,
            Some(CacheHint::Stored) => 1,
            Some(CacheHint::Evicted) => 2,
        };
        let number = u32::try_from(number + 1).unwrap_or(NUMBER_MASK) & NUMBER_MASK;
        Self {
            endpoint: number | hint << HINT_SHIFT,
            prefix: u32::try_from(place.prefix.0).unwrap_or(u32::MAX),
            served: u32::try_from(place.served.0 / STEP).unwrap_or(u32::MAX),
        }
    }

    fn number(self) -> Option<usize> {
        (self.endpoint & NUMBER_MASK)
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

/// The table of one directory daemon.
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

    /// Chats held.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Whether no chat is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Memory held by the table, in bytes, without the endpoints' names.
    pub fn state_bytes(&self) -> usize {
        self.table.state_bytes()
    }

    /// A chat's places, most recent first; empty if the chat is not known.
    pub fn places(&self, chat: ChatHash) -> Vec<Place> {
        let packed = self.table.get(chat).unwrap_or_default();
        packed
            .iter()
            .filter_map(|packed| self.unpack(*packed))
            .collect()
    }

    /// Records that an endpoint serves a chat, which makes the chat the most recent.
    pub fn record(&mut self, chat: ChatHash, place: &Place) {
        let number = self.number(&place.endpoint);
        let new = Packed::new(number, place);
        let old = self.table.get(chat).unwrap_or_default();
        let other = |packed: &Packed| packed.number() != Some(number);
        let kept = old.into_iter().filter(other);
        let mut packed = [Packed::EMPTY; MAX_PLACES];
        for (slot, value) in packed.iter_mut().zip([new].into_iter().chain(kept)) {
            *slot = value;
        }
        self.table.put(chat, packed);
    }

    /// Notes a cache event for a chat's prefix at an endpoint.
    pub fn record_cache_event(&mut self, chat: ChatHash, endpoint: &EndpointId, hint: CacheHint) {
        self.change(chat, endpoint, |place| {
            Some(Place {
                hint: Some(hint),
                ..place
            })
        });
    }

    /// Forgets one place of a chat, as when the endpoint found nothing cached.
    pub fn remove_place(&mut self, chat: ChatHash, endpoint: &EndpointId) {
        self.change(chat, endpoint, |_| None);
    }

    /// Forgets all places at an endpoint that is gone.
    pub fn remove_endpoint(&mut self, endpoint: &EndpointId) {
        let Some(number) = self.names.iter().position(|name| name == endpoint) else {
            return;
        };
        self.table.for_each(|packed| {
            for place in packed.iter_mut() {
                if place.number() == Some(number) {
                    *place = Packed::EMPTY;
                }
            }
            packed.sort_by_key(|place| place.number().is_none());
        });
    }

    /// All chats, most recent first: the plan of a hand-over.
    pub fn recent(&self) -> Vec<ChatHash> {
        self.table.recent()
    }

    /// Takes the next chats of a plan out of the table, at most `limit`.
    ///
    /// Chats that have gone since are skipped. The hand-over is over when the plan is empty.
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

    /// Takes in chats handed over; what is known here and more recent stays.
    pub fn import(&mut self, batch: Vec<ChatPlaces>) {
        for moved in batch {
            let mut places = self.places(moved.chat);
            for place in moved.places {
                merge(&mut places, place);
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
        let mut kept = [Packed::EMPTY; MAX_PLACES];
        let mut free = kept.iter_mut();
        for packed in old {
            let Some(place) = self.unpack(packed) else {
                continue;
            };
            let hit = place.endpoint == *endpoint;
            let place = if hit { change(place) } else { Some(place) };
            if let (Some(place), Some(number), Some(slot)) = (place, packed.number(), free.next()) {
                *slot = Packed::new(number, &place);
            }
        }
        self.table.set(chat, kept);
    }

    fn unpack(&self, packed: Packed) -> Option<Place> {
        Some(Place {
            endpoint: self.names.get(packed.number()?)?.clone(),
            prefix: Tokens(packed.prefix.into()),
            served: Millis(u64::from(packed.served) * STEP),
            hint: packed.hint(),
        })
    }

    fn number(&mut self, endpoint: &EndpointId) -> usize {
        let known = self.names.iter().position(|name| name == endpoint);
        known.unwrap_or_else(|| {
            self.names.push(endpoint.clone());
            self.names.len() - 1
        })
    }
}

fn merge(places: &mut Vec<Place>, new: Place) {
    match places.iter_mut().find(|old| old.endpoint == new.endpoint) {
        Some(old) if old.served < new.served => *old = new,
        Some(_) => {}
        None => places.push(new),
    }
}
