//! Objects with versions, and the log of their changes.

use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;

use bytes::Bytes;
use derive_more::{Debug, Display, Error};
use serde::{Deserialize, Serialize};

/// Result of a change.
pub type Result<T> = std::result::Result<T, StoreError>;

/// Largest object, in bytes.
pub const MAX_OBJECT: usize = 1 << 20;
/// Changes kept for watches.
const MAX_CHANGES: usize = 100_000;

/// Why a change is refused.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug, Display, Error)]
pub enum StoreError {
    /// The object is there, or has another version.
    #[display("the version is {version}")]
    Present {
        /// The present version.
        version: u64,
    },
    /// There is no such object.
    #[display("no such object")]
    Absent,
    /// The body is larger than `MAX_OBJECT`.
    #[display("an object has at most {MAX_OBJECT} bytes")]
    TooLarge,
    /// The changes after this revision are forgotten.
    #[display("the revision is too old")]
    TooOld,
}

/// An object as it is kept.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub struct Object {
    /// The revision of its last change.
    pub version: u64,
    /// What it holds.
    pub body: Bytes,
}

/// An object as it is listed.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug, Serialize, Deserialize)]
pub struct Entry {
    /// Its key.
    pub key: String,
    /// The revision of its last change.
    pub version: u64,
    /// Its size in bytes.
    pub size: u64,
}

/// A change as watches see it.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug, Serialize, Deserialize)]
pub struct Change {
    /// The key.
    pub key: String,
    /// The revision of the change.
    pub version: u64,
    /// Whether the object was deleted.
    pub deleted: bool,
}

/// All objects and the changes that led to them.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct Store {
    objects: BTreeMap<String, Object>,
    changes: VecDeque<Change>,
    revision: u64,
    /// Raised by each restoration.
    era: u64,
    /// Changes up to and with this revision are forgotten.
    forgotten: u64,
}

impl Store {
    /// The revision of the last change.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// The era, which each restoration raises.
    pub const fn era(&self) -> u64 {
        self.era
    }

    /// Goes back to a copy, in the next era.
    pub fn restore(&mut self, copy: Self) {
        let era = self.era + 1;
        *self = Self { era, ..copy };
    }

    /// The object under `key`.
    pub fn get(&self, key: &str) -> Option<&Object> {
        self.objects.get(key)
    }

    /// Creates `key`; an error if it is there.
    pub fn create(&mut self, key: &str, body: Bytes) -> Result<u64> {
        match self.objects.get(key) {
            Some(object) => Err(StoreError::Present {
                version: object.version,
            }),
            None => self.write(key, body),
        }
    }

    /// Updates `key` if its version is still `version`.
    pub fn update(&mut self, key: &str, version: u64, body: Bytes) -> Result<u64> {
        self.check(key, version)?;
        self.write(key, body)
    }

    /// Deletes `key` if its version is still `version`.
    pub fn delete(&mut self, key: &str, version: u64) -> Result<()> {
        self.check(key, version)?;
        self.objects.remove(key);
        self.log(key, true);
        Ok(())
    }

    /// Writes `key` whatever its version.
    pub fn put(&mut self, key: &str, body: Bytes) -> u64 {
        let version = self.log(key, false);
        self.objects.insert(key.into(), Object { version, body });
        version
    }

    /// At most `limit` objects under `prefix` with keys after `after`, in key order.
    pub fn list(&self, prefix: &str, after: &str, limit: usize) -> Vec<Entry> {
        let from = if after < prefix {
            Bound::Included(prefix)
        } else {
            Bound::Excluded(after)
        };
        self.objects
            .range::<str, _>((from, Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(prefix))
            .take(limit)
            .map(|(key, object)| Entry {
                key: key.clone(),
                version: object.version,
                size: object.body.len() as u64,
            })
            .collect()
    }

    /// Changes under `prefix` after revision `after`, in order.
    pub fn changes(&self, prefix: &str, after: u64) -> Result<Vec<Change>> {
        if after < self.forgotten {
            return Err(StoreError::TooOld);
        }
        let first = self.changes.partition_point(|c| c.version <= after);
        Ok(self
            .changes
            .range(first..)
            .filter(|change| change.key.starts_with(prefix))
            .cloned()
            .collect())
    }

    /// Forgets the changes so far.
    pub fn compact(&mut self) {
        self.changes.clear();
        self.forgotten = self.revision;
    }

    fn check(&self, key: &str, version: u64) -> Result<()> {
        match self.objects.get(key) {
            None => Err(StoreError::Absent),
            Some(object) if object.version == version => Ok(()),
            Some(object) => Err(StoreError::Present {
                version: object.version,
            }),
        }
    }

    fn write(&mut self, key: &str, body: Bytes) -> Result<u64> {
        if body.len() > MAX_OBJECT {
            return Err(StoreError::TooLarge);
        }
        Ok(self.put(key, body))
    }

    fn log(&mut self, key: &str, deleted: bool) -> u64 {
        self.revision += 1;
        if self.changes.len() == MAX_CHANGES
            && let Some(oldest) = self.changes.pop_front()
        {
            self.forgotten = oldest.version;
        }
        self.changes.push_back(Change {
            key: key.into(),
            version: self.revision,
            deleted,
        });
        self.revision
    }
}
