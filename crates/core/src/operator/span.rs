//! Byte ranges in a text.

use std::ops::Range;

use serde::{Deserialize, Serialize};

/// A half-open byte range of a text, serialised as `[start, end]`.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(from = "[usize; 2]", into = "[usize; 2]")]
pub struct Span {
    /// Offset of the first byte.
    pub start: usize,
    /// Offset after the last byte.
    pub end: usize,
}

impl From<[usize; 2]> for Span {
    fn from([start, end]: [usize; 2]) -> Self {
        Self { start, end }
    }
}

impl From<Span> for [usize; 2] {
    fn from(span: Span) -> Self {
        [span.start, span.end]
    }
}

impl From<Range<usize>> for Span {
    fn from(range: Range<usize>) -> Self {
        Self {
            start: range.start,
            end: range.end,
        }
    }
}

impl Span {
    /// The part of the text that it covers; empty if it is out of range.
    pub fn of(self, text: &str) -> &str {
        text.get(self.start..self.end).unwrap_or_default()
    }
}
