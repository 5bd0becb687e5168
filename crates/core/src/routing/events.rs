//! Splits a stream of events at event borders, without changing a byte.
//!
//! Only whole events are handed on, so that a stream that breaks off in the
//! middle of an event can go on elsewhere: the unfinished rest is dropped and
//! the next endpoint starts after the last whole event.

use bytes::{Bytes, BytesMut};
use derive_more::Debug;

/// Longest event that is held; a longer one is handed on in pieces.
const EVENT_MAX: usize = 1 << 20;

/// Holds the unfinished end of a stream.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct EventSplitter {
    #[debug("{} bytes", rest.len())]
    rest: BytesMut,
    /// Bytes at the start of `rest` that hold no border.
    seen: usize,
    last: Option<u64>,
}

impl EventSplitter {
    /// A splitter for a stream that goes on after an event.
    pub fn new(last: Option<u64>) -> Self {
        Self {
            last,
            ..Self::default()
        }
    }

    /// Takes bytes and returns the whole events that they complete.
    pub fn push(&mut self, bytes: &Bytes) -> Bytes {
        self.rest.extend_from_slice(bytes);
        let mut end = 0;
        while let Some(length) = border(&self.rest, self.seen.max(end)) {
            let event = &self.rest[end..length];
            self.last = event_id(event).or(self.last);
            end = length;
        }
        let whole = self.rest.split_to(end).freeze();
        self.seen = self.rest.len().saturating_sub(3);
        if self.rest.len() > EVENT_MAX {
            self.seen = 0;
            return [whole, self.rest.split().freeze()].concat().into();
        }
        whole
    }

    /// Id of the last whole event.
    pub const fn last_id(&self) -> Option<u64> {
        self.last
    }

    /// Whether an event is unfinished.
    pub fn has_partial(&self) -> bool {
        !self.rest.is_empty()
    }

    /// Drops an unfinished event.
    pub fn discard_partial(&mut self) {
        self.rest.clear();
        self.seen = 0;
    }
}

/// End of the first event that ends after `from`: an empty line.
fn border(bytes: &[u8], from: usize) -> Option<usize> {
    let mut at = from;
    while let Some(found) = bytes[at..].iter().position(|byte| *byte == b'\n') {
        let next = at + found + 1;
        match bytes.get(next..) {
            Some([b'\n', ..]) => return Some(next + 1),
            Some([b'\r', b'\n', ..]) => return Some(next + 2),
            _ => at = next,
        }
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    let id = |line: &[u8]| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    };
    event.split(|byte| *byte == b'\n').find_map(id)
}
