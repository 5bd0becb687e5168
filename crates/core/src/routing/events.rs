//! Splits an event stream at event boundaries, without changing a byte.
//!
//! Only complete events are passed on where a stream may resume at another
//! endpoint after it broke off in the middle of an event: the partial event is
//! discarded, and the next endpoint starts after the last complete one. Other
//! streams are only followed, to tell where they end.

mod tracker;

use bytes::{Bytes, BytesMut};
use derive_more::Debug;

use crate::body_end::StreamPosition;
use tracker::EventTracker;

/// Longest event that is buffered, in bytes; a longer one is passed on in pieces.
const MAX_EVENT: usize = 64 << 10;
/// Longest line of an event, in bytes; tokens have some hundreds.
const MAX_LINE: usize = 4 << 20;

/// Buffers the partial event at the end of a stream.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct EventSplitter {
    #[debug("{} bytes", buffer.len())]
    buffer: BytesMut,
    tracker: EventTracker,
    /// Whether a part of the current event was passed on.
    has_passed_part: bool,
}

impl EventSplitter {
    /// A splitter for a stream that starts after the event with this id.
    pub fn new(last_id: Option<u64>) -> Self {
        Self {
            tracker: EventTracker::new(last_id),
            ..Self::default()
        }
    }

    /// Appends bytes and returns the events that are complete now.
    pub fn push(&mut self, bytes: &Bytes) -> Bytes {
        let Some(end) = self.tracker.advance(bytes) else {
            self.buffer.extend_from_slice(bytes);
            return self.take_long_event();
        };
        self.has_passed_part = false;
        let (complete, rest) = (bytes.slice(..end), bytes.slice(end..));
        let complete = match self.buffer.is_empty() {
            true => complete,
            false => {
                self.buffer.extend_from_slice(&complete);
                self.buffer.split().freeze()
            }
        };
        self.buffer.extend_from_slice(&rest);
        match self.take_long_event() {
            part if part.is_empty() => complete,
            part => [complete, part].concat().into(),
        }
    }

    /// Follows bytes that are passed on as they are.
    pub fn follow(&mut self, bytes: &Bytes) {
        self.tracker.advance(bytes);
    }

    /// Takes the buffered part of an event that is too long to be buffered.
    fn take_long_event(&mut self) -> Bytes {
        if self.buffer.len() <= MAX_EVENT {
            return Bytes::new();
        }
        self.has_passed_part = true;
        self.buffer.split().freeze()
    }

    /// Whether a line is longer than any of an event.
    pub const fn is_endless(&self) -> bool {
        self.tracker.line_bytes() > MAX_LINE
    }

    /// Where the stream is.
    pub const fn position(&self) -> StreamPosition {
        self.tracker.position()
    }

    /// Id of the last complete event.
    pub const fn last_id(&self) -> Option<u64> {
        self.tracker.last_id()
    }

    /// Whether a partial event is buffered.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Whether a stream that goes on after the last id repeats nothing that was passed on: not
    /// after a part of an event, nor after an event without an id.
    pub const fn can_resume(&self) -> bool {
        !self.has_passed_part && !self.tracker.has_unidentified()
    }

    /// Discards the partial event; what follows comes from another endpoint.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
        self.tracker.restart();
    }
}
