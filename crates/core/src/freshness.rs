//! Detects pauses of this process, after which its state may be stale.
//!
//! A pause shows in the clocks: if the process was stopped, the monotonic clock
//! jumps between two ticks; if the whole VM was stopped, the wall clock runs
//! ahead of the monotonic clock. After a pause all state is stale until enough
//! peers have answered a probe sent since. Answers to older probes don't count,
//! as they may have waited in a socket buffer during the pause.
//!
//! [`REQUIRED_PEERS`] peers have to answer, or all of them if fewer are believed
//! live. No majority is needed, since nothing is decided by votes: the process
//! needs membership tables other than its own outdated one, and three peers are
//! unlikely to have been paused together with it.

use std::collections::BTreeSet;

use crate::clock::Millis;
use crate::ids::DaemonId;

/// Longest gap between two ticks, on either clock, that doesn't count as a pause.
pub const MAX_TICK_GAP: Millis = Millis::from_secs(1);
/// Number of peers that have to answer after a pause.
pub const REQUIRED_PEERS: usize = 3;

/// Tracks whether this process was paused and has since been confirmed up to date by its peers.
#[derive(Clone, Debug)]
pub struct Freshness {
    /// Monotonic time of the last tick.
    last_tick: Millis,
    /// Wall time of the last tick; `None` before the first.
    last_wall: Option<Millis>,
    /// Whether enough peers have answered since the start or the last pause.
    confirmed: bool,
    /// Peers that have answered since the start or the last pause.
    responders: BTreeSet<DaemonId>,
    /// Number of pauses detected.
    pauses: u64,
}

impl Freshness {
    /// State of a process that has just started; it is stale.
    pub const fn new(now: Millis) -> Self {
        Self {
            last_tick: now,
            last_wall: None,
            confirmed: false,
            responders: BTreeSet::new(),
            pauses: 0,
        }
    }

    /// Records a tick with the wall clock; returns whether there was a pause before it.
    pub fn tick(&mut self, now: Millis, wall: Millis) -> bool {
        let passed = now.since(self.last_tick);
        let ahead = self
            .last_wall
            .map_or(Millis::ZERO, |last| wall.since(last + passed));
        self.last_tick = now;
        self.last_wall = Some(wall);
        let paused = passed > MAX_TICK_GAP || ahead > MAX_TICK_GAP;
        if paused {
            self.pauses += 1;
            self.confirmed = false;
            self.responders.clear();
        }
        paused
    }

    /// Records that `peer` has answered a probe that was sent since the last pause.
    pub fn record_answer(&mut self, peer: &DaemonId) {
        if !self.confirmed {
            self.responders.insert(peer.clone());
        }
    }

    /// Ends the stale period if enough of `peers` live peers have answered; returns whether it ended now.
    pub fn try_confirm(&mut self, peers: usize) -> bool {
        if self.confirmed || self.responders.len() < peers.min(REQUIRED_PEERS) {
            return false;
        }
        self.confirmed = true;
        true
    }

    /// Whether the state may be acted on at `now`, which is read from the clock just before acting.
    ///
    /// A pause since the last tick is detected here before the next tick records it.
    pub fn is_fresh(&self, now: Millis) -> bool {
        self.valid_until().is_some_and(|until| now <= until)
    }

    /// Time until which the state may be acted on if there is no further tick; `None` while stale.
    ///
    /// Meant for other tasks, which compare it with the clock just before they act: a flag that
    /// was published before a pause would still be set after it.
    pub fn valid_until(&self) -> Option<Millis> {
        self.confirmed.then(|| self.last_tick + MAX_TICK_GAP)
    }

    /// Whether the state is stale because not enough peers have answered yet.
    pub const fn is_stale(&self) -> bool {
        !self.confirmed
    }

    /// Number of pauses detected so far.
    pub const fn pauses(&self) -> u64 {
        self.pauses
    }
}
