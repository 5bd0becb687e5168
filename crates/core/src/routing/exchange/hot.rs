//! Which shared prefixes get much of the traffic, counted at a hub.

use std::collections::HashMap;

use derive_more::Debug;

use super::message::{Hot, Report};
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

/// Counts of prefixes, the old ones fading.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct Counts {
    prefixes: HashMap<u32, f64>,
    total: f64,
    at: Millis,
}

impl Counts {
    /// Adds what a report tells.
    pub fn add(&mut self, report: &Report) {
        for sent in &report.sent {
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

    /// Prefixes with a large share.
    pub fn hot(&self) -> Vec<Hot> {
        let least = COUNT_MIN.max(SHARE_MIN * self.total);
        let large = self.prefixes.iter().filter(|(_, count)| **count >= least);
        large
            .map(|(prefix, count)| Hot {
                prefix: *prefix,
                share: (count / self.total * Hot::WHOLE) as u32,
            })
            .collect()
    }
}
