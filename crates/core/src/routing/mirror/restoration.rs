//! What a copy keeps when the platform's store is restored from a copy of its own.
//!
//! The store then lacks its latest changes, or has objects as they were before.
//! Of two versions of an object from different eras, the newer one is known by
//! what its writer counts, its [`Mark`]. What was lost is written again by its
//! writers, within a time that depends on who they are: [`Missing`].

use std::collections::BTreeMap;

use derive_more::Debug;

use super::{Change, Mirror, Object, REMOVAL_GRACE, Update};
use crate::clock::Millis;
use crate::routing::config::Version;
use crate::routing::endpoint::StartTime;
use crate::routing::revision::{Era, Revision};

/// Time in which operators write again what a restoration has lost.
pub const REWRITE_PERIOD: Millis = Millis::from_secs(10);
/// Time after a restoration in which entries of endpoints that had ended are still listed: they
/// expire after three missed heartbeats.
pub const LEFTOVER_PERIOD: Millis = Millis::from_secs(8);

/// How far the writer of an object had come when it wrote it. Comparable across restorations.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Debug)]
pub enum Mark {
    /// A configuration's version.
    Version(Version),
    /// An endpoint's entry.
    Entry {
        /// Start time of the endpoint, if it reports one.
        started: Option<StartTime>,
        /// Whether it had said that it leaves, which no instance takes back.
        leaving: bool,
        /// Number of the write, counted by the endpoint since its start.
        seq: u64,
    },
}

impl Mark {
    /// Whether both were written by the same run of their writer.
    fn is_same_writer(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Version(_), Self::Version(_)) => true,
            (Self::Entry { started, .. }, Self::Entry { started: other, .. }) => started == other,
            _ => false,
        }
    }
}

/// What becomes of a known object that the restored store lacks.
#[derive(Clone, Copy, PartialEq, Eq, Default)]
#[derive(Debug)]
pub enum Missing {
    /// It is removed as after an outage: its writer, an endpoint, lists itself again soon.
    #[default]
    Expires,
    /// It is removed unless operators write it again in time.
    Rewritten,
    /// It is kept, until it is removed in the new era.
    Kept,
    /// It is dropped from the copy without being reported as removed: daemons write it again.
    Forgotten,
}

/// How the objects of a kind are treated when the store is restored.
#[derive(Clone, Copy)]
#[derive(Debug)]
pub struct Restoration {
    /// Decodes the mark of an object; `None` if it has none.
    #[debug(skip)]
    pub mark: fn(&Object) -> Option<Mark>,
    /// What becomes of objects that the store lacks.
    pub missing: Missing,
}

impl Default for Restoration {
    fn default() -> Self {
        Self {
            mark: |_| None,
            missing: Missing::default(),
        }
    }
}

/// Effect of the last restoration on a copy.
#[derive(Clone, Copy, PartialEq, Eq, Default)]
#[derive(Debug)]
pub struct Restored {
    /// When it was learnt.
    pub at: Millis,
    /// Objects of which a newer version was known than the store has.
    pub kept: usize,
    /// Known objects that the store lacks.
    pub missing: usize,
    /// Objects that were known to be removed, and that the store has again.
    pub withheld: usize,
}

/// Entries of endpoints that had ended before the restoration, until when each is withheld.
pub(super) type Withheld = BTreeMap<String, (Millis, Object)>;

impl Mirror {
    /// Sets how objects are treated when the store is restored.
    pub const fn with_restoration(mut self, restoration: Restoration) -> Self {
        self.restoration = restoration;
        self
    }

    /// Effect of the last restoration; `None` before the first one.
    pub const fn restored(&self) -> Option<Restored> {
        self.restored
    }

    /// Era that the copy has reached.
    pub fn era(&self) -> Option<Era> {
        self.revision.map(|revision| revision.era)
    }

    /// Begins an era with the first list of it; returns the list's other changes, of objects that
    /// aren't withheld.
    pub(super) fn begin_era(&mut self, update: Update, now: Millis) -> Update {
        self.recovered = Some(now);
        self.withheld.clear();
        self.restored = Some(Restored {
            at: now,
            ..Restored::default()
        });
        self.compacted = update.revision;
        let (withheld, changes): (Vec<Change>, Vec<Change>) = update
            .changes
            .into_iter()
            .partition(|change| self.is_leftover(change));
        for change in withheld {
            if let Change::Put(object) = change {
                let until = now + LEFTOVER_PERIOD;
                self.withheld.insert(object.name.clone(), (until, object));
            }
        }
        self.count_restored(|restored, mirror| restored.withheld = mirror.withheld.len());
        Update { changes, ..update }
    }

    /// Whether an object was known to be removed before the restoration, and hasn't been written since.
    fn is_leftover(&self, change: &Change) -> bool {
        let Change::Put(object) = change else {
            return false;
        };
        let is_expiring = self.restoration.missing == Missing::Expires;
        let removed = self.removed.get(&object.name);
        let is_removed = removed.is_some_and(|removal| {
            let marks = removal.mark.zip(self.mark(object));
            marks.is_none_or(|(known, listed)| listed <= known)
        });
        is_expiring && is_removed && !self.objects.contains_key(&object.name)
    }

    /// Objects that are no longer withheld.
    pub(super) fn release(&mut self, now: Millis) -> Vec<Object> {
        let due = |_: &String, (until, _): &mut (Millis, Object)| *until <= now;
        let due = self.withheld.extract_if(.., due);
        due.map(|(_, (_, object))| object).collect()
    }

    /// Removes an object of an earlier era that the store lacks, now or later.
    pub(super) fn remove_missing(
        &mut self,
        name: String,
        revision: Revision,
        now: Millis,
    ) -> Option<Change> {
        self.count_restored(|restored, _| restored.missing += 1);
        // Its writers have their time anew after each restoration.
        if let Some((_, at)) = self.pending.get(&name)
            && at.era < revision.era
        {
            self.pending.remove(&name);
        }
        match self.restoration.missing {
            Missing::Expires => return self.remove(name, revision, now),
            Missing::Rewritten => {
                let until = now + REWRITE_PERIOD;
                self.pending.entry(name).or_insert((until, revision));
            }
            Missing::Kept => {}
            Missing::Forgotten => {
                self.objects.remove(&name);
            }
        }
        None
    }

    /// Takes from a source of an earlier era what it knows better by its own mark, or what the store
    /// lacks and its writers will write again.
    pub(super) fn merge_earlier(&mut self, changes: Vec<Change>, now: Millis) -> Vec<Change> {
        let puts = changes.into_iter().filter_map(|change| match change {
            Change::Put(object) => Some(object),
            Change::Removed { .. } => None,
        });
        let taken = puts.filter_map(|object| match self.objects.get(&object.name) {
            Some(known) if self.has_newer_mark(&object, known) => {
                let revision = known.revision;
                Some(self.store(Object { revision, ..object }))
            }
            Some(_) => None,
            None => self.put_missing(object, now),
        });
        taken.collect()
    }

    /// Takes an object of an earlier era that this copy lacks, because the store does.
    pub(super) fn put_missing(&mut self, object: Object, now: Millis) -> Option<Change> {
        let wait = match self.restoration.missing {
            Missing::Rewritten => Some(REWRITE_PERIOD),
            Missing::Kept => None,
            Missing::Expires | Missing::Forgotten => return None,
        };
        if self.removed.contains_key(&object.name) {
            return None;
        }
        if let (Some(wait), Some(reached)) = (wait, self.revision) {
            self.pending
                .insert(object.name.clone(), (now + wait, reached));
        }
        Some(self.store(object))
    }

    /// Whether an object is newer than the known one.
    pub(super) fn is_newer(&self, object: &Object, known: &Object, now: Millis) -> bool {
        let (at, known_at) = (object.revision, known.revision);
        if at.era == known_at.era && at != known_at {
            // A write of before the restoration may take effect after it.
            let is_late = self.is_rewriting(now) && self.has_newer_mark(known, object);
            return at > known_at && !is_late;
        }
        if object.spec == known.spec {
            return at > known_at;
        }
        match (self.mark(object), self.mark(known)) {
            (Some(mark), Some(known)) if mark != known => mark > known,
            _ => at > known_at,
        }
    }

    /// Whether objects are still being written again after a restoration.
    fn is_rewriting(&self, now: Millis) -> bool {
        let period = match self.restoration.missing {
            Missing::Expires | Missing::Forgotten => REMOVAL_GRACE,
            Missing::Rewritten | Missing::Kept => REWRITE_PERIOD,
        };
        let restored = self.restored;
        restored.is_some_and(|restored| now.since(restored.at) < period)
    }

    /// Whether the store lists a known object of an earlier era unchanged. Followers are sent the
    /// complete list of a new era, so that this is no change for them either.
    pub(super) fn confirm_listed(&mut self, object: &Object) -> bool {
        let Some(known) = self.objects.get_mut(&object.name) else {
            return false;
        };
        let is_unchanged = known.revision.era < object.revision.era && known.spec == object.spec;
        if is_unchanged {
            known.revision = object.revision;
            self.pending.remove(&object.name);
        }
        is_unchanged
    }

    /// Whether an object is newer than another one by what their common writer says.
    fn has_newer_mark(&self, object: &Object, other: &Object) -> bool {
        let marks = self.mark(object).zip(self.mark(other));
        marks.is_some_and(|(mark, other)| mark.is_same_writer(&other) && mark > other)
    }

    /// How far the writer of an object had come.
    pub(super) fn mark(&self, object: &Object) -> Option<Mark> {
        (self.restoration.mark)(object)
    }

    /// Keeps a known object in place of an older version in the store. From then on it counts as
    /// that version, so that what is written later replaces it.
    pub(super) fn keep_known(&mut self, name: &str, listed: Revision) {
        if let Some(known) = self.objects.get_mut(name)
            && known.revision.era < listed.era
        {
            known.revision = listed;
            self.count_restored(|restored, _| restored.kept += 1);
        }
    }

    fn count_restored(&mut self, count: impl FnOnce(&mut Restored, &Self)) {
        if let Some(mut restored) = self.restored {
            count(&mut restored, self);
            self.restored = Some(restored);
        }
    }
}
