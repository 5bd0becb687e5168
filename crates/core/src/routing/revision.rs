//! Positions in the history of the platform's store.
//!
//! The store counts its changes. When it is restored from a copy, it loses the
//! latest ones and gives their numbers out again, so that a number orders changes
//! only within one era, the time between two restorations. It counts its eras, too:
//! a store that is built anew begins that count again, which [`Eras`] tells from
//! late answers.

mod eras;

use derive_more::{Debug, Display, FromStr};

pub use self::eras::{Answer, Eras};

/// Bits of an era that hold the store's own count.
const COUNT_BITS: u32 = 48;
/// Largest count that the store may name.
const MAX_COUNT: u64 = (1 << COUNT_BITS) - 1;

/// Number of times that the store was restored from a copy; above its [`COUNT_BITS`], how often it
/// began to count anew.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Debug, Display, FromStr)]
#[display("{}", self.count())]
pub struct Era(pub u64);

impl Era {
    /// The era that the store names by `count`, in the same build of the store as this one.
    #[must_use]
    pub const fn with_count(self, count: Self) -> Self {
        Self((self.0 & !MAX_COUNT) | count.count())
    }

    /// The era that the store names by `count` after it was built anew.
    #[must_use]
    pub const fn rebuilt(self, count: Self) -> Self {
        Self((self.0 & !MAX_COUNT).saturating_add(1 << COUNT_BITS) | count.count())
    }

    /// The store's own count.
    pub const fn count(self) -> u64 {
        self.0 & MAX_COUNT
    }
}

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
