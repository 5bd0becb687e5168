//! Splits an event stream at event boundaries, without changing a byte.
//!
//! Only complete events are passed on, so that a stream that breaks off in the
//! middle of an event can resume at another endpoint: the partial event is
//! discarded, and the next endpoint starts after the last complete one.

use bytes::{Bytes, BytesMut};
use derive_more::Debug;

/// Longest event that is buffered, in bytes; a longer one is passed on in pieces.
const MAX_EVENT: usize = 1 << 20;

/// Buffers the partial event at the end of a stream.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct EventSplitter {
    #[debug("{} bytes", buffer.len())]
    buffer: BytesMut,
    /// Number of bytes at the start of `buffer` without an event boundary.
    scanned: usize,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// A splitter for a stream that starts after the event with this id.
    pub fn new(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Appends bytes and returns the events that are complete now.
    pub fn push(&mut self, bytes: &Bytes) -> Bytes {
        self.buffer.extend_from_slice(bytes);
        let mut end = 0;
        while let Some(next) = event_end(&self.buffer, self.scanned.max(end)) {
            let event = &self.buffer[end..next];
            self.last_id = event_id(event).or(self.last_id);
            end = next;
        }
        let complete = self.buffer.split_to(end).freeze();
        self.scanned = self.buffer.len().saturating_sub(3);
        if self.buffer.len() > MAX_EVENT {
            self.scanned = 0;
            return [complete, self.buffer.split().freeze()].concat().into();
        }
        complete
    }

    /// Id of the last complete event.
    pub const fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether a partial event is buffered.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Discards the partial event.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
        self.scanned = 0;
    }
}

/// End of the first event that ends after `from`; events end with an empty line.
fn event_end(bytes: &[u8], from: usize) -> Option<usize> {
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

/// The number in an event's `id:` line.
fn event_id(event: &[u8]) -> Option<u64> {
    let id = |line: &[u8]| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    };
    event.split(|byte| *byte == b'\n').find_map(id)
}
