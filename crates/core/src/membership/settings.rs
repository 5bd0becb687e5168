//! Intervals, timeouts and limits of membership.

use crate::clock::Millis;

/// Members that are asked for an indirect probe.
pub const INDIRECT_PROBES: usize = 3;
/// Peers that get a heartbeat in each round, besides the probed one.
pub const FANOUT: usize = 1;
/// Peers that urgent updates are sent to at once.
pub const UPDATE_FANOUT: usize = 3;
/// Number of times an update is sent at once, before it waits for regular heartbeats.
pub const URGENT_SENDS: u32 = 2 * UPDATE_FANOUT as u32;
/// Maximum updates in one heartbeat.
pub const MAX_UPDATES: usize = 16;
/// Maximum records in one heartbeat.
pub const MAX_RECORDS: usize = 48;
/// Records allowed in a heartbeat even when the budget is used up, so that a joining daemon learns of others to ask.
pub const MIN_RECORDS: usize = 2;
/// Maximum records sent in each round, which bounds the load on a seed when many daemons join at once.
pub const ROUND_RECORDS: usize = 96;
/// Number of times a record is requested before it is left to the next exchange.
pub const MAX_RECORD_REQUESTS: u32 = 5;
/// Minimum time between two requests for one record.
pub const RECORD_RETRY: Millis = Millis(500);
/// Maximum priority probes started in one tick.
pub const MAX_PRIORITY_PROBES: usize = 2;
/// Peers of the data centre that loads are sent to at once.
pub const LOAD_FANOUT: usize = 16;
/// Peers that have to acknowledge an announced leave.
pub const LEAVE_PEERS: usize = 3;
/// Members probed at once for their generation.
pub const GENERATION_FANOUT: usize = 32;
/// Maximum replaced or forgotten incarnations that are remembered as such.
pub const MAX_FORMER: usize = 256;

/// Intervals and timeouts of membership; the defaults suit VMs with a few milliseconds of latency between them.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Settings {
    /// Time between two rounds of heartbeats and probes.
    pub round: Millis,
    /// Time between two transmissions of loads.
    pub load_interval: Millis,
    /// Minimum time between two transmissions of urgent updates.
    pub update_interval: Millis,
    /// Time without an answer after which indirect probes are requested.
    pub direct_timeout: Millis,
    /// Time without an answer after which a probe has failed.
    pub probe_timeout: Millis,
    /// Time from suspect to gone, before the extension for the size of the fleet.
    pub suspect_timeout: Millis,
    /// Added to `suspect_timeout` for each doubling of the fleet.
    pub timeout_step: Millis,
    /// Time from suspect to gone if the address refused a connection.
    pub refused_timeout: Millis,
    /// Time between two table exchanges with a random peer.
    pub exchange_interval: Millis,
    /// Time between two table exchanges while tables differ, and between two attempts to join.
    pub short_interval: Millis,
    /// Time between two attempts to reach an address that no live member has.
    pub reconnect_interval: Millis,
    /// Time for which a gone member is included in table exchanges.
    pub gone_exchange: Millis,
    /// Time for which a gone member that isn't in the platform's list is kept.
    pub gone_retention: Millis,
    /// Maximum time that a stale daemon waits for listed peers and an equal digest.
    pub stale_timeout: Millis,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            round: Millis(500),
            load_interval: Millis(1000),
            update_interval: Millis(200),
            direct_timeout: Millis(400),
            probe_timeout: Millis(1000),
            suspect_timeout: Millis(2000),
            timeout_step: Millis(250),
            refused_timeout: Millis(1000),
            exchange_interval: Millis(5000),
            short_interval: Millis(500),
            reconnect_interval: Millis(4000),
            gone_exchange: Millis(60_000),
            gone_retention: Millis(600_000),
            stale_timeout: Millis(5000),
        }
    }
}

impl Settings {
    /// Time from suspect to gone in a fleet of `members`.
    pub fn suspect_timeout(&self, members: usize) -> Millis {
        self.suspect_timeout + Millis(self.timeout_step.0 * u64::from(doublings(members)))
    }
}

/// Number of times each of `members` sends an update.
pub fn transmissions(members: usize) -> u32 {
    doublings(members) + 2
}

/// Number of bits of `members`, about its binary logarithm.
fn doublings(members: usize) -> u32 {
    usize::BITS - members.leading_zeros()
}
