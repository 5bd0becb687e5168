//! Finds the ends of server-sent events in a stream of bytes.
//!
//! Only whole events go to the caller, so that a stream that breaks can be
//! taken up after the last token that the caller has.

use bytes::{Buf, Bytes, BytesMut};

/// Largest event, in bytes.
const MAX_EVENT: usize = 1 << 20;
const EVENT_END: &[u8] = b"\n\n";
const ID_FIELD: &[u8] = b"id:";
const DONE: &[u8] = b"data: [DONE]";

/// Cuts a stream at the ends of its events.
#[derive(Debug, Default)]
pub struct EventCutter {
    partial: BytesMut,
    last: u64,
    done: bool,
}

impl EventCutter {
    /// Takes a piece; returns the whole events that it completes.
    pub fn push(&mut self, piece: &Bytes) -> Bytes {
        self.partial.extend_from_slice(piece);
        let end = rfind(&self.partial, EVENT_END).map(|at| at + EVENT_END.len());
        let Some(end) = end else {
            return Bytes::new();
        };
        let whole = self.partial.split_to(end).freeze();
        self.note(&whole);
        whole
    }

    /// Identifier of the last whole event: tokens that the caller has.
    pub const fn last(&self) -> u64 {
        self.last
    }

    /// Whether the stream's end mark came.
    pub const fn is_done(&self) -> bool {
        self.done
    }

    /// Whether an event is too long to be held.
    pub fn is_overlong(&self) -> bool {
        self.partial.len() > MAX_EVENT
    }

    /// What is left behind the last whole event.
    pub fn rest(&mut self) -> Bytes {
        self.partial.copy_to_bytes(self.partial.len())
    }

    /// Forgets a part of an event, before the stream is taken up again.
    pub fn cut(&mut self) {
        self.partial.clear();
    }

    fn note(&mut self, events: &[u8]) {
        for line in events.split(|byte| *byte == b'\n').rev() {
            if line.starts_with(DONE) {
                self.done = true;
            }
            if let Some(id) = line.strip_prefix(ID_FIELD).and_then(number) {
                self.last = id;
                return;
            }
        }
    }
}

fn number(text: &[u8]) -> Option<u64> {
    std::str::from_utf8(text).ok()?.trim().parse().ok()
}

fn rfind(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes
        .windows(wanted.len())
        .rposition(|window| window == wanted)
}
