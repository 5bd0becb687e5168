//! A quarantine and what it means for requests.

use derive_more::Debug;

use crate::clock::Millis;
use crate::routing::fingerprint::Fingerprint;

/// Causes that are quarantined together: requests that have all of them.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub struct Hold {
    pub causes: Vec<Fingerprint>,
    /// When one request may be tried.
    pub trial_at: Millis,
    pub until: Millis,
}

/// What a quarantine means for a request. `cause` is one of the causes, the same at all daemons.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub enum Standing {
    /// It isn't sent.
    Held {
        /// Why.
        cause: Fingerprint,
        /// Time until the end of the quarantine.
        left: Millis,
    },
    /// One request is tried: a part of the quarantine is over, or all of it, and no request with the
    /// cause was served since.
    Trial {
        /// What is quarantined, or was.
        cause: Fingerprint,
        /// Time since trials may begin.
        ago: Millis,
    },
}

impl Hold {
    /// Whether it applies to a request with these causes.
    pub fn applies_to(&self, causes: &[Fingerprint]) -> bool {
        self.causes.iter().all(|cause| causes.contains(cause))
    }

    /// What it means for such a request.
    pub fn standing(&self, now: Millis) -> Standing {
        let cause = self.causes.first().copied().unwrap_or_default();
        match self.trial_at > now {
            true => Standing::Held {
                cause,
                left: self.until.since(now),
            },
            false => Standing::Trial {
                cause,
                ago: now.since(self.trial_at),
            },
        }
    }
}
