//! Positions in the history of the platform's store.
//!
//! The store counts its changes. When it is restored from a copy, it loses the
//! latest ones and gives their numbers out again, so that a number orders changes
//! only within one era, the time between two restorations.

use derive_more::{Debug, Display, FromStr};

/// Number of times that the store was restored from a copy.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Debug, Display, FromStr)]
pub struct Era(pub u64);

/// Position of a change: of two positions the one of the later era is later.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Debug, Display)]
#[display("{number} of era {era}")]
pub struct Revision {
    /// The era, 0 if the store names none.
    pub era: Era,
    /// Number of the change as counted by the store.
    pub number: u64,
}

impl Revision {
    /// A position in an era.
    pub const fn new(era: Era, number: u64) -> Self {
        Self { era, number }
    }
}

impl From<u64> for Revision {
    /// A position in a store that names no era.
    fn from(number: u64) -> Self {
        Self::new(Era(0), number)
    }
}
