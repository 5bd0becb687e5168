//! The head: the parts that make up the configuration, and recent changes.

use std::collections::BTreeMap;

use derive_more::{Debug, Display, Error};
use serde::{Deserialize, Serialize};

use super::digest::Digest;
use super::part::PartName;
use crate::clock::Millis;
use crate::ids::{ChangeId, Generation};

/// Minimum number of recent changes recorded, whatever their age.
pub const MIN_RECORDS: usize = 64;
/// Maximum number of recent changes recorded; further changes are refused.
pub const MAX_RECORDS: usize = 1024;
/// How long a change is recorded at least, and so may be retried.
pub const RECORD_AGE: Millis = Millis::from_secs(600);

/// Result of reading a head.
pub type Result<T> = std::result::Result<T, HeadError>;

/// A head that can't be decoded.
#[derive(Debug, Display, Error)]
#[display("the head can't be read: {source}")]
pub struct HeadError {
    source: serde_json::Error,
}

/// The object that defines the configuration in force.
#[derive(Clone, PartialEq, Eq, Default)]
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// Number of accepted changes.
    pub generation: Generation,
    /// Parts by name.
    pub parts: BTreeMap<PartName, PartRef>,
    /// Recent changes, the newest last.
    pub recent: Vec<ChangeRecord>,
}

/// Reference to the object that stores a part.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PartRef {
    /// The object's digest.
    pub digest: Digest,
    /// The generation that last changed the part.
    pub generation: Generation,
}

/// Record of a change that was accepted or withdrawn.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRecord {
    /// Identifier of the change.
    pub change: ChangeId,
    /// The generation it created; for a withdrawn one, the generation at that time.
    pub generation: Generation,
    /// When it was recorded, by the wall clock of the daemon that wrote the head.
    pub wall: Millis,
    /// Whether it was withdrawn and must not be accepted any more.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub void: bool,
}

impl Head {
    /// Encodes the head as stored.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("maps with text keys can always be written")
    }

    /// Decodes a stored head.
    ///
    /// # Errors
    ///
    /// Bytes that don't decode to a head.
    pub fn read(bytes: &[u8]) -> Result<Self> {
        serde_json::from_slice(bytes).map_err(|source| HeadError { source })
    }

    /// The record of a change, if it is still kept.
    pub fn record(&self, change: ChangeId) -> Option<&ChangeRecord> {
        self.recent.iter().find(|record| record.change == change)
    }

    /// The change that created a generation, if its record is still kept.
    pub fn change_of(&self, generation: Generation) -> Option<ChangeId> {
        let made = |record: &&ChangeRecord| record.generation == generation;
        self.accepted().find(made).map(|record| record.change)
    }

    /// Whether every change accepted after a generation is still recorded.
    pub fn has_records_since(&self, generation: Generation) -> bool {
        let first = self.accepted().next().map(|record| record.generation);
        generation == self.generation || first.is_some_and(|first| first.0 <= generation.0 + 1)
    }

    fn accepted(&self) -> impl Iterator<Item = &ChangeRecord> {
        self.recent.iter().filter(|record| !record.void)
    }

    /// Records a change and removes old records; false if there are too many recent ones.
    pub(super) fn add_record(&mut self, change: ChangeId, wall: Millis, void: bool) -> bool {
        let last = self.recent.last().map_or(Millis::ZERO, |last| last.wall);
        let wall = wall.max(last);
        self.recent.push(ChangeRecord {
            change,
            generation: self.generation,
            wall,
            void,
        });
        let old = |record: &&ChangeRecord| wall.since(record.wall) >= RECORD_AGE;
        let old = self.recent.iter().take_while(old).count();
        let spare = self.recent.len().saturating_sub(MIN_RECORDS);
        self.recent.drain(..old.min(spare));
        self.recent.len() <= MAX_RECORDS
    }
}
