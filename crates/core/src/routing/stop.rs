//! The stages of a daemon's graceful stop.
//!
//! The balancer asks once a second and looks away after two misses, so
//! requests still arrive for over two seconds after the signal. They are
//! served while there is time to finish them; later ones are refused, which
//! says that they haven't run, and their callers come back elsewhere. Idle
//! connections are closed before that, so that few requests are refused.

use derive_more::{Debug, Display};

use crate::clock::Millis;

/// How long new requests are served after the signal: two questions of the balancer at one a
/// second, and the way of a connection that was made just before.
pub const SERVE_TIME: Millis = Millis(2600);
/// When idle connections are closed, as a part of that time: after the balancer's second question,
/// so that callers who connect anew reach other daemons, and before requests are refused.
const CLOSE_PART: f64 = 0.8;
/// Time before the end of the grace period at which the process ends in any case.
pub const EXIT_MARGIN: Millis = Millis(350);

/// A stage of the stop.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Debug, Display)]
pub enum Stage {
    /// No stop was asked for.
    #[display("serving")]
    Serving,
    /// Not ready for the balancer; requests are still served.
    #[display("leaving")]
    Leaving,
    /// Idle connections are closed; requests that still arrive are served.
    #[display("closing")]
    Closing,
    /// New requests are refused, those in flight are finished.
    #[display("draining")]
    Draining,
    /// Time is up.
    #[display("ended")]
    Ended,
}

/// The stop of a daemon.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub struct Stop {
    asked: Option<Millis>,
    grace: Millis,
}

impl Stop {
    /// A daemon that wasn't asked to stop.
    pub const fn new(grace: Millis) -> Self {
        Self { asked: None, grace }
    }

    /// Notes the first request to stop.
    pub fn request(&mut self, now: Millis) {
        self.asked.get_or_insert(now);
    }

    /// The stage at a time.
    pub fn stage(&self, now: Millis) -> Stage {
        let Some(asked) = self.asked else {
            return Stage::Serving;
        };
        let passed = now.since(asked);
        let serve = SERVE_TIME.min(Millis(self.grace.0 / 2));
        let close = Millis((serve.0 as f64 * CLOSE_PART) as u64);
        if passed >= self.grace - EXIT_MARGIN {
            Stage::Ended
        } else if passed >= serve {
            Stage::Draining
        } else if passed >= close {
            Stage::Closing
        } else {
            Stage::Leaving
        }
    }
}
