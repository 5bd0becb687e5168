//! Memory for bodies of responses that are read whole.
//!
//! A body without end grows to its maximum before it is left. Small ones always
//! have room; what is beyond is bounded for all of them together.

use derive_more::Debug;

/// Bytes that each body may have.
const SMALL: usize = 128 << 10;
/// Bytes that all bodies together may have beyond that: three of the largest size.
const LARGE_TOTAL: usize = 24 << 20;

/// Bytes that the bodies being read have beyond small ones.
#[derive(Clone, Copy, PartialEq, Eq, Default)]
#[derive(Debug)]
pub struct BodyRoom {
    used: usize,
}

impl BodyRoom {
    /// Takes room for a body that grows; returns whether there is any.
    pub const fn grow(&mut self, from: usize, to: usize) -> bool {
        let more = Self::large(to) - Self::large(from);
        let has_room = self.used + more <= LARGE_TOTAL;
        if has_room {
            self.used += more;
        }
        has_room
    }

    /// Returns the room of a body of a size.
    pub const fn release(&mut self, size: usize) {
        self.used -= Self::large(size);
    }

    const fn large(size: usize) -> usize {
        size.saturating_sub(SMALL)
    }
}
