//! Where in a text something stands.

use std::ops::Range;

use serde::{Deserialize, Serialize};

/// A stretch of a text in bytes, written `[start, end]`.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(from = "[usize; 2]", into = "[usize; 2]")]
pub struct Span {
    /// The first byte.
    pub start: usize,
    /// The byte after the last.
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
    /// The text that it covers; empty if it lies outside.
    pub fn of(self, text: &str) -> &str {
        text.get(self.start..self.end).unwrap_or_default()
    }
}
