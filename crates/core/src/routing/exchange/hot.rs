//! Hot prefixes: shared prefixes that get much of the traffic, counted at a hub.

use std::collections::HashMap;

use derive_more::Debug;

use super::message::{HotPrefix, PrefixCount, PrefixTotals};
use crate::clock::Millis;

/// Half-life of counts: long enough to count some dozen requests of a prefix that matters, short
/// enough to detect a prefix that becomes hot within seconds.
const HALF_LIFE: Millis = Millis(2000);
/// Smallest count at which a prefix is hot; fewer requests may be chance.
const COUNT_MIN: f64 = 8.0;
/// Smallest share at which a prefix is hot. With up to a hundred endpoints, one of them can serve a
/// smaller one.
const SHARE_MIN: f64 = 0.005;
/// Counts below this are dropped.
const KEPT_MIN: f64 = 0.5;
/// Largest number of prefixes that are counted.
const PREFIXES_MAX: usize = 8192;
/// Smallest count of a prefix that is sent to other data centres: four of them with so many have
/// [`COUNT_MIN`] together.
const SENT_MIN: f64 = 2.0;
/// Largest number of prefixes that are sent to other data centres, the most frequent ones. At most
/// 200 prefixes have a share of [`SHARE_MIN`], and only a few matter.
const SENT_MAX: usize = 32;

/// Counts of requests by prefix, with exponential decay.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct DecayingCounts {
    prefixes: HashMap<u32, f64>,
    total: f64,
    at: Millis,
}

impl DecayingCounts {
    /// Adds requests.
    pub fn add(&mut self, all: &[PrefixCount]) {
        for sent in all {
            let is_known = self.prefixes.contains_key(&sent.prefix);
            if is_known || self.prefixes.len() < PREFIXES_MAX {
                *self.prefixes.entry(sent.prefix).or_default() += f64::from(sent.count);
            }
            self.total += f64::from(sent.count);
        }
    }

    /// Decays the counts to their values at `now`.
    pub fn decay(&mut self, now: Millis) {
        let left = now.since(self.at).decay_factor(HALF_LIFE);
        self.at = now;
        self.total *= left;
        self.prefixes.retain(|_, count| {
            *count *= left;
            *count >= KEPT_MIN
        });
    }

    /// The most frequent prefixes, for hubs of other data centres.
    pub fn prefixes(&self) -> PrefixTotals {
        let sent = self.prefixes.iter();
        let sent = sent.filter(|(_, count)| **count >= SENT_MIN);
        let mut most: Vec<PrefixCount> = sent
            .map(|(prefix, count)| PrefixCount {
                prefix: *prefix,
                count: *count as u32,
            })
            .collect();
        most.sort_unstable_by_key(|sent| std::cmp::Reverse((sent.count, sent.prefix)));
        most.truncate(SENT_MAX);
        PrefixTotals {
            most,
            total: self.total as u32,
        }
    }

    /// Prefixes with a large share of the traffic here and in other data centres.
    pub fn hot<'a>(&self, others: impl Iterator<Item = &'a PrefixTotals>) -> Vec<HotPrefix> {
        let mut total = self.total;
        let mut prefixes = self.prefixes.clone();
        for received in others {
            total += f64::from(received.total);
            for PrefixCount { prefix, count } in &received.most {
                *prefixes.entry(*prefix).or_default() += f64::from(*count);
            }
        }
        let least = COUNT_MIN.max(SHARE_MIN * total);
        let large = prefixes.into_iter().filter(|(_, count)| *count >= least);
        large
            .map(|(prefix, count)| HotPrefix {
                prefix,
                share: (count / total * HotPrefix::SCALE) as u32,
            })
            .collect()
    }
}

/// Shares of hot prefixes by short key, 0 to 1.
pub fn shares(hot: &[HotPrefix]) -> HashMap<u32, f64> {
    let share = |hot: &HotPrefix| (hot.prefix, f64::from(hot.share) / HotPrefix::SCALE);
    hot.iter().map(share).collect()
}
