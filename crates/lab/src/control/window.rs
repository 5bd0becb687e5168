//! Two readings of all daemons, and what lies between them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use medlarrill_testkit::fleet::Fleet;
use serde::Serialize;

use super::exchange::Exchange;
use crate::error::Result;
use crate::sample::Sample;

const LINKS: &str = "medlarrill_link_bytes_total";
const PLATFORM: &str = "medlarrill_platform_bytes_total";
const CALLS: &str = "medlarrill_platform_calls_total";
const POLLS: &str = "medlarrill_endpoint_polls_total";
/// Kinds that carry requests and answers, which are no control.
const DATA: [&str; 3] = ["forward", "chunk", "end"];

/// A daemon's spending for control in a second.
#[derive(Clone, Default, Debug)]
#[derive(Serialize)]
pub struct Spending {
    /// Bytes sent on links, by kind.
    pub sent: BTreeMap<String, f64>,
    /// Bytes received on links, by kind.
    pub received: BTreeMap<String, f64>,
    /// Bytes to and from the platform, without HTTP headers, by role.
    pub platform: BTreeMap<String, f64>,
    /// Calls to the platform, by role.
    pub calls: BTreeMap<String, f64>,
    /// Endpoints asked for their load.
    pub polls: f64,
    /// Processor time, in microseconds.
    pub processor: f64,
    /// Resident memory, in bytes.
    pub resident: f64,
}

/// A reading of all daemons.
pub struct Reading {
    at: Instant,
    samples: Vec<Sample>,
}

impl Reading {
    /// Reads all daemons.
    ///
    /// # Errors
    ///
    /// When a daemon doesn't answer.
    pub async fn of(fleet: &Fleet) -> Result<Self> {
        let at = Instant::now();
        let mut samples = Vec::new();
        for daemon in &fleet.daemons {
            samples.push(Sample::of(daemon).await?);
        }
        Ok(Self { at, samples })
    }

    /// What each daemon has spent in a second since an earlier reading; one that was restarted is left out.
    pub fn since(&self, earlier: &Self) -> Vec<Spending> {
        let time = self.at.duration_since(earlier.at);
        let pairs = earlier.samples.iter().zip(&self.samples);
        pairs
            .filter(|(before, after)| after.spent.processor >= before.spent.processor)
            .map(|(before, after)| Spending::between(before, after, time))
            .collect()
    }
}

impl Spending {
    fn between(before: &Sample, after: &Sample, time: Duration) -> Self {
        let seconds = time.as_secs_f64();
        let rates = |name: &str, by: &str, labels: &[(&str, &str)]| -> BTreeMap<String, f64> {
            let old = before.counters.by(name, by, labels);
            let new = after.counters.by(name, by, labels);
            let rate = |(key, value): (String, f64)| {
                let before = old.get(&key).copied().unwrap_or_default();
                (key, (value - before) / seconds)
            };
            let rates = new.into_iter().map(rate);
            rates.filter(|(_, rate)| *rate != 0.0).collect()
        };
        let polls = |sample: &Sample| sample.counters.sum(POLLS, &[]);
        let spent = after.spent.processor.saturating_sub(before.spent.processor);
        Self {
            sent: rates(LINKS, "kind", &[("direction", "sent")]),
            received: rates(LINKS, "kind", &[("direction", "heard")]),
            platform: rates(PLATFORM, "role", &[]),
            calls: rates(CALLS, "role", &[]),
            polls: (polls(after) - polls(before)) / seconds,
            processor: spent.as_secs_f64() * 1e6 / seconds,
            resident: after.spent.resident as f64,
        }
    }

    /// The mean of many daemons.
    pub fn mean(all: &[Self]) -> Self {
        let mut mean = Self::default();
        let share = 1.0 / all.len().max(1) as f64;
        for one in all {
            add(&mut mean.sent, &one.sent, share);
            add(&mut mean.received, &one.received, share);
            add(&mut mean.platform, &one.platform, share);
            add(&mut mean.calls, &one.calls, share);
            mean.polls += one.polls * share;
            mean.processor += one.processor * share;
            mean.resident += one.resident * share;
        }
        mean
    }

    /// Bytes of control on links, sent and received.
    pub fn links(&self) -> f64 {
        let control = |(kind, bytes): (&String, &f64)| {
            let data = DATA.contains(&kind.as_str());
            if data { 0.0 } else { *bytes }
        };
        let sent: f64 = self.sent.iter().map(control).sum();
        let received: f64 = self.received.iter().map(control).sum();
        sent + received
    }

    /// Bytes of control in all.
    pub fn total(&self, exchange: Exchange) -> f64 {
        let Exchange { poll, headers } = exchange;
        let platform: f64 = self.platform.values().sum();
        let calls: f64 = self.calls.values().sum();
        self.links() + platform + calls * headers + self.polls * poll
    }
}

fn add(sum: &mut BTreeMap<String, f64>, more: &BTreeMap<String, f64>, share: f64) {
    for (key, value) in more {
        *sum.entry(key.clone()).or_default() += value * share;
    }
}
