//! Parses a stream of server-sent events that may have to be resumed.
//!
//! Only complete events go to the caller, as the bytes that the engine sent.
//! The id of an event is the number of the response's tokens up to and
//! including it, so that a broken stream can be resumed after the last token
//! that the caller has. The closing events of a response have the id of its
//! last token: those that the caller has are skipped when the engine sends
//! them again.

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};

/// Largest event, in bytes.
const MAX_EVENT_SIZE: usize = 1 << 20;
const ID_FIELD: &[u8] = b"id:";
const DATA_FIELD: &[u8] = b"data:";
const DONE: &[u8] = b"[DONE]";

/// Result of parsing a stream.
pub type Result<T> = std::result::Result<T, EventError>;

/// Why a stream can't be passed on to the caller.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
#[derive(Display, Error)]
pub enum EventError {
    /// An event is too large to be buffered.
    #[display("an event is larger than {MAX_EVENT_SIZE} bytes")]
    Large,
    /// The id of an event is lower than the tokens that the caller has.
    #[display("an event goes back behind token {_0}")]
    Back(#[error(not(source))] u64),
    /// Tokens come after the closing events.
    #[display("tokens come after the end at token {_0}")]
    Late(#[error(not(source))] u64),
}

/// Splits a stream into events and tracks the caller's position in it.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// Bytes after the last complete event.
    partial: BytesMut,
    /// Bytes of `partial` already searched for the end of an event.
    scanned: usize,
    /// Tokens that the caller has.
    last_token: u64,
    /// Closing events that the caller has; they come again when the stream is resumed.
    closing: u32,
    /// Events still to be skipped, as the caller has them.
    skip: u32,
    /// Whether the end mark was sent to the caller.
    done: bool,
    /// Whether the caller has a data event without an id, so that its position is unknown.
    has_unnumbered: bool,
}

impl EventSplitter {
    /// Adds a chunk; returns the events that it completes and that the caller doesn't have.
    ///
    /// # Errors
    ///
    /// When the chunk doesn't continue the response; none of it may go out.
    pub fn push(&mut self, chunk: &Bytes) -> Result<Bytes> {
        if self.done {
            return Ok(Bytes::new());
        }
        self.partial.extend_from_slice(chunk);
        let (mut skipped_end, mut end) = (0, 0);
        while let Some(len) = event_end(&self.partial, self.scanned.max(end)) {
            let event = self.partial.get(end..len).unwrap_or_default();
            let position = EventPosition::of(event);
            let is_new = self.locate(position)?;
            end = len;
            if !is_new {
                skipped_end = end;
            }
            if self.done {
                break;
            }
        }
        let mut complete = self.partial.split_to(end);
        self.scanned = self.partial.len().saturating_sub(2);
        if self.partial.len() > MAX_EVENT_SIZE {
            return Err(EventError::Large);
        }
        Ok(complete.split_off(skipped_end).freeze())
    }

    /// Tokens that the caller has.
    pub const fn last_token(&self) -> u64 {
        self.last_token
    }

    /// Whether the caller has the stream's end mark.
    pub const fn is_done(&self) -> bool {
        self.done
    }

    /// Whether the position of every event that the caller has is known.
    pub const fn is_resumable(&self) -> bool {
        !self.has_unnumbered
    }

    /// Takes the bytes after the last complete event.
    pub fn take_rest(&mut self) -> Bytes {
        self.scanned = 0;
        self.partial.split().freeze()
    }

    /// Discards an incomplete event, before the stream is resumed after `last_token`.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
        self.scanned = 0;
        self.skip = self.closing;
    }

    /// Updates the position by an event; false if the caller has the event.
    fn locate(&mut self, position: EventPosition) -> Result<bool> {
        let Some(id) = position.id else {
            self.done |= position.done;
            self.has_unnumbered |= position.data && !position.done;
            return Ok(true);
        };
        if id < self.last_token {
            return Err(EventError::Back(self.last_token));
        }
        if id > self.last_token {
            if self.closing > 0 {
                return Err(EventError::Late(self.last_token));
            }
            self.last_token = id;
            return Ok(true);
        }
        if self.skip > 0 {
            self.skip -= 1;
            return Ok(false);
        }
        self.closing += 1;
        self.done |= position.done;
        Ok(true)
    }
}

/// The fields of an event that give its position in the stream.
#[derive(Clone, Copy, Default)]
struct EventPosition {
    id: Option<u64>,
    data: bool,
    done: bool,
}

impl EventPosition {
    fn of(event: &[u8]) -> Self {
        let mut position = Self::default();
        for line in event.split(|byte| *byte == b'\n') {
            if let Some(id) = line.strip_prefix(ID_FIELD) {
                position.id = parse_id(id);
            } else if let Some(data) = line.strip_prefix(DATA_FIELD) {
                position.data = true;
                position.done |= data.trim_ascii() == DONE;
            }
        }
        position
    }
}

/// The last complete event id in a part of a stream, in tokens.
pub fn last_id(part: &[u8]) -> Option<u64> {
    let end = part.iter().rposition(|byte| *byte == b'\n')?;
    let lines = part.get(..end).unwrap_or_default();
    lines
        .rsplit(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(ID_FIELD).and_then(parse_id))
}

fn parse_id(text: &[u8]) -> Option<u64> {
    std::str::from_utf8(text).ok()?.trim().parse().ok()
}

/// The end of the next event, after its empty line, searched for from `from`.
fn event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let mut at = from;
    loop {
        at += bytes.get(at..)?.iter().position(|byte| *byte == b'\n')? + 1;
        match bytes.get(at..)? {
            [b'\n', ..] => return Some(at + 1),
            [b'\r', b'\n', ..] => return Some(at + 2),
            _ => {}
        }
    }
}
