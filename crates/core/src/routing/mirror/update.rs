//! Changes of objects, and what brings a copy up to a revision.

use std::collections::HashSet;

use derive_more::Debug;

use super::Object;
use crate::routing::revision::Revision;

/// One change of an object.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub enum Change {
    /// It was created or replaced.
    Put(Object),
    /// It was removed.
    Removed {
        /// Its name.
        name: String,
        /// A revision at which it no longer existed.
        revision: Revision,
    },
}

/// Changes that bring a copy up to a revision.
#[derive(Clone, PartialEq, Eq, Default)]
#[derive(Debug)]
pub struct Update {
    /// Whether these are all objects, so that others have been removed.
    pub complete: bool,
    /// The changes.
    pub changes: Vec<Change>,
    /// The revision that they lead to.
    pub revision: Revision,
}

impl Update {
    /// The objects alone, from a source whose removals aren't known: applying them leaves the copy at
    /// its own revision, from which it goes on to read what was removed.
    #[must_use]
    pub fn into_objects(self) -> Self {
        Self {
            complete: false,
            revision: Revision::new(self.revision.era, 0),
            ..self
        }
    }
}

impl Change {
    /// Name of the object.
    pub(super) fn name(&self) -> &str {
        match self {
            Self::Put(object) => &object.name,
            Self::Removed { name, .. } => name,
        }
    }
}

/// The last change of each object, in order. The revision of a removal is only an upper bound: if
/// all changes were applied, an entry that expired and came back within one update would count as
/// removed.
pub(super) fn last_of_each(changes: Vec<Change>) -> Vec<Change> {
    let mut names = HashSet::new();
    let from_last = changes.iter().rev();
    let is_last: Vec<bool> = from_last
        .map(|change| names.insert(change.name()))
        .collect();
    let flagged = changes.into_iter().zip(is_last.into_iter().rev());
    flagged
        .filter_map(|(change, is_last)| is_last.then_some(change))
        .collect()
}
