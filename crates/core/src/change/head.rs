//! The head: which parts make up the configuration, and who last changed it.

use std::collections::BTreeMap;

use derive_more::{Debug, Display, Error};
use serde::{Deserialize, Serialize};

use super::digest::Digest;
use super::part::PartName;
use crate::clock::Millis;
use crate::ids::{ChangeId, Generation};

/// Changes that are remembered at least.
pub const MIN_RECORDS: usize = 64;
/// Changes that are remembered at most.
pub const MAX_RECORDS: usize = 1024;
/// How long a change is remembered, and so may be asked for again.
pub const RECORD_AGE: Millis = Millis::from_secs(600);

/// Result of reading a head.
pub type Result<T> = std::result::Result<T, HeadError>;

/// A head that can't be read.
#[derive(Debug, Display, Error)]
#[display("the head can't be read: {source}")]
pub struct HeadError {
    source: serde_json::Error,
}

/// The one object that says what is in force.
#[derive(Clone, PartialEq, Eq, Default)]
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// Counts accepted changes.
    pub generation: Generation,
    /// Parts by name.
    pub parts: BTreeMap<PartName, PartRef>,
    /// Changes accepted lately, the newest last.
    pub recent: Vec<ChangeRecord>,
}

/// Which object holds a part.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PartRef {
    /// The object's digest.
    pub digest: Digest,
    /// The generation that brought it.
    pub generation: Generation,
}

/// A change that was accepted, or given up for good.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRecord {
    /// The change.
    pub change: ChangeId,
    /// The generation it made; for one given up, the generation of that time.
    pub generation: Generation,
    /// When it was accepted, by the clock of who wrote the head.
    pub wall: Millis,
    /// Whether it was given up instead, and must not be accepted any more.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub void: bool,
}

impl Head {
    /// The bytes as stored.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("maps with text keys can always be written")
    }

    /// Reads the bytes as stored.
    ///
    /// # Errors
    ///
    /// Bytes that are no head.
    pub fn read(bytes: &[u8]) -> Result<Self> {
        serde_json::from_slice(bytes).map_err(|source| HeadError { source })
    }

    /// The record of a change, if it is remembered.
    pub fn record(&self, change: ChangeId) -> Option<&ChangeRecord> {
        self.recent.iter().find(|record| record.change == change)
    }

    /// The change that made a generation, if it is remembered.
    pub fn change_of(&self, generation: Generation) -> Option<ChangeId> {
        let made = |record: &&ChangeRecord| record.generation == generation;
        self.accepted().find(made).map(|record| record.change)
    }

    /// Whether every change accepted after a generation is remembered.
    pub fn remembers_since(&self, generation: Generation) -> bool {
        let first = self.accepted().next().map(|record| record.generation);
        generation == self.generation || first.is_some_and(|first| first.0 <= generation.0 + 1)
    }

    fn accepted(&self) -> impl Iterator<Item = &ChangeRecord> {
        self.recent.iter().filter(|record| !record.void)
    }

    /// Remembers a change and forgets old ones; false if too many came of late.
    pub(super) fn remember(&mut self, change: ChangeId, wall: Millis, void: bool) -> bool {
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
