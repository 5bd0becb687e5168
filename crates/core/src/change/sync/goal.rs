//! A generation that is being fetched.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;

use crate::change::digest::Digest;
use crate::change::head::Head;
use crate::change::part::{Part, PartError, join};
use crate::config::Config;

/// A head with the parts of it that are here.
#[derive(Clone, Debug)]
pub(super) struct Goal {
    /// The head.
    pub(super) head: Head,
    /// The head as stored.
    pub(super) bytes: Bytes,
    /// Parts as stored.
    pub(super) parts: BTreeMap<Digest, Bytes>,
    /// Whether it came from the platform itself.
    pub(super) certain: bool,
}

impl Goal {
    /// Begins with those of some parts that the head names.
    pub(super) fn new(head: Head, bytes: Bytes, parts: &BTreeMap<Digest, Bytes>) -> Self {
        let digests = head.parts.values().map(|part| part.digest);
        let held = digests.filter_map(|d| parts.get_key_value(&d));
        Self {
            parts: held.map(|(d, bytes)| (*d, bytes.clone())).collect(),
            head,
            bytes,
            certain: false,
        }
    }

    /// Parts that are named and not here.
    pub(super) fn missing(&self) -> BTreeSet<Digest> {
        let digests = self.head.parts.values().map(|part| part.digest);
        digests.filter(|d| !self.parts.contains_key(d)).collect()
    }

    /// Those of some parts that are missing.
    pub(super) fn wanted(&self, parts: Vec<Bytes>) -> BTreeMap<Digest, Bytes> {
        let missing = self.missing();
        let named = parts.into_iter().map(|bytes| (Digest::of(&bytes), bytes));
        named
            .filter(|(digest, _)| missing.contains(digest))
            .collect()
    }

    /// Puts the parts together.
    pub(super) fn config(&self) -> Result<Config, PartError> {
        let mut bodies = BTreeMap::new();
        for (name, part) in &self.head.parts {
            let bytes = self.parts.get(&part.digest).cloned().unwrap_or_default();
            bodies.insert(name.clone(), Part::read(name, &bytes)?.body);
        }
        Ok(join(self.head.generation, bodies))
    }
}
