//! A generation that is being fetched.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;

use crate::change::digest::Digest;
use crate::change::head::Head;
use crate::change::part::{Part, PartError, join};
use crate::config::Config;

/// A head with those of its parts that have been fetched.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    /// The head.
    pub(super) head: Head,
    /// The head, encoded as stored.
    pub(super) bytes: Bytes,
    /// Parts, encoded as stored.
    pub(super) parts: BTreeMap<Digest, Bytes>,
    /// Whether the head came from the platform itself.
    pub(super) authoritative: bool,
}

impl Candidate {
    /// Creates a candidate, with those of the given parts that the head names.
    pub(super) fn new(head: Head, bytes: Bytes, parts: &BTreeMap<Digest, Bytes>) -> Self {
        let digests = head.parts.values().map(|part| part.digest);
        let found = digests.filter_map(|d| parts.get_key_value(&d));
        Self {
            parts: found.map(|(d, bytes)| (*d, bytes.clone())).collect(),
            head,
            bytes,
            authoritative: false,
        }
    }

    /// Digests of parts that are not fetched yet.
    pub(super) fn missing(&self) -> BTreeSet<Digest> {
        let digests = self.head.parts.values().map(|part| part.digest);
        digests.filter(|d| !self.parts.contains_key(d)).collect()
    }

    /// Those of the given parts that are missing.
    pub(super) fn select_missing(&self, parts: Vec<Bytes>) -> BTreeMap<Digest, Bytes> {
        let missing = self.missing();
        let named = parts.into_iter().map(|bytes| (Digest::of(&bytes), bytes));
        named
            .filter(|(digest, _)| missing.contains(digest))
            .collect()
    }

    /// Assembles the configuration from the parts.
    pub(super) fn assemble(&self) -> Result<Config, PartError> {
        let mut bodies = BTreeMap::new();
        for (name, part) in &self.head.parts {
            let bytes = self.parts.get(&part.digest).cloned().unwrap_or_default();
            bodies.insert(name.clone(), Part::read(name, &bytes)?.body);
        }
        Ok(join(self.head.generation, bodies))
    }
}
