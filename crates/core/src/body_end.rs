//! Decides whether a response body that has ended is complete.
//!
//! A length or a last chunk marks the end of a body. A body with neither ends with its connection
//! (RFC 9112, section 6.3): one that is closed in order may be complete, one that is reset isn't. A
//! sender that fails may close its connections in order, too, so that an end without mark counts
//! for the caller, but not as evidence that all is well with the sender. A stream of events that
//! ends within an event is truncated, however its end is marked.

use derive_more::{Debug, Display};

/// How the end of a body is marked.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Default)]
#[derive(Debug, Display)]
#[display("{}", self.code())]
pub enum Framing {
    /// By its length, or by a status or method that allows no body.
    Length,
    /// By a last chunk.
    Chunks,
    /// By nothing but the end of its connection.
    #[default]
    Close,
}

impl Framing {
    /// The framing of a body that may be known to be empty from its head, which needs no mark.
    pub const fn of_body(self, is_empty: bool) -> Self {
        match is_empty {
            true => Self::Length,
            false => self,
        }
    }

    /// Whether a mark tells a complete body from one whose connection ended early.
    pub const fn is_marked(self) -> bool {
        !matches!(self, Self::Close)
    }

    /// Short name, for metrics and logs.
    pub const fn code(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Close => "close",
        }
    }
}

/// How far a stream of events has come.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub enum StreamPosition {
    /// No event has begun yet.
    Start,
    /// After at least one event, and before the next.
    BetweenEvents,
    /// Within an event.
    WithinEvent,
}

/// How a body ended.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Debug, Display)]
#[display("{}", self.code())]
pub enum BodyEnd {
    /// Complete, by its mark.
    Marked,
    /// Its connection was closed in order, and nothing tells that the body isn't complete.
    Closed,
    /// Truncated: within an event of a stream.
    WithinEvent,
    /// Truncated: before any event of a stream, without a mark.
    NoEvent,
    /// Its connection failed, or ended before the mark.
    Broken,
    /// Nothing came in time.
    Stalled,
}

/// The end of one body.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Debug)]
pub struct EndedBody {
    /// How its end was to be marked.
    pub framing: Framing,
    /// How it ended.
    pub end: BodyEnd,
}

impl BodyEnd {
    /// How a body ended whose connection reported no error. `position` is that of a stream of
    /// events, none for other bodies.
    pub const fn of(framing: Framing, position: Option<StreamPosition>) -> Self {
        match (position, framing.is_marked()) {
            (Some(StreamPosition::WithinEvent), _) => Self::WithinEvent,
            (Some(StreamPosition::Start), false) => Self::NoEvent,
            (_, true) => Self::Marked,
            (_, false) => Self::Closed,
        }
    }

    /// Whether the body is passed on as complete.
    pub const fn is_complete(self) -> bool {
        matches!(self, Self::Marked | Self::Closed)
    }

    /// Whether the sender has shown that it completed the response.
    pub const fn is_proof(self) -> bool {
        matches!(self, Self::Marked)
    }

    /// Short name, for metrics and logs.
    pub const fn code(self) -> &'static str {
        match self {
            Self::Marked => "marked",
            Self::Closed => "closed",
            Self::WithinEvent => "within-event",
            Self::NoEvent => "no-event",
            Self::Broken => "broken",
            Self::Stalled => "stalled",
        }
    }
}
