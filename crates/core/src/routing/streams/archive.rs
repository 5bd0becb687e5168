//! What the platform keeps of streams, for the case that all daemons end at once.
//!
//! One hub of each data centre, or of a small fleet, writes the versions that
//! served lately, and, while several serve, the streams that began in the last
//! seconds. Daemons read it only if neither they nor those that they ask know a
//! stream.

use std::collections::BTreeMap;

use derive_more::Debug;

use super::history::{BuildEvidence, FRESH_LIST, STREAM_LIFETIME};
use super::{Origin, StreamKey};
use crate::clock::Millis;

/// Maximum number of streams that are kept; the oldest ones are left out.
pub const MAX_STREAMS: usize = 1000;

/// Streams and versions, as one hub knows them.
#[derive(Clone, PartialEq, Eq, Default)]
#[derive(Debug)]
pub struct Archive {
    /// Streams by the version that began them; versions that served lately are there without
    /// streams, too.
    pub streams: BTreeMap<Origin, Vec<StreamKey>>,
}

impl Archive {
    /// Collects versions, and streams with their origins.
    pub fn new(
        builds: impl IntoIterator<Item = Origin>,
        streams: impl IntoIterator<Item = (StreamKey, Origin)>,
    ) -> Self {
        let mut archive = Self::default();
        for origin in builds {
            archive.streams.entry(origin).or_default();
        }
        for (key, origin) in streams {
            archive.streams.entry(origin).or_default().push(key);
        }
        archive
    }

    /// The versions.
    pub fn builds(&self) -> impl Iterator<Item = Origin> {
        self.streams.keys().copied()
    }

    /// The streams with their origins.
    pub fn streams(&self) -> impl Iterator<Item = (StreamKey, Origin)> {
        let streams = self.streams.iter();
        streams.flat_map(|(origin, keys)| keys.iter().map(|key| (*key, *origin)))
    }
}

/// Versions that the platform kept, as far as this process has read them.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct ArchivedBuilds {
    /// When each one was last read.
    builds: BTreeMap<Origin, Millis>,
    /// Whether no other versions may have served by what was last read; none if nothing was.
    is_complete: Option<bool>,
    /// When that was.
    read_at: Millis,
}

impl ArchivedBuilds {
    /// Records the versions of all archives, as they were read at one time.
    pub fn record(&mut self, read: impl IntoIterator<Item = Origin>, now: Millis) {
        let read: BTreeMap<Origin, Millis> = read.into_iter().map(|build| (build, now)).collect();
        let is_complete = !read.is_empty() && !read.contains_key(&Origin::UNKNOWN);
        self.is_complete = Some(is_complete);
        self.read_at = now;
        if is_complete {
            // Its writers know which of the earlier ones have left for good.
            self.builds.clear();
        }
        self.builds.extend(read);
        self.builds.remove(&Origin::UNKNOWN);
    }

    /// Whether the platform answered as lately as a list has to be confirmed.
    pub fn is_fresh(&self, now: Millis) -> bool {
        self.is_complete.is_some() && now.since(self.read_at) <= FRESH_LIST
    }

    /// What they say of the time before they were read; none if nothing was read.
    pub fn evidence(&self, now: Millis) -> Option<BuildEvidence> {
        let builds = self.builds.iter();
        let recent = builds.filter(|(_, at)| now.since(**at) < STREAM_LIFETIME);
        Some(BuildEvidence {
            is_complete: self.is_complete?,
            recent: recent.map(|(build, _)| *build).collect(),
        })
    }
}
