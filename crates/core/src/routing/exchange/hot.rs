//! Which shared prefixes get much of the traffic, counted at a hub.

use std::collections::HashMap;

use derive_more::Debug;

use super::message::{Hot, Prefixes, PrefixCount};
use crate::clock::Millis;

/// Time in which a count falls by half: long enough to count some dozen requests of a prefix
/// that matters, short enough to follow a prefix that turns hot within seconds.
const HALF_LIFE: Millis = Millis(2000);
/// Requests of a prefix from which on its share is told; fewer may be chance.
const COUNT_MIN: f64 = 8.0;
/// Smallest share that is told. With up to a hundred endpoints a smaller one fits on one.
const SHARE_MIN: f64 = 0.005;
/// Counts below this are dropped.
const DROP: f64 = 0.5;
/// Prefixes that are counted.
const PREFIXES: usize = 8192;
/// Requests of a prefix from which on other data centres are told of it: four that count so many
/// make [`COUNT_MIN`] together.
const TOLD_MIN: f64 = 2.0;
/// Prefixes of which other data centres are told, the most frequent ones; with a share of
/// [`SHARE_MIN`] there are 200 at the most, and a few that matter.
const TOLD: usize = 32;

/// Counts of prefixes, the old ones fading.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct Counts {
    prefixes: HashMap<u32, f64>,
    total: f64,
    at: Millis,
}

impl Counts {
    /// Adds requests.
    pub fn add(&mut self, all: &[PrefixCount]) {
        for sent in all {
            let is_known = self.prefixes.contains_key(&sent.prefix);
            if is_known || self.prefixes.len() < PREFIXES {
                *self.prefixes.entry(sent.prefix).or_default() += f64::from(sent.count);
            }
            self.total += f64::from(sent.count);
        }
    }

    /// Lets counts fade.
    pub fn fade(&mut self, now: Millis) {
        let left = now.since(self.at).fading(HALF_LIFE);
        self.at = now;
        self.total *= left;
        self.prefixes.retain(|_, count| {
            *count *= left;
            *count >= DROP
        });
    }

    /// The most frequent prefixes, for hubs of other data centres.
    pub fn prefixes(&self) -> Prefixes {
        let told = self.prefixes.iter();
        let told = told.filter(|(_, count)| **count >= TOLD_MIN);
        let mut most: Vec<PrefixCount> = told
            .map(|(prefix, count)| PrefixCount {
                prefix: *prefix,
                count: *count as u32,
            })
            .collect();
        most.sort_unstable_by_key(|sent| std::cmp::Reverse((sent.count, sent.prefix)));
        most.truncate(TOLD);
        Prefixes {
            most,
            total: self.total as u32,
        }
    }

    /// Prefixes with a large share of this traffic and that of other data centres.
    pub fn hot<'a>(&self, others: impl Iterator<Item = &'a Prefixes>) -> Vec<Hot> {
        let mut total = self.total;
        let mut prefixes = self.prefixes.clone();
        for told in others {
            total += f64::from(told.total);
            for PrefixCount { prefix, count } in &told.most {
                *prefixes.entry(*prefix).or_default() += f64::from(*count);
            }
        }
        let least = COUNT_MIN.max(SHARE_MIN * total);
        let large = prefixes.into_iter().filter(|(_, count)| *count >= least);
        large
            .map(|(prefix, count)| Hot {
                prefix,
                share: (count / total * Hot::WHOLE) as u32,
            })
            .collect()
    }
}

/// Shares of hot prefixes.
pub fn shares(hot: &[Hot]) -> HashMap<u32, f64> {
    let share = |hot: &Hot| (hot.prefix, f64::from(hot.share) / Hot::WHOLE);
    hot.iter().map(share).collect()
}
