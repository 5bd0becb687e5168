//! Unanswered probes, and the choice of the next member to probe.

use std::collections::{BTreeSet, VecDeque};

use rand::RngExt;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;

use crate::clock::Millis;
use crate::ids::{DaemonId, Incarnation};

use super::settings::Settings;

/// The member that requested an indirect probe, and the number of its own probe.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(super) struct Requester {
    /// The requesting member.
    pub incarnation: Incarnation,
    /// The number of its probe.
    pub ping: u32,
}

/// A probe that hasn't been answered.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(super) struct Probe {
    /// The number of the probe, never zero.
    pub ping: u32,
    /// The member probed.
    pub target: Incarnation,
    /// This daemon's heartbeat number when the probe was sent.
    pub heartbeat: u32,
    /// Whether the probe carried the digest of this daemon's table.
    pub has_digest: bool,
    /// When it was sent.
    sent: Millis,
    /// Whether indirect probes were requested, or it is one itself.
    indirect: bool,
    /// The member on whose behalf it is sent, if it is an indirect probe.
    pub requester: Option<Requester>,
}

/// A probe whose direct or final timeout has passed.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(super) enum Due {
    /// Request indirect probes of the target.
    Indirect(Probe),
    /// The probe has failed.
    Failed(Probe),
}

/// Unanswered probes, and the members to probe next.
#[derive(Clone, Default, Debug)]
pub(super) struct Probes {
    /// Number of the latest probe.
    last: u32,
    pending: Vec<Probe>,
    /// Members not yet probed in the current cycle, in random order.
    cycle: Vec<Incarnation>,
    /// Members to probe ahead of the cycle.
    priority: VecDeque<Incarnation>,
}

impl Probes {
    /// Adds a probe, and returns its number.
    pub fn begin(
        &mut self,
        target: Incarnation,
        heartbeat: u32,
        requester: Option<Requester>,
        now: Millis,
    ) -> u32 {
        self.last = self.last.wrapping_add(1).max(1);
        self.pending.push(Probe {
            ping: self.last,
            target,
            heartbeat,
            has_digest: false,
            sent: now,
            indirect: requester.is_some(),
            requester,
        });
        self.last
    }

    /// Adds a probe that carries the digest of this daemon's table, and returns its number.
    pub fn begin_with_digest(&mut self, target: Incarnation, heartbeat: u32, now: Millis) -> u32 {
        let ping = self.begin(target, heartbeat, None, now);
        if let Some(probe) = self.pending.last_mut() {
            probe.has_digest = true;
        }
        ping
    }

    /// Removes an answered probe.
    pub fn end(&mut self, ping: u32) -> Option<Probe> {
        let at = self.pending.iter().position(|probe| probe.ping == ping)?;
        Some(self.pending.swap_remove(at))
    }

    /// Whether this daemon has an unanswered probe of its own to the member.
    pub fn is_probing(&self, target: Incarnation) -> bool {
        self.pending
            .iter()
            .any(|probe| probe.target == target && probe.requester.is_none())
    }

    /// Removes all unanswered probes, since after a pause a missing answer is no evidence.
    pub fn clear(&mut self) {
        self.pending.clear();
    }

    /// Schedules a probe of the member ahead of the cycle.
    pub fn probe_soon(&mut self, target: Incarnation) {
        if !self.priority.contains(&target) {
            self.priority.push_back(target);
        }
    }

    /// The next member to probe ahead of the cycle.
    pub fn next_priority(&mut self) -> Option<Incarnation> {
        self.priority.pop_front()
    }

    /// The next member to probe in the cycle; `peers` returns all members when a new cycle begins.
    pub fn next(
        &mut self,
        rng: &mut Pcg64Mcg,
        peers: impl FnOnce() -> Vec<Incarnation>,
    ) -> Option<Incarnation> {
        if self.cycle.is_empty() {
            self.cycle = peers();
            self.cycle.shuffle(rng);
        }
        self.cycle.pop()
    }

    /// Inserts a new member into the cycle at a random position; `members` is the size of the fleet.
    pub fn insert(&mut self, incarnation: Incarnation, members: usize, rng: &mut Pcg64Mcg) {
        let at = rng.random_range(0..=members);
        if at <= self.cycle.len() {
            self.cycle.insert(at, incarnation);
        }
    }

    /// Returns probes that are due, and removes failed ones. If the target's address `refused` a connection, indirect
    /// probes are due at once and the probe fails earlier.
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
            if waited >= settings.probe_timeout || refused && waited >= settings.direct_timeout {
                due.push(Due::Failed(probe));
                continue;
            }
            if (refused || waited >= settings.direct_timeout) && !probe.indirect {
                probe.indirect = true;
                due.push(Due::Indirect(probe.clone()));
            }
            kept.push(probe);
        }
        self.pending = kept;
        due
    }
}

/// An announced leave that is waiting for acknowledgements.
#[derive(Clone, Debug)]
pub(super) struct LeaveNotice {
    /// The heartbeat number of the announcement.
    pub heartbeat: u32,
    /// When it was first announced.
    pub since: Millis,
    /// Peers that have acknowledged it.
    pub acknowledged: BTreeSet<DaemonId>,
    /// Whether this process is about to exit.
    pub exiting: bool,
}
