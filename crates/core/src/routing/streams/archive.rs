//! What the platform keeps of streams, for the case that all daemons end at once.
//!
//! One hub of each data centre, or of a small fleet, writes the versions that
//! served lately, and the streams that began in the last seconds; in a large
//! fleet these only while several versions serve. A small fleet adds a tail
//! meanwhile: the streams that began since, written many times a second; a daemon
//! that the writer doesn't confirm streams to writes a note like it. Daemons
//! read it only if neither they nor those that they ask know a stream.

use std::collections::BTreeMap;

use derive_more::Debug;

use super::history::{BuildEvidence, RecentBuild, STREAM_LIFETIME};
use super::{Origin, PoolHash, StreamKey};
use crate::clock::Millis;
use crate::routing::revision::{Era, Revision};

/// Maximum number of streams that are kept; the oldest ones are left out.
pub const MAX_STREAMS: usize = 1000;

/// Streams and versions, as one hub knows them.
#[derive(Clone, PartialEq, Eq, Default)]
#[derive(Debug)]
pub struct Archive {
    /// Streams by the version that began them; versions that served lately are there without
    /// streams, too.
    pub streams: BTreeMap<Origin, Vec<StreamKey>>,
    /// The pools of the versions; missing where an earlier build wrote the archive.
    pub pools: BTreeMap<Origin, PoolHash>,
    /// The store's era in which it was written; none if it wasn't known.
    pub era: Option<Era>,
    /// For a tail, which has only the streams that began since the whole archive was last written:
    /// the number of the revision that this write gave the archive.
    pub after: Option<u64>,
    /// Number of the revision up to which its writer knew the list of endpoints; missing where an
    /// earlier build wrote the archive.
    pub seen: Option<u64>,
}

impl Archive {
    /// Collects versions, and streams with their origins.
    pub fn new(
        builds: impl IntoIterator<Item = RecentBuild>,
        streams: impl IntoIterator<Item = (StreamKey, Origin)>,
    ) -> Self {
        let mut archive = Self::default();
        for build in builds {
            archive.streams.entry(build.origin).or_default();
            let pool = build.pool.map(|pool| (build.origin, pool));
            archive.pools.extend(pool);
        }
        for (key, origin) in streams {
            archive.streams.entry(origin).or_default().push(key);
        }
        archive
    }

    /// Sets the era in which it is written.
    #[must_use]
    pub fn with_era(self, era: Option<Era>) -> Self {
        Self { era, ..self }
    }

    /// Marks it as a tail of the archive that has this revision.
    #[must_use]
    pub fn with_after(self, archive: Revision) -> Self {
        let after = Some(archive.number);
        Self { after, ..self }
    }

    /// Sets the revision up to which its writer knows the list of endpoints.
    #[must_use]
    pub fn with_seen(self, list: Option<Revision>) -> Self {
        let seen = list.map(|list| list.number);
        Self { seen, ..self }
    }

    /// Whether no other versions may have served by what its writer knew.
    pub fn is_complete(&self) -> bool {
        !self.streams.contains_key(&Origin::UNKNOWN)
    }

    /// Whether what it says of versions still holds: a tail ends with the next write of the whole
    /// archive, whose present revision this is.
    pub fn is_in_force(&self, archive: Option<Revision>) -> bool {
        self.after.is_none() || self.after == archive.map(|archive| archive.number)
    }

    /// Whether it is from before the store went back to a copy, and may lack what was written since.
    pub fn is_outdated(&self, latest: Option<Era>) -> bool {
        let count = |era: Option<Era>| era.map(Era::count);
        self.era.is_some() && count(self.era) != count(latest)
    }

    /// The versions.
    pub fn builds(&self) -> impl Iterator<Item = RecentBuild> {
        let origins = self.streams.keys().copied();
        origins.map(|origin| RecentBuild {
            origin,
            pool: self.pools.get(&origin).copied(),
        })
    }

    /// The streams with their origins.
    pub fn streams(&self) -> impl Iterator<Item = (StreamKey, Origin)> {
        let streams = self.streams.iter();
        streams.flat_map(|(origin, keys)| keys.iter().map(|key| (*key, *origin)))
    }
}

/// What a daemon keeps of versions on the platform: those that it saw, and until it has seen all
/// that served lately those that were kept before.
pub fn builds_to_keep(seen: BuildEvidence, archived: Option<BuildEvidence>) -> BuildEvidence {
    let Some(archived) = archived.filter(|_| !seen.is_complete) else {
        return seen;
    };
    let is_kept = |build: &&RecentBuild| {
        let mut kept = archived.recent.iter();
        kept.any(|kept| {
            kept.origin == build.origin || kept.pool.is_some_and(|pool| Some(pool) == build.pool)
        })
    };
    // Of a pool that the archive lacks, others may have served since it was written.
    let unkept = seen.recent.iter().filter(|build| !is_kept(build));
    let unknown: Vec<RecentBuild> = unkept
        .filter_map(|build| build.pool)
        .map(RecentBuild::unknown_of)
        .collect();
    let is_complete = archived.is_complete;
    BuildEvidence {
        is_complete,
        ..seen.with_recent(&archived.recent).with_recent(&unknown)
    }
}

/// Whether streams of a pool, or of any, may have begun at several versions, by what a daemon saw and
/// what was kept. Where nothing was ever kept, no fleet has ended before this one.
pub fn may_have_several(
    seen: BuildEvidence,
    archived: Option<BuildEvidence>,
    pool: Option<PoolHash>,
) -> bool {
    let is_new = archived.as_ref().is_some_and(|kept| kept.recent.is_empty());
    let known = match is_new {
        true => BuildEvidence {
            is_complete: true,
            ..seen
        },
        false => builds_to_keep(seen, archived),
    };
    known.may_have_several(pool)
}

/// Versions that the platform kept, as far as this process has read them.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct ArchivedBuilds {
    /// When each one was last read.
    builds: BTreeMap<RecentBuild, Millis>,
    /// Whether no other versions may have served by what was last read; none if nothing was.
    is_complete: Option<bool>,
    /// When that was.
    read_at: Millis,
}

impl ArchivedBuilds {
    /// Records the versions of all archives, as they were read at one time.
    pub fn record(&mut self, read: impl IntoIterator<Item = RecentBuild>, now: Millis) {
        let is_unknown = |build: &RecentBuild| build.origin == Origin::UNKNOWN;
        let read: Vec<RecentBuild> = read.into_iter().collect();
        let is_complete = !read.is_empty() && !read.iter().any(is_unknown);
        self.is_complete = Some(is_complete);
        self.read_at = now;
        if is_complete {
            // Its writers know which of the earlier ones have left for good.
            self.builds.clear();
        }
        let read = read.into_iter().filter(|build| !is_unknown(build));
        self.builds.extend(read.map(|build| (build, now)));
    }

    /// Time since they were read; none if nothing was.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.is_complete.map(|_| now.since(self.read_at))
    }

    /// What they say of the time before they were read; none if nothing was. That is complete only if
    /// they were read at `from` or later, since when this daemon has missed no changes of the list.
    pub fn evidence(&self, from: Option<Millis>, now: Millis) -> Option<BuildEvidence> {
        let builds = self.builds.iter();
        let recent = builds.filter(|(_, at)| now.since(**at) < STREAM_LIFETIME);
        Some(BuildEvidence {
            is_complete: self.is_complete? && Some(self.read_at) >= from,
            recent: recent.map(|(build, _)| *build).collect(),
        })
    }
}
