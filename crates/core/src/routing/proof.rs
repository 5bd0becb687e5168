//! Whether an idle connection is proof that its endpoint lives, for a request that may run only once.
//!
//! Answers the load of endpoints that end or flap without a word, under idle
//! connections: a request that is put on one of these is lost. A new connection
//! for each costs a handshake, which buys nothing in a fleet that loses none.

use derive_more::Debug;

use crate::clock::Millis;

/// Time since its last response up to which an idle connection is proof while endpoints are lost.
const FRESH: Millis = Millis(10);
/// Time after the start, and after each loss, in which endpoints are expected to be lost: an endpoint
/// that flaps does so several times within it.
const UNSETTLED: Millis = Millis::from_secs(10);

/// What a daemon knows of losses, as far as idle connections depend on it.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub struct Proof {
    settled_at: Millis,
}

impl Proof {
    /// The state of a daemon that starts, which knows nothing of its endpoints.
    pub fn new(now: Millis) -> Self {
        Self {
            settled_at: now + UNSETTLED,
        }
    }

    /// Records that a connection was lost or refused, or that others told of one.
    pub fn record_loss(&mut self, now: Millis) {
        *self = Self::new(now);
    }

    /// Whether a connection is proof that had its last response at `used`.
    pub fn accepts(self, used: Millis, now: Millis) -> bool {
        now >= self.settled_at || now.since(used) <= FRESH
    }
}
