//! The software versions that serve in each pool, and those that served lately.

use std::collections::{BTreeMap, HashMap, HashSet};

use derive_more::Debug;

use super::{Origin, PoolHash};
use crate::clock::Millis;
use crate::ids::PoolId;
use crate::routing::endpoint::Build;
use crate::routing::fingerprint::hash_parts;

/// Time for which a version counts as one that streams may have begun at after its last endpoint
/// has left the list: longer than callers wait for a stream, and than daemons that lag behind the
/// list send requests there.
pub const STREAM_LIFETIME: Millis = Millis::from_secs(20);
/// Age of a list up to which a daemon tells others that it is complete. Copies of the list reach
/// 2.4 s while the platform holds a call.
pub const FRESH_LIST: Millis = Millis(3000);
/// Time before the first stream begins at a new version while another one serves: until then the
/// platform's archive names it, in case all daemons end.
const NEW_BUILD_PAUSE: Millis = Millis(4000);
/// Time within which the platform's archive names a version that its writer has listed.
const ARCHIVE_DELAY: Millis = Millis(1000);
/// Time since the first entry within which listed versions aren't new: the first list arrives in
/// parts.
const FIRST_LIST: Millis = Millis(1000);

/// When the versions of each pool were listed.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct BuildHistory {
    pools: HashMap<PoolId, BTreeMap<Build, Span>>,
    /// When the first endpoint was listed.
    began: Option<Millis>,
    /// When entries may last have come and gone unseen.
    gap: Option<Millis>,
    /// Whether the fleet began with this process by its settings, so that nothing was listed before.
    is_first: bool,
    /// Whether what the platform kept was read, and doesn't contradict that.
    is_first_confirmed: bool,
}

/// A version of one pool.
#[derive(Clone, Copy, Default)]
#[derive(Debug)]
struct Span {
    /// Endpoints that are listed.
    listed: usize,
    /// When it was first listed; none if that was in the first list.
    since: Option<Millis>,
    /// When it was first seen without endpoints, unless it has some.
    until: Option<Millis>,
}

impl Span {
    fn is_recent(&self, now: Millis) -> bool {
        let left = self.until.filter(|_| self.listed == 0);
        left.is_none_or(|until| now.since(until) < STREAM_LIFETIME)
    }

    fn is_new(&self, now: Millis) -> bool {
        let since = self.since.filter(|_| self.listed > 0);
        since.is_some_and(|since| now.since(since) < NEW_BUILD_PAUSE)
    }
}

/// A version that served lately.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Debug)]
pub struct RecentBuild {
    /// The version and its pool.
    pub origin: Origin,
    /// The pool; none if a daemon of an earlier build told it.
    pub pool: Option<PoolHash>,
}

impl RecentBuild {
    /// Stands for versions of any pool that may have served and that nobody knows.
    pub const UNKNOWN: Self = Self::of_any_pool(Origin::UNKNOWN);

    /// A version of a pool.
    pub fn new(pool: &PoolId, build: &Build) -> Self {
        Self {
            origin: Origin::new(pool, build),
            pool: Some(pool.into()),
        }
    }

    /// Stands for versions of a pool that may have served and that nobody knows.
    pub fn unknown_of(pool: PoolHash) -> Self {
        let Origin(unknown) = Origin::UNKNOWN;
        Self {
            origin: Origin(hash_parts([&pool.0.to_le_bytes(), &unknown.to_le_bytes()])),
            pool: Some(pool),
        }
    }

    /// A version of an unknown pool.
    pub const fn of_any_pool(origin: Origin) -> Self {
        Self { origin, pool: None }
    }
}

/// What a daemon knows of the versions at which streams may have begun.
#[derive(Clone, PartialEq, Eq, Default)]
#[derive(Debug)]
pub struct BuildEvidence {
    /// Whether it would know of each version that served within the lifetime of a stream.
    pub is_complete: bool,
    /// All versions that it knows to have served within that time.
    pub recent: Vec<RecentBuild>,
}

impl BuildEvidence {
    /// Adds versions that others know.
    pub fn with_recent(mut self, others: &[RecentBuild]) -> Self {
        let new = others.iter().filter(|other| !self.has(other.origin));
        let new: Vec<RecentBuild> = new.copied().collect();
        self.recent.extend(new);
        self
    }

    /// Whether several versions of a pool, or of any, may have served within that time.
    pub fn may_have_several(&self, pool: Option<PoolHash>) -> bool {
        let is_looked_for =
            |build: &&RecentBuild| pool.is_none_or(|pool| build.pool.is_none_or(|own| own == pool));
        let mut builds = self.recent.iter().filter(is_looked_for);
        let mut seen = HashSet::new();
        !self.is_complete || builds.any(|build| build.pool.is_none() || !seen.insert(build.pool))
    }

    /// Whether a version served lately.
    pub fn has(&self, origin: Origin) -> bool {
        self.recent.iter().any(|recent| recent.origin == origin)
    }
}

impl BuildHistory {
    /// Marks this process as one of a fleet that starts for the first time, by its settings. They may
    /// say so again after a restart, so that nothing follows until the platform's archive was read.
    pub const fn set_first(&mut self) {
        self.is_first = true;
    }

    /// Records versions that the platform kept. The fleet began earlier if they include one that this
    /// process hasn't seen.
    pub fn record_kept(&mut self, kept: &[RecentBuild], now: Millis) {
        let seen = self.evidence(now);
        self.is_first &= kept.iter().all(|build| seen.has(build.origin));
        self.is_first_confirmed = self.is_first;
    }

    /// Records that an endpoint was listed.
    pub fn record_listed(&mut self, pool: &PoolId, build: &Build, now: Millis) {
        let began = *self.began.get_or_insert(now);
        if !self.pools.contains_key(pool) {
            self.pools.insert(pool.clone(), BTreeMap::new());
        }
        let Some(builds) = self.pools.get_mut(pool) else {
            return;
        };
        if let Some(span) = builds.get_mut(build) {
            span.listed += 1;
            span.until = None;
            return;
        }
        let since = (now.since(began) >= FIRST_LIST).then_some(now);
        builds.insert(
            build.clone(),
            Span {
                listed: 1,
                since,
                until: None,
            },
        );
    }

    /// Records that an endpoint isn't listed any more.
    pub fn record_unlisted(&mut self, pool: &PoolId, build: &Build) {
        let span = self.pools.get_mut(pool);
        if let Some(span) = span.and_then(|builds| builds.get_mut(build)) {
            span.listed = span.listed.saturating_sub(1);
        }
    }

    /// Records that entries may have come and gone since the list was last up to date.
    pub const fn record_gap(&mut self, now: Millis) {
        self.gap = Some(now);
    }

    /// Since when all changes of the list have been seen; none before the first list.
    fn followed_since(&self) -> Option<Millis> {
        self.began.max(self.gap).filter(|_| self.began.is_some())
    }

    /// Earliest time of an archive that tells what was missed: one that was read sooner may be of a
    /// daemon whose list lags.
    pub fn archive_from(&self) -> Option<Millis> {
        let told = self.gap.map(|gap| gap + FRESH_LIST + ARCHIVE_DELAY);
        self.began.max(told).filter(|_| self.began.is_some())
    }

    fn is_followed_for(&self, time: Millis, now: Millis) -> bool {
        let since = self.followed_since();
        since.is_some_and(|since| now.since(since) >= time)
    }

    /// Whether this daemon has followed the list since before other daemons' lists were read that are
    /// fresh.
    pub fn joins_others(&self, now: Millis) -> bool {
        self.is_followed_for(FRESH_LIST + Millis(1), now)
    }

    /// Notes which versions have no endpoints left, and forgets those that left long ago.
    pub fn review(&mut self, now: Millis) {
        for builds in self.pools.values_mut() {
            for span in builds.values_mut().filter(|span| span.listed == 0) {
                span.until.get_or_insert(now);
            }
            builds.retain(|_, span| span.is_recent(now));
        }
    }

    /// The versions of a pool at which streams may have begun that still live.
    pub fn recent(&self, pool: &PoolId, now: Millis) -> impl Iterator<Item = &Build> {
        let builds = self.pools.get(pool).into_iter().flatten();
        let recent = builds.filter(move |(_, span)| span.is_recent(now));
        recent.map(|(build, _)| build)
    }

    /// All versions that serve or served lately.
    pub fn all(&self, now: Millis) -> impl Iterator<Item = (&PoolId, &Build)> {
        let pools = self.pools.keys();
        pools.flat_map(move |pool| self.recent(pool, now).map(move |build| (pool, build)))
    }

    /// Whether streams may have begun at several versions of one pool.
    pub fn has_several(&self, now: Millis) -> bool {
        let mut pools = self.pools.keys();
        pools.any(|pool| self.recent(pool, now).nth(1).is_some())
    }

    /// The versions of a pool that were listed so lately that no stream begins there yet.
    pub fn new_builds(&self, pool: &PoolId, now: Millis) -> Vec<Build> {
        let builds = self.pools.get(pool).into_iter().flatten();
        let new = builds.filter(|(_, span)| span.is_new(now));
        new.map(|(build, _)| build.clone()).collect()
    }

    /// Time since a version was listed at which streams would not begin yet, if others could take
    /// its share; none for one that isn't new.
    pub fn new_for(&self, pool: &PoolId, build: &Build, now: Millis) -> Option<Millis> {
        let span = self.pools.get(pool)?.get(build)?;
        let since = span.since.filter(|_| span.is_new(now));
        since.map(|since| now.since(since))
    }

    /// What this daemon knows by its own list.
    pub fn evidence(&self, now: Millis) -> BuildEvidence {
        let recent = self
            .all(now)
            .map(|(pool, build)| RecentBuild::new(pool, build));
        let knows_all = self.is_first_confirmed && self.began.is_some() && self.gap.is_none();
        BuildEvidence {
            is_complete: knows_all || self.is_followed_for(STREAM_LIFETIME, now),
            recent: recent.collect(),
        }
    }
}
