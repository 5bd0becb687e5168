//! The stages of a daemon's graceful stop.
//!
//! The load balancer checks readiness once a second and removes a daemon after
//! two failed checks, so that requests still arrive for over two seconds after
//! the signal. They are served while there is time to finish them. Later ones
//! are refused with a response that says that they haven't run, so that their
//! callers retry at another daemon. Idle connections are closed before that, so
//! that few requests are refused.

use derive_more::{Debug, Display};

use crate::clock::Millis;

/// How long new requests are served after the signal: two of the balancer's checks at one a second,
/// plus the time for a request on a connection that was made just before.
pub const SERVE_TIME: Millis = Millis(2600);
/// When idle connections are closed, as a fraction of that time: after the balancer's second check,
/// so that callers that reconnect reach other daemons, and before requests are refused.
const CLOSE_FRACTION: f64 = 0.8;
/// Time before the end of the grace period at which the process ends in any case.
pub const EXIT_MARGIN: Millis = Millis(350);

/// A stage of the stop.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Debug, Display)]
pub enum Stage {
    /// No stop was requested.
    #[display("serving")]
    Serving,
    /// Reported as not ready to the balancer; requests are still served.
    #[display("leaving")]
    Leaving,
    /// Idle connections are closed; requests that still arrive are served.
    #[display("closing")]
    Closing,
    /// New requests are refused; those in flight are finished.
    #[display("draining")]
    Draining,
    /// The grace period is over.
    #[display("ended")]
    Ended,
}

/// Graceful stop of a daemon.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub struct Stop {
    requested: Option<Millis>,
    /// Time from the request to stop until the process is killed.
    grace: Millis,
}

impl Stop {
    /// A daemon without a request to stop, and its grace period.
    pub const fn new(grace: Millis) -> Self {
        Self {
            requested: None,
            grace,
        }
    }

    /// Records a request to stop; only the first one has an effect.
    pub fn request(&mut self, now: Millis) {
        self.requested.get_or_insert(now);
    }

    /// The stage at a time.
    pub fn stage(&self, now: Millis) -> Stage {
        let Some(requested) = self.requested else {
            return Stage::Serving;
        };
        let elapsed = now.since(requested);
        let serve = SERVE_TIME.min(Millis(self.grace.0 / 2));
        let close = Millis((serve.0 as f64 * CLOSE_FRACTION) as u64);
        if elapsed >= self.grace - EXIT_MARGIN {
            Stage::Ended
        } else if elapsed >= serve {
            Stage::Draining
        } else if elapsed >= close {
            Stage::Closing
        } else {
            Stage::Leaving
        }
    }
}
