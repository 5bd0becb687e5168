//! Follows the lines of an event stream: where events end, and their ids.
//!
//! Lines end with a line feed, a carriage return or both; an empty line ends an event. Comments and
//! empty lines outside of events belong to none.

use derive_more::Debug;

use crate::body_end::StreamPosition;

/// Bytes of a line that are kept; an `id` line with a number is shorter.
const MAX_LINE: usize = 64;
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// State of the current event.
#[derive(Clone, Copy, PartialEq, Eq, Default)]
#[derive(Debug)]
enum EventState {
    /// None has begun.
    #[default]
    None,
    /// It has at least one field.
    Open,
    /// An empty line has ended it, but for the line feed that follows a carriage return.
    Ending,
}

/// Position in an event stream.
#[derive(Clone, Default)]
#[derive(Debug)]
pub(super) struct EventTracker {
    /// First bytes of the current line.
    line: Vec<u8>,
    /// Bytes of the current line.
    line_bytes: usize,
    /// Whether the last line ended with a carriage return and a line feed.
    after_both: bool,
    /// Whether the last byte was a carriage return, so that a line feed belongs to it.
    after_return: bool,
    event: EventState,
    /// Id and data of the current event.
    id: Option<u64>,
    has_data: bool,
    last_id: Option<u64>,
    /// Whether an event with data but without an id came after the last one with an id.
    has_unidentified: bool,
    /// Whether an event has begun since the start.
    has_begun: bool,
}

impl EventTracker {
    pub(super) fn new(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Id of the last complete event.
    pub(super) const fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Bytes of the line that hasn't ended yet.
    pub(super) const fn line_bytes(&self) -> usize {
        self.line_bytes
    }

    pub(super) const fn has_unidentified(&self) -> bool {
        self.has_unidentified
    }

    pub(super) const fn position(&self) -> StreamPosition {
        match (self.is_within(), self.has_begun) {
            (true, _) => StreamPosition::WithinEvent,
            (false, true) => StreamPosition::BetweenEvents,
            (false, false) => StreamPosition::Start,
        }
    }

    const fn is_within(&self) -> bool {
        !self.line.is_empty() || !matches!(self.event, EventState::None)
    }

    /// Starts at the beginning of an event of another response.
    pub(super) fn restart(&mut self) {
        *self = Self {
            last_id: self.last_id,
            has_unidentified: self.has_unidentified,
            ..Self::default()
        };
    }

    /// Reads bytes; returns the last position among them at which no event was under way.
    pub(super) fn advance(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut boundary = None;
        let mut at = 0;
        while at < bytes.len() {
            if self.event == EventState::Ending && bytes[at] != b'\n' {
                self.end_event();
                boundary = Some(at);
            }
            at += self.read_line(&bytes[at..]);
            if !self.is_within() {
                boundary = Some(at);
            }
        }
        boundary
    }

    /// Reads to the end of the line, or of the bytes; returns how many.
    fn read_line(&mut self, bytes: &[u8]) -> usize {
        if self.after_return && bytes[0] == b'\n' {
            self.after_return = false;
            self.after_both = true;
            if self.event == EventState::Ending {
                self.end_event();
            }
            return 1;
        }
        let end = bytes.iter().position(|byte| matches!(byte, b'\r' | b'\n'));
        let length = end.unwrap_or(bytes.len());
        let kept = length.min(MAX_LINE.saturating_sub(self.line.len()));
        self.line.extend_from_slice(&bytes[..kept]);
        self.after_return = end.is_some_and(|end| bytes[end] == b'\r');
        self.line_bytes += length;
        if end.is_none() {
            return length;
        }
        self.line_bytes = 0;
        self.end_line();
        length + 1
    }

    fn end_line(&mut self) {
        let ends_with_both = std::mem::take(&mut self.after_both);
        let line = std::mem::take(&mut self.line);
        let text = line.strip_prefix(BYTE_ORDER_MARK).unwrap_or(&line);
        match text.first() {
            None if self.event == EventState::None => {}
            // In a stream whose lines end with both, the event lasts until the line feed.
            None if self.after_return && ends_with_both => {
                self.event = EventState::Ending;
            }
            None => self.end_event(),
            Some(b':') => {}
            Some(_) => self.read_field(text),
        }
        self.line = line;
        self.line.clear();
    }

    fn read_field(&mut self, line: &[u8]) {
        self.event = EventState::Open;
        self.has_begun = true;
        if let Some(value) = line.strip_prefix(b"id:") {
            let text = std::str::from_utf8(value).ok();
            self.id = text.and_then(|text| text.trim().parse().ok());
        }
        self.has_data |= line.starts_with(b"data");
    }

    fn end_event(&mut self) {
        match self.id.take() {
            Some(id) => {
                self.last_id = Some(id);
                self.has_unidentified = false;
            }
            None => self.has_unidentified |= self.has_data,
        }
        self.has_data = false;
        self.event = EventState::None;
    }
}
