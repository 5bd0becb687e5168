//! A local copy of the platform's objects of one kind, updated from several sources.
//!
//! Sources are the platform itself and the copies of other daemons; they may be
//! ahead of each other and send the same change more than once. Each object and
//! each removal carries the revision of its last change: within an era of the
//! store the higher revision wins, in whatever order they arrive. What holds when
//! the store goes back is in [`restoration`].
//!
//! Entries of endpoints expire while the platform is unavailable, although the
//! endpoints are still running. After such an outage a removal is delayed by
//! [`REMOVAL_GRACE`], in which a running endpoint lists itself again. Objects that
//! operators write don't expire.

mod freshness;
pub mod restoration;
mod update;

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

use bytes::Bytes;
use derive_more::Debug;

use self::restoration::{Mark, Restoration, Restored, Withheld};
use self::update::last_of_each;
pub use self::update::{Change, Update};
use crate::clock::Millis;
use crate::routing::revision::Revision;

/// How long removals are delayed after an outage of the platform: according to the platform's
/// operators, running endpoints list themselves again within about two seconds.
pub const REMOVAL_GRACE: Millis = Millis(2000);
/// Minimum number of removals that are kept for daemons whose copies lag; at most as many as there
/// are objects, since a complete list is shorter then.
const MIN_REMOVALS: usize = 1024;

/// Age of a copy from which on a complete list may hide that objects came and went since.
const MAX_GAP: Millis = Millis(1000);

/// An object of the platform.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub struct Object {
    /// Its name within its kind.
    pub name: String,
    /// The platform's revision of its last change.
    pub revision: Revision,
    /// Its contents, as encoded by the platform.
    #[debug("{} bytes", spec.len())]
    pub spec: Bytes,
}

/// The local copy.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct Mirror {
    /// Whether its objects stay until they are explicitly removed, instead of expiring.
    is_persistent: bool,
    revision: Option<Revision>,
    objects: BTreeMap<String, Object>,
    /// Latest removals: the revision and the object's name.
    removals: VecDeque<(Revision, String)>,
    /// The latest removal of each name in `removals`.
    removed: HashMap<String, Removal>,
    /// Removals up to this revision are no longer all in `removals`.
    compacted: Revision,
    /// Delayed removals: when each takes effect, and the revision of the removal.
    pending: BTreeMap<String, (Millis, Revision)>,
    /// When the copy was last known to be up to date.
    confirmed: Option<Millis>,
    /// When objects may last have come and gone unseen.
    missed: Option<Millis>,
    /// Revision since which none have.
    followed: Option<Revision>,
    /// Since when calls to the platform fail, and when the last one failed, here or at a source.
    outage: Option<(Millis, Millis)>,
    /// When the platform was last reached again after an outage.
    recovered: Option<Millis>,
    restoration: Restoration,
    restored: Option<Restored>,
    withheld: Withheld,
}

/// The latest removal of an object.
#[derive(Clone, Copy, Default)]
#[derive(Debug)]
struct Removal {
    revision: Revision,
    /// Mark of the object that was removed.
    mark: Option<Mark>,
    /// How often its name is among the latest removals.
    count: usize,
}

impl Mirror {
    /// A copy of objects that don't expire.
    pub fn persistent() -> Self {
        Self {
            is_persistent: true,
            ..Self::default()
        }
    }

    /// The revision that it has reached; none before the first list.
    pub const fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// All objects.
    pub fn objects(&self) -> impl Iterator<Item = &Object> {
        self.objects.values()
    }

    /// An object by its name.
    pub fn get(&self, name: &str) -> Option<&Object> {
        self.objects.get(name)
    }

    /// Applies an update that was up to date at `confirmed`, if that is known; returns the changes
    /// to this copy.
    pub fn apply(&mut self, update: Update, confirmed: Option<Millis>, now: Millis) -> Vec<Change> {
        let era = update.revision.era;
        let update = match self.era() {
            Some(reached) if era < reached => return self.merge_earlier(update.changes, now),
            // What the store has lost isn't among its changes.
            Some(reached) if era > reached && !update.complete => return Vec::new(),
            Some(reached) if era > reached => self.begin_era(update, now),
            _ => update,
        };
        let is_late = self.age(now).is_some_and(|age| age >= MAX_GAP);
        let is_restored = self.era().is_some_and(|reached| era != reached);
        if update.complete && (is_late || is_restored) {
            self.missed = Some(now);
        }
        if update.complete {
            self.followed = self.followed.max(Some(update.revision));
        }
        if let Some(confirmed) = confirmed {
            self.confirm(confirmed, now);
        }
        self.merge(update, now)
    }

    /// When objects may last have come and gone that this copy never had.
    pub const fn missed(&self) -> Option<Millis> {
        self.missed
    }

    /// Revision since which no object has come and gone that this copy never had; none before the
    /// first list.
    pub const fn followed(&self) -> Option<Revision> {
        self.followed
    }

    fn merge(&mut self, update: Update, now: Millis) -> Vec<Change> {
        let mut changed = Vec::new();
        if update.complete {
            changed.extend(self.remove_unlisted(&update, now));
        }
        let (revision, is_list) = (update.revision, update.complete);
        for change in last_of_each(update.changes) {
            changed.extend(match change {
                Change::Put(object) if is_list && self.confirm_listed(&object) => None,
                Change::Put(object) if !is_list && self.lacked(&object) => None,
                Change::Put(object) => self.put(object, now),
                Change::Removed { name, revision } => self.remove(name, revision, now),
            });
        }
        if update.complete && self.revision.is_none() {
            self.compacted = revision;
        }
        self.revision = self.revision.max(Some(revision));
        changed
    }

    /// Whether an object had been removed by the first list, or so long ago that its removal isn't
    /// kept: another copy that lags behind may still have it.
    fn lacked(&self, object: &Object) -> bool {
        let at = object.revision;
        let is_old = at <= self.compacted && Some(at.era) == self.era();
        is_old && !self.objects.contains_key(&object.name)
    }

    /// Applies delayed removals that are due; returns them.
    pub fn tick(&mut self, now: Millis) -> Vec<Change> {
        let due = |(name, (until, at)): (&String, &(Millis, Revision))| {
            (*until <= now).then(|| (name.clone(), *at))
        };
        let due: Vec<(String, Revision)> = self.pending.iter().filter_map(due).collect();
        let drop = |(name, at)| self.drop_object(name, at);
        let mut changes: Vec<Change> = due.into_iter().map(drop).collect();
        for object in self.release(now) {
            changes.push(self.store(object));
        }
        changes
    }

    /// The changes since a revision; a complete list if they aren't all known, or if the revision is
    /// one of another era.
    pub fn since(&self, revision: Option<Revision>) -> Option<Update> {
        let reached = self.revision?;
        let after = revision.filter(|after| after.era == reached.era && *after >= self.compacted);
        let newer = |at: Revision| after.is_none_or(|revision| at > revision);
        // An object of an earlier era isn't in the store, so that the other copy may lack it.
        let puts = self
            .objects
            .values()
            .filter(|object| newer(object.revision) || object.revision.era < reached.era);
        let mut changes: Vec<Change> = puts.cloned().map(Change::Put).collect();
        if after.is_some() {
            // A delayed removal has a revision that the other copy may have passed already. An
            // object that exists again is sent as it is now.
            let is_removed = |name: &String| !self.objects.contains_key(name);
            let removals = self.removals.iter().filter(|(_, name)| is_removed(name));
            let removed = removals.filter(|(at, _)| after.is_none_or(|revision| *at >= revision));
            changes.extend(removed.map(|(at, name)| Change::Removed {
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

    fn put(&mut self, object: Object, now: Millis) -> Option<Change> {
        let removed = self.removed.get(&object.name);
        let is_removed = removed.is_some_and(|removal| removal.revision >= object.revision);
        if self
            .pending
            .get(&object.name)
            .is_some_and(|(_, at)| object.revision > *at)
        {
            self.pending.remove(&object.name);
        }
        let withheld = self.withheld.get(&object.name);
        let is_withheld = withheld.is_some_and(|(_, listed)| listed.revision >= object.revision);
        if is_removed || is_withheld {
            return None;
        }
        let Some(known) = self.objects.get(&object.name) else {
            let is_missing = self.era().is_some_and(|era| object.revision.era < era);
            return match is_missing {
                true => self.put_missing(object, now),
                false => Some(self.store(object)),
            };
        };
        if !self.is_newer(&object, known, now) {
            self.keep_known(&object.name, object.revision);
            return None;
        }
        Some(self.store(object))
    }

    fn store(&mut self, object: Object) -> Change {
        self.withheld.remove(&object.name);
        self.objects.insert(object.name.clone(), object.clone());
        Change::Put(object)
    }

    fn remove(&mut self, name: String, revision: Revision, now: Millis) -> Option<Change> {
        let was_withheld = self.withheld.remove(&name).is_some();
        let Some(known) = self.objects.get(&name) else {
            return match was_withheld {
                true => None,
                false => self.remove_unseen(name, revision, now),
            };
        };
        if known.revision > revision {
            return None;
        }
        if let Some(until) = self.grace(now) {
            self.pending.entry(name).or_insert((until, revision));
            return None;
        }
        Some(self.drop_object(name, revision))
    }

    /// Records the removal of an object that came and went between two reads, so that copies that
    /// follow this one learn of it, too.
    fn remove_unseen(&mut self, name: String, revision: Revision, now: Millis) -> Option<Change> {
        // The same removal has a higher revision in a later answer.
        let is_known = self.removed.contains_key(&name) || revision <= self.compacted;
        if is_known || self.is_persistent {
            return None;
        }
        self.missed = Some(now);
        self.followed = self.followed.max(Some(revision));
        self.record_removal(name.clone(), revision, None);
        Some(Change::Removed { name, revision })
    }

    /// Removes the objects that a complete list doesn't contain.
    fn remove_unlisted(&mut self, update: &Update, now: Millis) -> Vec<Change> {
        let puts = update.changes.iter();
        let puts = puts.filter(|change| matches!(change, Change::Put(_)));
        let listed: HashSet<&str> = puts.map(Change::name).collect();
        let names: Vec<String> = self
            .objects
            .keys()
            .filter(|name| !listed.contains(name.as_str()))
            .cloned()
            .collect();
        let remove = |name: String| {
            let known = self.objects.get(&name)?;
            match known.revision.era < update.revision.era {
                true => self.remove_missing(name, update.revision, now),
                false => self.remove(name, update.revision, now),
            }
        };
        names.into_iter().filter_map(remove).collect()
    }

    fn drop_object(&mut self, name: String, revision: Revision) -> Change {
        self.pending.remove(&name);
        let mark = self
            .objects
            .remove(&name)
            .and_then(|known| self.mark(&known));
        let revision = self
            .revision
            .map_or(revision, |reached| reached.max(revision));
        self.record_removal(name.clone(), revision, mark);
        Change::Removed { name, revision }
    }

    /// Keeps a removal for daemons whose copies lag, and drops the oldest ones.
    fn record_removal(&mut self, name: String, revision: Revision, mark: Option<Mark>) {
        let removal = self.removed.entry(name.clone()).or_default();
        removal.revision = revision.max(removal.revision);
        removal.mark = mark;
        removal.count += 1;
        self.removals.push_back((revision, name));
        while self.removals.len() > MIN_REMOVALS.max(self.objects.len())
            && let Some((at, name)) = self.removals.pop_front()
        {
            self.compacted = self.compacted.max(at);
            if let Some(removal) = self.removed.get_mut(&name) {
                removal.count -= 1;
                if removal.count == 0 {
                    self.removed.remove(&name);
                }
            }
        }
    }
}
