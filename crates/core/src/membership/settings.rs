//! Times and counts of membership.

use crate::clock::Millis;

/// Members beside the prober that are asked to probe in its stead.
pub const INDIRECT: usize = 3;
/// Peers that a heartbeat goes to in each round, beside the probed one.
pub const FANOUT: usize = 1;
/// Peers that news goes to at once.
pub const NEWS_FANOUT: usize = 3;
/// How often news is sent on at once, before it waits for heartbeats.
pub const URGENT: u32 = 2 * NEWS_FANOUT as u32;
/// Most changes in one heartbeat.
pub const MAX_CHANGES: usize = 16;
/// Most records in one heartbeat.
pub const MAX_RECORDS: usize = 48;
/// Records in a heartbeat even when the budget is used up, so that a joining daemon finds others to ask.
pub const MIN_RECORDS: usize = 2;
/// Records sent in each round, which bounds what a seed spends on many that join at once.
pub const ROUND_RECORDS: usize = 96;
/// How often a record is asked for before it is left to the next exchange.
pub const MAX_ASKS: u32 = 5;
/// Shortest time between two questions for one record.
pub const ASK_AGAIN: Millis = Millis(500);
/// Most checks begun in one tick.
pub const MAX_CHECKS: usize = 2;
/// Peers of the data centre that loads go to at once.
pub const LOAD_FANOUT: usize = 16;
/// Peers that have to acknowledge a farewell.
pub const FAREWELL_PEERS: usize = 3;
/// Peers asked for their generation at once.
pub const GENERATION_FANOUT: usize = 32;
/// Replaced and forgotten incarnations that are remembered as such.
pub const MAX_FORMER: usize = 256;

/// Times of membership; the defaults suit VMs a few milliseconds apart.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Settings {
    /// Between two rounds of heartbeats and probes.
    pub round: Millis,
    /// Between two sendings of loads.
    pub loads: Millis,
    /// Shortest time between two sendings of news.
    pub news: Millis,
    /// Until a probe goes by way of others.
    pub direct: Millis,
    /// Until a probe has failed.
    pub probe: Millis,
    /// From suspicion to gone in the smallest fleet.
    pub suspicion: Millis,
    /// Added to `suspicion` for each doubling of the fleet.
    pub doubling: Millis,
    /// From suspicion to gone where the address refused a connection.
    pub refused: Millis,
    /// Between two exchanges with a random peer.
    pub exchange: Millis,
    /// Between two exchanges while tables differ, and between two tries to join.
    pub catch_up: Millis,
    /// Between two tries to reach an address that no live member has.
    pub reconnect: Millis,
    /// How long a gone member is told to others.
    pub told: Millis,
    /// How long a gone member that isn't in the platform's list is kept.
    pub kept: Millis,
    /// How long to wait for listed peers before going on without.
    pub patience: Millis,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            round: Millis(500),
            loads: Millis(1000),
            news: Millis(200),
            direct: Millis(400),
            probe: Millis(1000),
            suspicion: Millis(2000),
            doubling: Millis(250),
            refused: Millis(1000),
            exchange: Millis(5000),
            catch_up: Millis(500),
            reconnect: Millis(4000),
            told: Millis(60_000),
            kept: Millis(600_000),
            patience: Millis(5000),
        }
    }
}

impl Settings {
    /// From suspicion to gone among `members`.
    pub fn suspicion(&self, members: usize) -> Millis {
        self.suspicion + Millis(self.doubling.0 * u64::from(doublings(members)))
    }
}

/// How often news is sent on by each of `members`.
pub fn transmissions(members: usize) -> u32 {
    doublings(members) + 2
}

fn doublings(members: usize) -> u32 {
    usize::BITS - members.leading_zeros()
}
