//! All members known here, and how news of one is merged.
//!
//! News of one process is ordered by its heartbeat number, which only the
//! process itself raises; at the same number doubt goes before trust, so a
//! doubt spreads until its subject answers it with a higher number. The
//! processes of one name are ordered by epoch and incarnation, and a name
//! never goes back to an earlier one.

use std::collections::{BTreeMap, HashMap, VecDeque};

use crate::clock::Millis;
use crate::ids::{DaemonId, Generation, Incarnation};
use crate::wire::Change;

use super::member::{Announced, Liveness, Member};
use super::settings::MAX_FORMER;

/// A member and what this daemon alone knows of it.
#[derive(Clone, PartialEq, Debug)]
pub(super) struct Entry {
    /// What is known.
    pub member: Member,
    /// When its present doubt began.
    pub since: Millis,
    /// Whether its address has refused a connection, here or at the one who told.
    pub refused: bool,
}

/// What news of a member did.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum Merged {
    /// No member has this incarnation.
    Unknown,
    /// An earlier process of a known name, or one that is forgotten.
    Former,
    /// The sender knows less than this daemon.
    Older,
    /// Nothing new.
    Same,
    /// A process not known before.
    Joined,
    /// News of a known process.
    Newer,
    /// The sender believes it gone and this daemon doesn't.
    Contested,
    /// It is about this daemon, and doubts it.
    Doubted,
    /// Another process has this daemon's name; whether it is later.
    Rival(bool),
}

/// Members by name.
#[derive(Clone, Debug)]
pub(super) struct Table {
    own: DaemonId,
    entries: BTreeMap<DaemonId, Entry>,
    names: HashMap<Incarnation, DaemonId>,
    former: VecDeque<Incarnation>,
    version: u64,
}

impl Table {
    pub fn new(own: Member, now: Millis) -> Self {
        let mut table = Self {
            own: own.daemon.clone(),
            entries: BTreeMap::new(),
            names: HashMap::new(),
            former: VecDeque::new(),
            version: 0,
        };
        table.insert(own, now);
        table
    }

    fn insert(&mut self, member: Member, now: Millis) {
        let name = member.daemon.clone();
        let entry = Entry {
            since: now,
            refused: false,
            member,
        };
        self.names.insert(entry.member.incarnation, name.clone());
        if let Some(old) = self.entries.insert(name, entry) {
            self.retire(old.member.incarnation);
        }
        self.version += 1;
    }

    fn retire(&mut self, incarnation: Incarnation) {
        self.names.remove(&incarnation);
        self.former.push_back(incarnation);
        if self.former.len() > MAX_FORMER {
            self.former.pop_front();
        }
    }

    /// Rises with each change of any member.
    pub const fn version(&self) -> u64 {
        self.version
    }

    pub fn own(&self) -> &Member {
        &self.entries[&self.own].member
    }

    /// Changes this daemon's own member, and raises its heartbeat number.
    pub fn change_own(&mut self, change: impl FnOnce(&mut Member)) {
        self.version += 1;
        if let Some(entry) = self.entries.get_mut(&self.own) {
            change(&mut entry.member);
            entry.member.heartbeat += 1;
        }
    }

    /// Sets what doesn't raise the heartbeat number.
    pub fn set_generation(&mut self, incarnation: Incarnation, generation: Generation) -> bool {
        let Some(entry) = self.get_mut(incarnation) else {
            return false;
        };
        let raised = entry.member.generation < generation;
        if raised {
            entry.member.generation = generation;
            self.version += 1;
        }
        raised
    }

    pub fn get(&self, incarnation: Incarnation) -> Option<&Entry> {
        self.entries.get(self.names.get(&incarnation)?)
    }

    pub fn get_mut(&mut self, incarnation: Incarnation) -> Option<&mut Entry> {
        self.entries.get_mut(self.names.get(&incarnation)?)
    }

    pub fn named(&self, daemon: &DaemonId) -> Option<&Entry> {
        self.entries.get(daemon)
    }

    /// All, in the order of their names.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// All but this daemon.
    pub fn others(&self) -> impl Iterator<Item = &Entry> {
        self.entries
            .values()
            .filter(|e| e.member.daemon != self.own)
    }

    /// Others that aren't gone.
    pub fn peers(&self) -> impl Iterator<Item = &Entry> {
        self.others().filter(|e| !e.member.is_gone())
    }

    /// How many aren't gone, with this daemon.
    pub fn size(&self) -> usize {
        self.peers().count() + 1
    }

    pub fn is_former(&self, incarnation: Incarnation) -> bool {
        self.former.contains(&incarnation)
    }

    /// Notes that a message of this process has arrived.
    pub fn contact(&mut self, incarnation: Incarnation) {
        if let Some(entry) = self.get_mut(incarnation) {
            entry.refused = false;
        }
    }

    /// Sets a doubt; false if the member has it already or isn't known.
    pub fn doubt(&mut self, incarnation: Incarnation, liveness: Liveness, now: Millis) -> bool {
        let Some(entry) = self.get_mut(incarnation) else {
            return false;
        };
        if entry.member.liveness == liveness {
            return false;
        }
        entry.member.liveness = liveness;
        entry.since = now;
        self.version += 1;
        true
    }

    /// Starts every suspicion anew, after a pause of this daemon.
    pub fn restart_doubts(&mut self, now: Millis) {
        for entry in self.entries.values_mut() {
            if entry.member.liveness == Liveness::Suspect {
                entry.since = now;
            }
        }
    }

    pub fn forget(&mut self, daemon: &DaemonId) {
        if let Some(entry) = self.entries.remove(daemon) {
            self.retire(entry.member.incarnation);
            self.version += 1;
        }
    }

    /// Merges news of a known member.
    pub fn merge(&mut self, change: &Change, now: Millis) -> Merged {
        let incarnation = Incarnation(change.incarnation);
        let own = self.own().incarnation == incarnation;
        let Some(entry) = self.get_mut(incarnation) else {
            return match self.is_former(incarnation) {
                true => Merged::Former,
                false => Merged::Unknown,
            };
        };
        if own {
            return merge_own(&entry.member, change);
        }
        let merged = merge_other(entry, change, now);
        if matches!(merged, Merged::Newer | Merged::Contested) {
            self.version += 1;
        }
        merged
    }

    /// Merges a member in full.
    pub fn merge_member(&mut self, member: Member, now: Millis) -> Merged {
        if let Some(entry) = self.get_mut(member.incarnation) {
            entry.member.epoch = entry.member.epoch.max(member.epoch);
            return self.merge(&member.change(false), now);
        }
        let known = self.entries.get(&member.daemon).map(|e| e.member.order());
        let later = known.is_none_or(|order| order < member.order());
        if member.daemon == self.own {
            return Merged::Rival(later);
        }
        let forgotten = known.is_none() && self.is_former(member.incarnation);
        if !later || forgotten {
            return Merged::Former;
        }
        self.insert(member, now);
        Merged::Joined
    }
}

fn merge_own(own: &Member, change: &Change) -> Merged {
    let doubted = change.liveness() != Liveness::Alive && change.beat >= own.heartbeat;
    if doubted || change.beat > own.heartbeat {
        return Merged::Doubted;
    }
    match change.beat < own.heartbeat {
        true => Merged::Older,
        false => Merged::Same,
    }
}

fn merge_other(entry: &mut Entry, change: &Change, now: Millis) -> Merged {
    let member = &mut entry.member;
    if change.beat < member.heartbeat {
        return Merged::Older;
    }
    let later = change.beat > member.heartbeat;
    if later {
        member.heartbeat = change.beat;
        member.announced = change.announced();
        member.ready = change.ready();
        member.liveness = Liveness::Alive;
    }
    if member.announced == Announced::Left {
        entry.since = if later { now } else { entry.since };
        return if later { Merged::Newer } else { Merged::Same };
    }
    match (change.liveness(), member.liveness) {
        (Liveness::Alive, Liveness::Alive) if later => Merged::Newer,
        (Liveness::Alive, Liveness::Alive) => Merged::Same,
        (Liveness::Alive, _) => Merged::Older,
        (Liveness::Suspect, Liveness::Alive) => {
            member.liveness = Liveness::Suspect;
            entry.refused |= change.refused();
            entry.since = now;
            Merged::Newer
        }
        (Liveness::Gone, Liveness::Alive) => Merged::Contested,
        (_, Liveness::Suspect | Liveness::Gone) => Merged::Same,
    }
}
