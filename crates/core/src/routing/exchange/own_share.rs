//! Subtracts this daemon's own share from the sums that it receives.
//!
//! Hubs send the same sums to all daemons, so each subtracts its own share:
//! loads as last reported, and outcomes that it has reported and not yet seen
//! in the sums.

use std::collections::HashMap;

use derive_more::Debug;

use super::hub::{loads_of, reading_of};
use super::message::Report;
use super::sums::{OutcomeCounts, SumsCopy};
use super::{PeerCounts, PeerUpdate};
use crate::clock::Millis;

/// Time in which reported outcomes appear in the sums; after that they count as lost in transit. A
/// hub delays rows with successful attempts by two seconds at most.
const ECHO_TIMEOUT: Millis = Millis(2500);

/// Loads and outcomes that this daemon has reported.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct OwnShare {
    loads: HashMap<u32, u32>,
    reading: HashMap<u32, u32>,
    /// Outcomes not yet seen in the sums, and when the last of them were reported.
    outcomes: HashMap<u32, (OutcomeCounts, Millis)>,
}

impl OwnShare {
    /// Records a report.
    pub fn record(&mut self, report: &Report, now: Millis) {
        self.loads = loads_of(&report.entries).collect();
        self.reading = reading_of(&report.entries).collect();
        self.outcomes
            .retain(|_, (_, at)| now.since(*at) < ECHO_TIMEOUT);
        for entry in &report.entries {
            let outcomes = entry.outcomes();
            if outcomes != OutcomeCounts::default() {
                let (known, at) = self.outcomes.entry(entry.endpoint).or_default();
                known.add(outcomes);
                *at = now;
            }
        }
    }

    /// The update with what the other daemons have, from the sums and their new outcomes.
    pub fn subtract_from(
        &mut self,
        sums: &SumsCopy,
        new_outcomes: Vec<(u32, OutcomeCounts)>,
    ) -> PeerUpdate {
        let mut update = PeerUpdate::default();
        for (endpoint, in_flight) in sums.loads().filter(|(_, in_flight)| *in_flight > 0) {
            let own = self.loads.get(&endpoint).copied().unwrap_or_default();
            let others = PeerCounts {
                in_flight: in_flight.saturating_sub(own),
                ..PeerCounts::default()
            };
            update.endpoints.insert(endpoint, others);
        }
        for (endpoint, units) in sums.reading() {
            let own = self.reading.get(&endpoint).copied().unwrap_or_default();
            let others = update.endpoints.entry(endpoint).or_default();
            others.reading = units.saturating_sub(own);
        }
        for (endpoint, outcomes) in new_outcomes {
            let left = self.subtract(endpoint, outcomes);
            let others = update.endpoints.entry(endpoint).or_default();
            others.good = left.good;
            others.bad = left.bad;
        }
        update
    }

    /// Subtracts this daemon's own outcomes; returns those of the others.
    fn subtract(&mut self, endpoint: u32, outcomes: OutcomeCounts) -> OutcomeCounts {
        let Some((own, _)) = self.outcomes.get_mut(&endpoint) else {
            return outcomes;
        };
        let (left, subtracted) = outcomes.subtract(*own);
        *own = own.subtract(subtracted).0;
        left
    }
}
