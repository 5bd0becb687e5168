//! The table of known members, and how updates are merged into it.
//!
//! Updates about one process are ordered by its heartbeat number, which only the
//! process itself raises. At equal numbers a suspicion takes precedence, so it
//! spreads until the process refutes it with a higher number. The processes of
//! one name are ordered by epoch and incarnation, and a name never goes back to
//! an earlier process.

use std::collections::{BTreeMap, HashMap, VecDeque};

use crate::clock::Millis;
use crate::ids::{DaemonId, Generation, Incarnation};
use crate::wire::Change;

use super::member::{Announced, Liveness, Member};
use super::settings::MAX_FORMER;

/// A member, and local information about it.
#[derive(Clone, PartialEq, Debug)]
pub(super) struct Entry {
    /// The member.
    pub member: Member,
    /// When it became suspect, gone or left; initially when it was added.
    pub since: Millis,
    /// Whether its address has refused a connection, from this daemon or the sender of the suspicion.
    pub refused: bool,
}

/// The result of merging an update about a member.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum Merged {
    /// No member has this incarnation.
    Unknown,
    /// It is about an earlier process of a known name, or a forgotten one.
    Former,
    /// The sender's information is older than this daemon's.
    Older,
    /// It contained nothing new.
    Same,
    /// A new process was added.
    Joined,
    /// A known process was updated.
    Newer,
    /// The sender considers the member gone, and this daemon doesn't.
    Contested,
    /// It suspects this daemon, or has a higher heartbeat number for it.
    SelfSuspected,
    /// Another process has this daemon's name; the value is whether that process is later.
    NameTaken(bool),
}

/// Known members by name.
#[derive(Clone, Debug)]
pub(super) struct Table {
    own: DaemonId,
    entries: BTreeMap<DaemonId, Entry>,
    names: HashMap<Incarnation, DaemonId>,
    /// Replaced and forgotten incarnations, oldest first.
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

    /// Adds a process, which replaces an earlier one of its name.
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

    /// Remembers an incarnation as a former one.
    fn retire(&mut self, incarnation: Incarnation) {
        self.names.remove(&incarnation);
        self.former.push_back(incarnation);
        if self.former.len() > MAX_FORMER {
            self.former.pop_front();
        }
    }

    /// Increases with each change of any member.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// This daemon's own member.
    pub fn own(&self) -> &Member {
        &self.entries[&self.own].member
    }

    /// Changes this daemon's own member, and increments its heartbeat number.
    pub fn change_own(&mut self, change: impl FnOnce(&mut Member)) {
        self.version += 1;
        if let Some(entry) = self.entries.get_mut(&self.own) {
            change(&mut entry.member);
            entry.member.heartbeat += 1;
        }
    }

    /// Raises a member's generation, without a new heartbeat number; returns whether it was lower before.
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

    /// The member with this incarnation.
    pub fn get(&self, incarnation: Incarnation) -> Option<&Entry> {
        self.entries.get(self.names.get(&incarnation)?)
    }

    pub fn get_mut(&mut self, incarnation: Incarnation) -> Option<&mut Entry> {
        self.entries.get_mut(self.names.get(&incarnation)?)
    }

    /// The member with this name.
    pub fn by_name(&self, daemon: &DaemonId) -> Option<&Entry> {
        self.entries.get(daemon)
    }

    /// All members, in the order of their names.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// All members except this daemon.
    pub fn others(&self) -> impl Iterator<Item = &Entry> {
        self.entries
            .values()
            .filter(|e| e.member.daemon != self.own)
    }

    /// All members except this daemon and gone ones.
    pub fn peers(&self) -> impl Iterator<Item = &Entry> {
        self.others().filter(|e| !e.member.is_gone())
    }

    /// Number of members that aren't gone, this daemon included.
    pub fn size(&self) -> usize {
        self.peers().count() + 1
    }

    /// Whether the incarnation was replaced or forgotten.
    pub fn is_former(&self, incarnation: Incarnation) -> bool {
        self.former.contains(&incarnation)
    }

    /// Records that a message from this process was received.
    pub fn record_contact(&mut self, incarnation: Incarnation) {
        if let Some(entry) = self.get_mut(incarnation) {
            entry.refused = false;
        }
    }

    /// Sets the liveness of a member; returns false if it has it already or isn't known.
    pub fn set_liveness(
        &mut self,
        incarnation: Incarnation,
        liveness: Liveness,
        now: Millis,
    ) -> bool {
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

    /// Restarts the timeouts of all suspicions, after a pause of this daemon.
    pub fn restart_suspicions(&mut self, now: Millis) {
        for entry in self.entries.values_mut() {
            if entry.member.liveness == Liveness::Suspect {
                entry.since = now;
            }
        }
    }

    /// Removes a member.
    pub fn forget(&mut self, daemon: &DaemonId) {
        if let Some(entry) = self.entries.remove(daemon) {
            self.retire(entry.member.incarnation);
            self.version += 1;
        }
    }

    /// Merges the short encoding of a member.
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

    /// Merges a member from its full encoding.
    pub fn merge_member(&mut self, member: Member, now: Millis) -> Merged {
        if let Some(entry) = self.get_mut(member.incarnation) {
            entry.member.epoch = entry.member.epoch.max(member.epoch);
            return self.merge(&member.change(false), now);
        }
        let known = self.entries.get(&member.daemon).map(|e| e.member.order());
        let later = known.is_none_or(|order| order < member.order());
        if member.daemon == self.own {
            return Merged::NameTaken(later);
        }
        let forgotten = known.is_none() && self.is_former(member.incarnation);
        if !later || forgotten {
            return Merged::Former;
        }
        self.insert(member, now);
        Merged::Joined
    }
}

/// Merges an update about this daemon, which changes nothing here.
fn merge_own(own: &Member, change: &Change) -> Merged {
    let suspected = change.liveness() != Liveness::Alive && change.beat >= own.heartbeat;
    if suspected || change.beat > own.heartbeat {
        return Merged::SelfSuspected;
    }
    match change.beat < own.heartbeat {
        true => Merged::Older,
        false => Merged::Same,
    }
}

/// Merges an update about another member.
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
