//! Which new connections of callers a daemon takes when more come than it can serve.
//!
//! The load balancer may send most new connections to one daemon. If that takes
//! them all, each of its requests waits behind the others and none is answered
//! in time. A connection that is closed before its request was read costs its
//! caller a round trip: the next try meets another daemon, and nothing has run.
//! So a daemon takes only a share of new connections while its tasks wait for
//! the processor. Connections that are open go on.
//!
//! What is measured is the shortest wait in an interval: a standing queue delays
//! every task, while a pause of the processor delays only some. One long wait
//! between short ones is a pause of the whole process, which is over when it is
//! measured.

use derive_more::Debug;

use crate::clock::Millis;

/// Time between two measurements of the wait.
pub const SAMPLE_INTERVAL: Millis = Millis(20);
/// Time over which the shortest wait counts; longer than the pauses of a processor that is shared by
/// quotas in tenths of a second.
const INTERVAL: Millis = Millis(200);
/// Shortest wait of an interval from which on a daemon has too much to do.
const WAIT_MAX: Millis = Millis(60);
/// Wait of two measurements in a row at which only the smallest share is taken until it is over;
/// longer than any pause by quotas.
const WAIT_LIMIT: Millis = Millis(250);
/// Factor by which the share that is taken changes in an interval with too much to do.
const DECREASE: f64 = 0.7;
/// Growth of the share in an interval without.
const INCREASE: f64 = 0.05;
/// Smallest share, so that a daemon that counts as ready goes on taking connections.
const SHARE_MIN: f64 = 0.02;

/// The share of new connections that a daemon takes.
#[derive(Clone, Copy)]
#[derive(Debug)]
pub struct AcceptControl {
    share: f64,
    /// The last wait that was measured.
    last: Millis,
    /// Whether the last two waits were at the limit.
    is_full: bool,
    /// Shortest wait in the current interval.
    shortest: Option<Millis>,
    interval_end: Millis,
}

impl AcceptControl {
    /// Takes all connections at first.
    pub const fn new(now: Millis) -> Self {
        Self {
            share: 1.0,
            last: Millis::ZERO,
            is_full: false,
            shortest: None,
            interval_end: Millis(now.0 + INTERVAL.0),
        }
    }

    /// Records how long a task waited for the processor; returns the new share if it changed.
    pub fn record_wait(&mut self, wait: Millis, now: Millis) -> Option<f64> {
        let queued = wait.min(std::mem::replace(&mut self.last, wait));
        self.is_full = queued >= WAIT_LIMIT;
        let shortest = self.shortest;
        let shortest = shortest.map_or(queued, |shortest| shortest.min(queued));
        self.shortest = Some(shortest);
        if now < self.interval_end {
            return None;
        }
        self.interval_end = now + INTERVAL;
        self.shortest = None;
        let before = self.share;
        self.share = match shortest >= WAIT_MAX {
            true => (before * DECREASE).max(SHARE_MIN),
            false => (before + INCREASE).min(1.0),
        };
        (self.share != before).then_some(self.share)
    }

    /// Whether to take a new connection; `draw` is a random number from 0 to 1.
    pub fn takes(&self, draw: f64) -> bool {
        let share = match self.is_full {
            true => SHARE_MIN,
            false => self.share,
        };
        draw < share
    }
}
