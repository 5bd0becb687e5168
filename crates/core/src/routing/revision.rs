//! Positions in the history of the platform's store.

use derive_more::{Debug, Display, FromStr};

/// Number of times that the store was restored from a copy. Each time it loses its latest changes
/// and gives their revisions out again.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Debug, Display, FromStr)]
pub struct Era(pub u64);
