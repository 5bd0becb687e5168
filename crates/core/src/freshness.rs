//! Pause detection: whether what this process knows may still be acted on.
//!
//! A process that was paused can't tell from inside. It shows in the clocks:
//! the monotonic one jumps between two ticks if the process was stopped, the
//! wall clock runs ahead of it if the whole VM was. After either, all that is
//! known is stale until enough peers have answered a probe sent since: answers
//! to older probes may have waited in a socket's buffer for as long as the
//! pause took.
//!
//! Enough is [`ENOUGH`] peers, or all of them if fewer are believed live. No
//! majority is asked for, since nothing is decided by votes: what is needed is
//! a table that isn't the paused one's own, and three peers make it unlikely
//! that all of them were paused with it.

use std::collections::BTreeSet;

use crate::clock::Millis;
use crate::ids::DaemonId;

/// Longest gap between two ticks, on either clock, that is no pause.
pub const PAUSE: Millis = Millis::from_secs(1);
/// Peers that have to answer after a pause.
pub const ENOUGH: usize = 3;

/// Whether this process has been paused, and has caught up since.
#[derive(Clone, Debug)]
pub struct Freshness {
    /// Monotonic time of the last tick.
    last: Millis,
    /// Wall time of the last tick; absent before the first.
    wall: Option<Millis>,
    /// Whether enough peers have answered.
    settled: bool,
    /// Who has answered since the pause.
    heard: BTreeSet<DaemonId>,
    /// Pauses noticed.
    pauses: u64,
}

impl Freshness {
    /// A process that has just started and knows nothing.
    pub const fn new(now: Millis) -> Self {
        Self {
            last: now,
            wall: None,
            settled: false,
            heard: BTreeSet::new(),
            pauses: 0,
        }
    }

    /// Notes a tick and the wall clock; true if a pause lies before it.
    pub fn tick(&mut self, now: Millis, wall: Millis) -> bool {
        let passed = now.since(self.last);
        let ahead = self
            .wall
            .map_or(Millis::ZERO, |last| wall.since(last + passed));
        self.last = now;
        self.wall = Some(wall);
        let paused = passed > PAUSE || ahead > PAUSE;
        if paused {
            self.pauses += 1;
            self.settled = false;
            self.heard.clear();
        }
        paused
    }

    /// Notes that `peer` has answered a probe sent since the pause.
    pub fn heard(&mut self, peer: &DaemonId) {
        if !self.settled {
            self.heard.insert(peer.clone());
        }
    }

    /// Ends the stale time if enough of `peers` live peers have answered; true if it ended now.
    pub fn settle(&mut self, peers: usize) -> bool {
        if self.settled || self.heard.len() < peers.min(ENOUGH) {
            return false;
        }
        self.settled = true;
        true
    }

    /// Whether what is known may be acted on at `now`, read from the clock just before acting.
    ///
    /// A pause since the last tick shows here before the next tick notices it.
    pub fn is_fresh(&self, now: Millis) -> bool {
        self.until().is_some_and(|until| now <= until)
    }

    /// Until when what is known may be acted on unless another tick comes; `None` while it is stale.
    ///
    /// For other tasks, which compare it with the clock just before they act: a flag
    /// published before a pause would still say fresh after it.
    pub fn until(&self) -> Option<Millis> {
        self.settled.then(|| self.last + PAUSE)
    }

    /// Whether enough peers have yet to answer.
    pub const fn is_stale(&self) -> bool {
        !self.settled
    }

    /// Pauses noticed so far.
    pub const fn pauses(&self) -> u64 {
        self.pauses
    }
}
