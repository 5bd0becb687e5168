//! Probes under way, and whom to probe next.

use std::collections::{BTreeSet, VecDeque};

use rand::RngExt;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;

use crate::clock::Millis;
use crate::ids::{DaemonId, Incarnation};

use super::settings::Settings;

/// Who asked for a probe in its stead, and under what number.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(super) struct Asker {
    /// The one who asked.
    pub incarnation: Incarnation,
    /// Its number.
    pub ping: u32,
}

/// A probe that hasn't been answered.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(super) struct Probe {
    /// Its number, never zero.
    pub ping: u32,
    /// The member probed.
    pub target: Incarnation,
    /// This daemon's heartbeat number when it was sent.
    pub beat: u32,
    /// Whether it carried the digest of this daemon's table.
    pub compared: bool,
    /// When it was sent.
    sent: Millis,
    /// Whether others have been asked.
    indirect: bool,
    /// Set if it is made in another's stead.
    pub asker: Option<Asker>,
}

/// What has become due.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(super) enum Due {
    /// Ask others to probe the target.
    Indirect(Probe),
    /// The probe has failed.
    Failed(Probe),
}

/// Probes under way, and whom to probe next.
#[derive(Clone, Default, Debug)]
pub(super) struct Probes {
    last: u32,
    pending: Vec<Probe>,
    ring: Vec<Incarnation>,
    checks: VecDeque<Incarnation>,
}

impl Probes {
    /// Begins a probe, and returns its number.
    pub fn begin(
        &mut self,
        target: Incarnation,
        beat: u32,
        asker: Option<Asker>,
        now: Millis,
    ) -> u32 {
        self.last = self.last.wrapping_add(1).max(1);
        self.pending.push(Probe {
            ping: self.last,
            target,
            beat,
            compared: false,
            sent: now,
            indirect: asker.is_some(),
            asker,
        });
        self.last
    }

    /// Begins a probe that carries the digest of this daemon's table, and returns its number.
    pub fn begin_compare(&mut self, target: Incarnation, beat: u32, now: Millis) -> u32 {
        let ping = self.begin(target, beat, None, now);
        if let Some(probe) = self.pending.last_mut() {
            probe.compared = true;
        }
        ping
    }

    /// Ends a probe that was answered.
    pub fn end(&mut self, ping: u32) -> Option<Probe> {
        let at = self.pending.iter().position(|probe| probe.ping == ping)?;
        Some(self.pending.swap_remove(at))
    }

    /// Whether the member is being probed.
    pub fn probing(&self, target: Incarnation) -> bool {
        self.pending
            .iter()
            .any(|probe| probe.target == target && probe.asker.is_none())
    }

    /// Forgets probes under way, since after a pause their silence says nothing.
    pub fn clear(&mut self) {
        self.pending.clear();
    }

    /// Asks for a probe before others' turn.
    pub fn check(&mut self, target: Incarnation) {
        if !self.checks.contains(&target) {
            self.checks.push_back(target);
        }
    }

    /// The next member to probe before others' turn.
    pub fn next_check(&mut self) -> Option<Incarnation> {
        self.checks.pop_front()
    }

    /// The next member to probe in turn; `peers` gives all when a new turn begins.
    pub fn next(
        &mut self,
        rng: &mut Pcg64Mcg,
        peers: impl FnOnce() -> Vec<Incarnation>,
    ) -> Option<Incarnation> {
        if self.ring.is_empty() {
            self.ring = peers();
            self.ring.shuffle(rng);
        }
        self.ring.pop()
    }

    /// Takes a new member among `members` into the present turn, at a random place.
    pub fn enter(&mut self, incarnation: Incarnation, members: usize, rng: &mut Pcg64Mcg) {
        let at = rng.random_range(0..=members);
        if at <= self.ring.len() {
            self.ring.insert(at, incarnation);
        }
    }

    /// What has become due; failed probes are forgotten. Where the address `refused`, others are asked at once and waited for less long.
    pub fn due(
        &mut self,
        settings: &Settings,
        refused: impl Fn(Incarnation) -> bool,
        now: Millis,
    ) -> Vec<Due> {
        let mut due = Vec::new();
        let mut kept = Vec::with_capacity(self.pending.len());
        for mut probe in self.pending.drain(..) {
            let waited = now.since(probe.sent);
            let refused = refused(probe.target);
            if waited >= settings.probe || refused && waited >= settings.direct {
                due.push(Due::Failed(probe));
                continue;
            }
            if (refused || waited >= settings.direct) && !probe.indirect {
                probe.indirect = true;
                due.push(Due::Indirect(probe.clone()));
            }
            kept.push(probe);
        }
        self.pending = kept;
        due
    }
}

/// A farewell on its way: who has acknowledged it.
#[derive(Clone, Debug)]
pub(super) struct Farewell {
    /// The heartbeat number that says it.
    pub beat: u32,
    /// When it began.
    pub since: Millis,
    /// Who has acknowledged it.
    pub heard: BTreeSet<DaemonId>,
    /// Whether this process is about to exit.
    pub last: bool,
}
