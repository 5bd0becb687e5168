//! Switches that tell what a mechanism is worth.
//!
//! A lab build (feature `ablation`) runs without the mechanisms that are named
//! at its start; in any other build all are on and the switches cost nothing.

use derive_more::{Debug, Display, FromStr};

/// A mechanism that can be switched off.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug, Display, FromStr)]
pub enum Mechanism {
    /// Cached parts of prompts are fetched from other engines.
    Fetch,
    /// An endpoint that joined isn't taken to hold what it ranks first for.
    Settled,
    /// Prefixes that went elsewhere than rank says are told.
    ToldPrefixes,
    /// Hot prefixes are spread over several places.
    HotSpread,
    /// Endpoints over the load bound are passed over.
    Bound,
    /// Other daemons' requests count as load.
    ToldLoads,
    /// Endpoints that fail more than others are avoided.
    FailureShare,
    /// Endpoints that are avoided get a request now and then.
    Trials,
    /// Overloaded plain pools are given a part of their requests.
    Valve,
    /// Copies follow other daemons' copies.
    Relays,
    /// Repeats are bounded.
    Budget,
    /// Attempts that are stuck are given up for another endpoint.
    Stuck,
    /// Engines are told how urgent a request is.
    Urgency,
    /// Plain endpoints of the same data centre come first.
    Near,
}

#[cfg(feature = "ablation")]
mod switches {
    use std::sync::atomic::{AtomicU32, Ordering};

    use super::Mechanism;

    static OFF: AtomicU32 = AtomicU32::new(0);

    /// Switches mechanisms off, named with commas between them.
    ///
    /// # Errors
    ///
    /// With the name that isn't one.
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
