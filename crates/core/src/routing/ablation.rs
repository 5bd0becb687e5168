//! Switches that disable single mechanisms, to measure what each contributes.
//!
//! A lab build (feature `ablation`) runs without the mechanisms that are named
//! at its start; in any other build all are on and the checks are constant.

use derive_more::{Debug, Display, FromStr};

/// A mechanism that can be switched off.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug, Display, FromStr)]
pub enum Mechanism {
    /// Engines fetch cached prompt prefixes from other engines.
    Fetch,
    /// A newly listed endpoint isn't assumed to hold the prefixes that it ranks first for.
    Settled,
    /// Daemons announce prefixes that they sent to another endpoint than the first-ranked one.
    ToldPrefixes,
    /// Hot prefixes are spread over several endpoints.
    HotSpread,
    /// Endpoints over the load bound are skipped.
    Bound,
    /// Requests in flight that other daemons report count as load.
    ToldLoads,
    /// Endpoints that fail more often than others of their pool are avoided.
    FailureShare,
    /// Avoided endpoints get occasional probe requests.
    Trials,
    /// Only a part of the requests to an overloaded pool without cached prefixes is admitted.
    Valve,
    /// An overloaded pool without cached prefixes is divided among client accounts, more urgent ones
    /// first.
    FairShares,
    /// Copies of the platform's objects are updated from other daemons' copies.
    Relays,
    /// Retries are limited by a budget.
    Budget,
    /// Requests are hedged while their endpoint is silent.
    Stuck,
    /// Requests to engines carry their priority.
    Urgency,
    /// Endpoints of the same data centre are preferred where no prefix is cached.
    Near,
    /// Endpoints that lose requests are kept from those that may run only once, and daemons tell
    /// each other at once.
    LossNews,
    /// Requests are placed by the work that endpoints have left and by their pace.
    Work,
}

#[cfg(feature = "ablation")]
mod switches {
    use std::sync::atomic::{AtomicU32, Ordering};

    use super::Mechanism;

    /// One bit for each mechanism that is off.
    static OFF: AtomicU32 = AtomicU32::new(0);

    /// Switches mechanisms off, given as a comma-separated list of variant names.
    ///
    /// # Errors
    ///
    /// The first name that isn't a mechanism.
    pub fn switch_off(names: &str) -> Result<(), String> {
        for name in names.split(',').filter(|name| !name.is_empty()) {
            let mechanism: Mechanism = name.parse().map_err(|_| name.to_owned())?;
            OFF.fetch_or(1 << mechanism as u32, Ordering::Relaxed);
        }
        Ok(())
    }

    /// Whether a mechanism is on.
    pub fn is_on(mechanism: Mechanism) -> bool {
        OFF.load(Ordering::Relaxed) & (1 << mechanism as u32) == 0
    }
}

#[cfg(feature = "ablation")]
pub use switches::{is_on, switch_off};

/// Whether a mechanism is on.
#[cfg(not(feature = "ablation"))]
pub const fn is_on(_: Mechanism) -> bool {
    true
}
