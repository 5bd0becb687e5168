//! This daemon's share of the sums that it is told.
//!
//! Sums are the same for all listeners, so that each takes its own share off:
//! loads as last reported, and outcomes that were reported and haven't come
//! back yet.

use std::collections::HashMap;

use derive_more::Debug;

use super::board::{OutcomeCounts, SumsCopy};
use super::hub::loads_of;
use super::message::Report;
use super::{PeerUpdate, PeerCounts};
use crate::clock::Millis;

/// Time in which outcomes that were reported come back in sums; those that don't were lost on
/// the way. Rows with good answers wait two seconds at a hub at the most.
const BACK: Millis = Millis(2500);

/// What this daemon reported.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct Own {
    loads: HashMap<u32, u32>,
    answers: HashMap<u32, (OutcomeCounts, Millis)>,
}

impl Own {
    /// Notes a report.
    pub fn note(&mut self, report: &Report, now: Millis) {
        self.loads = loads_of(&report.entries).collect();
        self.answers.retain(|_, (_, at)| now.since(*at) < BACK);
        for entry in &report.entries {
            let answers = entry.answers();
            if answers != OutcomeCounts::default() {
                let (known, at) = self.answers.entry(entry.endpoint).or_default();
                known.add(answers);
                *at = now;
            }
        }
    }

    /// What the others have, by the sums and the answers that are news in them.
    pub fn others(&mut self, sums: &SumsCopy, news: Vec<(u32, OutcomeCounts)>) -> PeerUpdate {
        let mut heard = PeerUpdate::default();
        for (endpoint, in_flight) in sums.loads() {
            let own = self.loads.get(&endpoint).copied().unwrap_or_default();
            let others = PeerCounts {
                in_flight: in_flight.saturating_sub(own),
                ..PeerCounts::default()
            };
            heard.endpoints.insert(endpoint, others);
        }
        for (endpoint, answers) in news {
            let left = self.take_off(endpoint, answers);
            let others = heard.endpoints.entry(endpoint).or_default();
            others.good = left.good;
            others.bad = left.bad;
        }
        heard
    }

    fn take_off(&mut self, endpoint: u32, answers: OutcomeCounts) -> OutcomeCounts {
        let Some((own, _)) = self.answers.get_mut(&endpoint) else {
            return answers;
        };
        let (left, off) = answers.without(*own);
        *own = own.without(off).0;
        left
    }
}
