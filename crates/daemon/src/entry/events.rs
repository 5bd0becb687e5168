//! Follows a stream of server-sent events that may have to be taken up again.
//!
//! Only whole events go to the caller, as the bytes that the engine sent. The
//! id of an event counts the answer's tokens up to and with it, so that a
//! broken stream can be taken up after the last token that the caller has. The
//! events that close an answer have the id of its last token: those that the
//! caller has are left out when the engine sends them again.

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};

/// Largest event, in bytes.
const MAX_EVENT: usize = 1 << 20;
const ID_FIELD: &[u8] = b"id:";
const DATA_FIELD: &[u8] = b"data:";
const DONE: &[u8] = b"[DONE]";

/// Result of following a stream.
pub type Result<T> = std::result::Result<T, Disorder>;

/// Why a stream can't go on to the caller.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
#[derive(Display, Error)]
pub enum Disorder {
    /// An event is too large to be held.
    #[display("an event is larger than {MAX_EVENT} bytes")]
    Large,
    /// An event counts fewer tokens than the caller has.
    #[display("an event goes back behind token {_0}")]
    Back(#[error(not(source))] u64),
    /// Tokens come after the answer was closed.
    #[display("tokens come after the end at token {_0}")]
    Late(#[error(not(source))] u64),
}

/// Cuts a stream at the ends of its events and keeps count of them.
#[derive(Debug, Default)]
pub struct EventCutter {
    /// Bytes behind the last whole event.
    partial: BytesMut,
    /// Bytes of `partial` in which no event ends.
    scanned: usize,
    /// Tokens that the caller has.
    last: u64,
    /// Events that the caller has and that come again when the stream is taken up.
    closing: u32,
    /// Events still to be left out, as the caller has them.
    skip: u32,
    /// Whether the end mark went to the caller.
    done: bool,
    /// Whether the caller has an event of which the place isn't known.
    unplaced: bool,
}

impl EventCutter {
    /// Takes a piece; returns the whole events that it completes and that the caller hasn't.
    ///
    /// # Errors
    ///
    /// When the stream isn't the answer's next part; nothing of the piece may go out.
    pub fn push(&mut self, piece: &Bytes) -> Result<Bytes> {
        if self.done {
            return Ok(Bytes::new());
        }
        self.partial.extend_from_slice(piece);
        let (mut skipped, mut end) = (0, 0);
        while let Some(len) = event_end(&self.partial, self.scanned.max(end)) {
            let event = self.partial.get(end..len).unwrap_or_default();
            let event = Place::of(event);
            let wanted = self.place(event)?;
            end = len;
            if !wanted {
                skipped = end;
            }
            if self.done {
                break;
            }
        }
        let mut whole = self.partial.split_to(end);
        self.scanned = self.partial.len().saturating_sub(2);
        if self.partial.len() > MAX_EVENT {
            return Err(Disorder::Large);
        }
        Ok(whole.split_off(skipped).freeze())
    }

    /// Tokens that the caller has.
    pub const fn last(&self) -> u64 {
        self.last
    }

    /// Whether the caller has the stream's end mark.
    pub const fn is_done(&self) -> bool {
        self.done
    }

    /// Whether the place of all that the caller has is known.
    pub const fn is_resumable(&self) -> bool {
        !self.unplaced
    }

    /// What is left behind the last whole event.
    pub fn rest(&mut self) -> Bytes {
        self.scanned = 0;
        self.partial.split().freeze()
    }

    /// Forgets a part of an event, before the stream is taken up after token `last`.
    pub fn cut(&mut self) {
        self.partial.clear();
        self.scanned = 0;
        self.skip = self.closing;
    }

    /// Finds the place of an event; false if the caller has it.
    fn place(&mut self, event: Place) -> Result<bool> {
        let Some(id) = event.id else {
            self.done |= event.done;
            self.unplaced |= event.data && !event.done;
            return Ok(true);
        };
        if id < self.last {
            return Err(Disorder::Back(self.last));
        }
        if id > self.last {
            if self.closing > 0 {
                return Err(Disorder::Late(self.last));
            }
            self.last = id;
            return Ok(true);
        }
        if self.skip > 0 {
            self.skip -= 1;
            return Ok(false);
        }
        self.closing += 1;
        self.done |= event.done;
        Ok(true)
    }
}

/// What an event says of its place in the stream.
#[derive(Clone, Copy, Default)]
struct Place {
    id: Option<u64>,
    data: bool,
    done: bool,
}

impl Place {
    fn of(event: &[u8]) -> Self {
        let mut place = Self::default();
        for line in event.split(|byte| *byte == b'\n') {
            if let Some(id) = line.strip_prefix(ID_FIELD) {
                place.id = number(id);
            } else if let Some(data) = line.strip_prefix(DATA_FIELD) {
                place.data = true;
                place.done |= data.trim_ascii() == DONE;
            }
        }
        place
    }
}

/// The tokens that the last whole id in a part of a stream counts.
pub fn last_id(part: &[u8]) -> Option<u64> {
    let end = part.iter().rposition(|byte| *byte == b'\n')?;
    let lines = part.get(..end).unwrap_or_default();
    lines
        .rsplit(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(ID_FIELD).and_then(number))
}

fn number(text: &[u8]) -> Option<u64> {
    std::str::from_utf8(text).ok()?.trim().parse().ok()
}

/// Where the next event ends, looked for from `from` on: behind an empty line.
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
