//! A copy of the platform's objects of one kind, fed from several sources.
//!
//! Sources are the platform itself and other daemons' copies; they run ahead
//! of each other and repeat themselves. Each object carries the revision of
//! its last change, and so does each removal: the higher one wins, in any
//! order.
//!
//! Entries of endpoints lapse while the platform is away, although what they
//! stand for lives. After such a time a removal waits for [`REMOVAL_GRACE`], in which a
//! living endpoint lists itself again. What operators write doesn't lapse.

use std::collections::{BTreeMap, HashSet, VecDeque};

use bytes::Bytes;
use derive_more::Debug;

use crate::clock::Millis;

/// How long a removal waits after the platform's return: living endpoints are back within about
/// two seconds, as the platform's operators say.
pub const REMOVAL_GRACE: Millis = Millis(2000);
/// After an outage of this length entries may have lapsed: they do after three heartbeats of
/// silence, and one heartbeat is a safe lower bound.
const LAPSE: Millis = Millis(1000);
/// A copy that wasn't known to be up to date for this long has seen an outage, whoever met it.
/// Longer than the platform holds a call for changes and the pause after one (2.4 s together);
/// entries lapse after 3.6 s of silence at the shortest that was seen.
const OUT_OF_DATE: Millis = Millis(2800);
/// Removals that are remembered for daemons that lag.
const REMOVALS: usize = 1024;

/// An object of the platform.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub struct Object {
    /// Its name within its kind.
    pub name: String,
    /// The platform's revision of its last change.
    pub revision: u64,
    /// Its contents, as the platform codes them.
    #[debug("{} bytes", spec.len())]
    pub spec: Bytes,
}

/// One change of an object.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub enum Change {
    /// It was made or replaced.
    Put(Object),
    /// It is gone.
    Removed {
        /// Its name.
        name: String,
        /// A revision at which it was gone.
        revision: u64,
    },
}

/// Time by which a copy has to be newer for its followers to be told at once. An age leaves out the
/// way of its message: copies that follow each other would take each other's word for news, again
/// and again, and never grow old.
const NEWS: Millis = Millis(100);

/// Changes that bring a copy up to a revision.
#[derive(Clone, PartialEq, Eq, Default)]
#[derive(Debug)]
pub struct Update {
    /// Whether these are all objects, so that others are gone.
    pub complete: bool,
    /// The changes.
    pub changes: Vec<Change>,
    /// The revision up to which they reach.
    pub revision: u64,
}

/// The copy.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct Mirror {
    /// Whether its objects stay until someone removes them.
    lasts: bool,
    revision: Option<u64>,
    objects: BTreeMap<String, Object>,
    removals: VecDeque<(u64, String)>,
    /// Removals up to this revision aren't all remembered.
    floor: u64,
    /// Objects that are missing: when they are dropped, and at which revision they were gone.
    missing: BTreeMap<String, (Millis, u64)>,
    /// When the copy was last known to be up to date.
    heard: Option<Millis>,
    /// Since when calls to the platform fail, and when one last did, here or at a source.
    failing: Option<(Millis, Millis)>,
    /// When the platform was last reached after an outage.
    back: Option<Millis>,
}

impl Change {
    /// Name of the object.
    fn name(&self) -> &str {
        match self {
            Self::Put(object) => &object.name,
            Self::Removed { name, .. } => name,
        }
    }
}

/// The last change of each object, in order. The revision of a removal is an upper bound, so that
/// an entry that lapsed and came back within one update would otherwise seem to be gone.
fn last_of_each(changes: Vec<Change>) -> Vec<Change> {
    let mut names = HashSet::new();
    let from_last = changes.iter().rev();
    let is_last: Vec<bool> = from_last
        .map(|change| names.insert(change.name()))
        .collect();
    let judged = changes.into_iter().zip(is_last.into_iter().rev());
    judged
        .filter_map(|(change, is_last)| is_last.then_some(change))
        .collect()
}

impl Mirror {
    /// A copy of objects that don't lapse.
    pub fn persistent() -> Self {
        Self {
            lasts: true,
            ..Self::default()
        }
    }

    /// The revision that it has reached, none before the first list.
    pub const fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// An object by its name.
    pub fn get(&self, name: &str) -> Option<&Object> {
        self.objects.get(name)
    }

    /// Time since it was last known to be up to date, none before the first list.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.heard.map(|heard| now.since(heard))
    }

    /// Whether a copy that was up to date at `heard` is enough newer for followers to be told
    /// before the next beat.
    pub fn should_notify(&self, heard: Millis) -> bool {
        self.heard.is_none_or(|before| heard >= before + NEWS)
    }

    /// Notes that the platform answers again after an outage of this length.
    pub fn platform_recovered(&mut self, outage: Millis, now: Millis) {
        if outage >= LAPSE {
            self.back = Some(now);
        }
    }

    /// Notes that calls to the platform fail, here or at a source.
    pub fn record_failure(&mut self, since: Millis, now: Millis) {
        let (first, _) = self.failing.unwrap_or((since, now));
        self.failing = Some((first.min(since), now));
    }

    /// For how long calls to the platform have failed, none if they don't.
    pub fn outage(&self, now: Millis) -> Option<Millis> {
        self.failing.map(|(first, _)| now.since(first))
    }

    /// Takes an update that was up to date at `heard`, if that is known; returns what changes
    /// here.
    pub fn apply(&mut self, update: Update, heard: Option<Millis>, now: Millis) -> Vec<Change> {
        if let Some(heard) = heard {
            self.hear(heard, now);
        }
        self.take(update, now)
    }

    /// Notes that the copy was up to date at `heard`.
    fn hear(&mut self, heard: Millis, now: Millis) {
        if let Some((first, last)) = self.failing
            && heard > last
        {
            self.failing = None;
            let since = self.heard.map_or(first, |before| before.max(first));
            self.platform_recovered(heard.since(since), now);
        }
        let gap = self
            .heard
            .map_or(Millis::ZERO, |before| heard.since(before));
        if gap >= OUT_OF_DATE && self.grace(now).is_none() {
            self.back = Some(now);
        }
        self.heard = self.heard.max(Some(heard));
    }

    fn take(&mut self, update: Update, now: Millis) -> Vec<Change> {
        let mut changed = Vec::new();
        if update.complete {
            changed.extend(self.remove_others(&update, now));
        }
        let revision = update.revision;
        for change in last_of_each(update.changes) {
            changed.extend(match change {
                Change::Put(object) => self.put(object),
                Change::Removed { name, revision } => self.remove(name, revision, now),
            });
        }
        if update.complete && self.revision.is_none() {
            self.floor = revision;
        }
        self.revision = self.revision.max(Some(revision));
        changed
    }

    /// Drops objects that were missing for too long; returns the removals.
    pub fn tick(&mut self, now: Millis) -> Vec<Change> {
        let due = |(name, (until, at)): (&String, &(Millis, u64))| {
            (*until <= now).then(|| (name.clone(), *at))
        };
        let due: Vec<(String, u64)> = self.missing.iter().filter_map(due).collect();
        let drop = |(name, at)| self.drop_object(name, at);
        due.into_iter().map(drop).collect()
    }

    /// What brings a copy of a revision up to this one.
    pub fn since(&self, revision: Option<u64>) -> Option<Update> {
        let reached = self.revision?;
        let after = revision.filter(|revision| *revision >= self.floor);
        let newer = |at: u64| after.is_none_or(|revision| at > revision);
        let puts = self
            .objects
            .values()
            .filter(|object| newer(object.revision));
        let mut changes: Vec<Change> = puts.cloned().map(Change::Put).collect();
        if after.is_some() {
            // A removal that waited bears a revision that the other copy may have reached before.
            // One that is there again is told as it is now.
            let is_gone = |name: &String| !self.objects.contains_key(name);
            let removals = self.removals.iter().filter(|(_, name)| is_gone(name));
            let gone = removals.filter(|(at, _)| newer(at + 1));
            changes.extend(gone.map(|(at, name)| Change::Removed {
                name: name.clone(),
                revision: *at,
            }));
        }
        Some(Update {
            complete: after.is_none(),
            changes,
            revision: reached,
        })
    }

    fn put(&mut self, object: Object) -> Option<Change> {
        let known = self.objects.get(&object.name);
        let is_old = known.is_some_and(|known| known.revision >= object.revision);
        let same = |(at, name): &(u64, String)| *name == object.name && *at >= object.revision;
        if self
            .missing
            .get(&object.name)
            .is_some_and(|(_, at)| object.revision > *at)
        {
            self.missing.remove(&object.name);
        }
        if is_old || self.removals.iter().any(same) {
            return None;
        }
        self.objects.insert(object.name.clone(), object.clone());
        Some(Change::Put(object))
    }

    fn remove(&mut self, name: String, revision: u64, now: Millis) -> Option<Change> {
        let known = self.objects.get(&name)?;
        if known.revision > revision {
            return None;
        }
        if let Some(until) = self.grace(now) {
            self.missing.entry(name).or_insert((until, revision));
            return None;
        }
        Some(self.drop_object(name, revision))
    }

    /// Removes what a whole list doesn't hold.
    fn remove_others(&mut self, update: &Update, now: Millis) -> Vec<Change> {
        let listed = |name: &String| {
            let same =
                |change: &Change| matches!(change, Change::Put(object) if object.name == *name);
            update.changes.iter().any(same)
        };
        let names: Vec<String> = self
            .objects
            .keys()
            .filter(|name| !listed(name))
            .cloned()
            .collect();
        let remove = |name| self.remove(name, update.revision, now);
        names.into_iter().filter_map(remove).collect()
    }

    fn drop_object(&mut self, name: String, revision: u64) -> Change {
        self.missing.remove(&name);
        self.objects.remove(&name);
        let revision = self
            .revision
            .map_or(revision, |reached| reached.max(revision));
        self.removals.push_back((revision, name.clone()));
        if self.removals.len() > REMOVALS
            && let Some((at, _)) = self.removals.pop_front()
        {
            self.floor = self.floor.max(at);
        }
        Change::Removed { name, revision }
    }

    /// Until when an object that is missing now may be back, none where a removal takes effect at
    /// once.
    pub fn grace(&self, now: Millis) -> Option<Millis> {
        let until = self.back? + REMOVAL_GRACE;
        (now < until && !self.lasts).then_some(until)
    }
}
