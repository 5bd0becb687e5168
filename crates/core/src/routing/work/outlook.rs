//! What a request finds at an endpoint, and what that means for the choice.

use derive_more::Debug;

use crate::clock::Millis;

/// Wait in milliseconds that doesn't matter to callers: a tenth of the time in which interactive
/// ones want the first output. With small requests, waits stay below it.
const MINOR_WAIT: f64 = 25.0;
/// Wait in milliseconds up to which a request stays where its prefix is cached: a quarter of the time
/// in which interactive callers want the first output.
const MAX_WAIT: f64 = 75.0;
/// Part of its latency target for which a long prompt waits where its prefix is cached: each that
/// leaves is copied or read once more, which takes as long as the wait of several short ones.
const LONG_PATIENCE: f64 = 0.5;
/// Multiple of the usual time that doesn't matter: endpoints differ as much by their load.
const MINOR_PACE: f64 = 1.25;

/// Whether reading a prompt for so many milliseconds delays other requests noticeably.
pub fn is_long(reading: f64) -> bool {
    reading > 2.0 * MINOR_WAIT
}

/// Wait in milliseconds up to which a request with a latency target stays where its prefix is cached,
/// if `reading` is the time to read that again elsewhere.
pub fn patience(reading: f64, target: Millis) -> f64 {
    let long = match is_long(reading) {
        true => LONG_PATIENCE * target.0 as f64,
        false => 0.0,
    };
    // Reading it elsewhere delays the requests there as well.
    (2.0 * reading).max(MAX_WAIT).max(long)
}

/// What a request finds at an endpoint.
#[derive(Clone, Copy, PartialEq)]
#[derive(Debug)]
pub struct Outlook {
    /// Expected time until the prompts before it are read, in milliseconds.
    pub wait: f64,
    /// Factor by which work takes longer than usual.
    pub pace: f64,
}

impl Default for Outlook {
    fn default() -> Self {
        Self {
            wait: 0.0,
            pace: 1.0,
        }
    }
}

impl Outlook {
    /// Weight of the endpoint for requests that run anywhere, up to 1. Falls steeply enough that
    /// the busy half of a pool gets a small part of the requests.
    pub fn weight(self) -> f64 {
        let wait = (self.wait / MINOR_WAIT).max(1.0);
        let pace = (self.pace / MINOR_PACE).max(1.0);
        wait.powi(-3) * pace.powi(-4)
    }
}
