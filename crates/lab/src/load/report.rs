//! What the rounds come to.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::args::Args;
use super::round::{Outcome, Way};
use crate::error::{LabError, Result};
use crate::sample::Sample;

/// Significant digits of the histograms.
const DIGITS: u8 = 3;
/// Longest time that a histogram takes, in microseconds.
const LONGEST: u64 = 600_000_000;
const BYTES: &str = "medlarrill_link_bytes_total";
const MESSAGES: &str = "medlarrill_link_messages_total";
const SENT: (&str, &str) = ("direction", "sent");
/// Kinds of link messages that carry requests and answers.
const FORWARDING: [&str; 8] = [
    "forward", "accepted", "passed", "refused", "chunk", "end", "credit", "cancel",
];

/// All rounds.
#[derive(Default)]
#[derive(Serialize)]
pub struct Report {
    /// One by one.
    pub rounds: Vec<Round>,
}

/// Times in microseconds.
#[derive(Clone, Copy)]
#[derive(Serialize)]
pub struct Times {
    p50: u64,
    p95: u64,
    p99: u64,
}

/// The figures of one round.
#[derive(Serialize)]
pub struct Round {
    requests: usize,
    direct_first: Times,
    fleet_first: Times,
    direct_whole: Times,
    fleet_whole: Times,
    direct_reuse: f64,
    fleet_reuse: f64,
    /// Processor time of all daemons for the load, in microseconds.
    processor: u64,
    /// Processor time of all idle daemons in a second, in microseconds.
    idle: u64,
    requests_core: f64,
    tokens_core: f64,
    processor_token: f64,
    link_token: f64,
    body_token: f64,
    messages_token: f64,
    resident: u64,
}

impl Times {
    fn new(times: &[Duration]) -> Self {
        let mut histogram = Histogram::<u64>::new_with_max(LONGEST, DIGITS)
            .expect("the limits of the histogram are constants");
        for time in times {
            histogram.saturating_record(u64::try_from(time.as_micros()).unwrap_or(LONGEST));
        }
        Self {
            p50: histogram.value_at_quantile(0.5),
            p95: histogram.value_at_quantile(0.95),
            p99: histogram.value_at_quantile(0.99),
        }
    }

    /// The value of a named quantile.
    fn at(self, name: &str) -> u64 {
        match name {
            "p50" => self.p50,
            "p95" => self.p95,
            _ => self.p99,
        }
    }
}

impl Round {
    /// The figures of an outcome; a token is one event of an answer.
    pub fn new(outcome: Outcome) -> Self {
        let Outcome { direct, fleet, .. } = &outcome;
        let requests = fleet.whole.len();
        let spent = spent(&outcome);
        let idle = outcome.idle.mul_f64(outcome.lasted.as_secs_f64());
        let processor = spent.saturating_sub(idle).as_secs_f64();
        let tokens = outcome.tokens();
        Self {
            requests,
            direct_first: Times::new(&direct.first),
            fleet_first: Times::new(&fleet.first),
            direct_whole: Times::new(&direct.whole),
            fleet_whole: Times::new(&fleet.whole),
            direct_reuse: reuse(direct),
            fleet_reuse: reuse(fleet),
            processor: (processor * 1e6) as u64,
            idle: u64::try_from(outcome.idle.as_micros()).unwrap_or(u64::MAX),
            requests_core: requests as f64 / processor,
            tokens_core: tokens / processor,
            processor_token: processor * 1e6 / tokens,
            link_token: outcome.forwarded(BYTES) / tokens,
            body_token: fleet.bytes as f64 / tokens,
            messages_token: outcome.forwarded(MESSAGES) / tokens,
            resident: outcome.resident(),
        }
    }
}

impl Outcome {
    /// Tokens that came through the fleet; each answer was checked to have them all.
    fn tokens(&self) -> f64 {
        self.tokens_each as f64 * self.fleet.whole.len() as f64
    }

    fn forwarded(&self, name: &str) -> f64 {
        let sum = |samples: &[Sample]| -> f64 {
            let kind = |sample: &Sample| -> f64 {
                let kinds = FORWARDING.iter();
                let one = |kind: &&str| sample.counters.sum(name, &[SENT, ("kind", kind)]);
                kinds.map(one).sum()
            };
            samples.iter().map(kind).sum()
        };
        sum(&self.after) - sum(&self.before)
    }

    /// Largest resident memory of a daemon, in bytes.
    fn resident(&self) -> u64 {
        let resident = self.after.iter().map(|sample| sample.spent.resident);
        resident.max().unwrap_or(0)
    }
}

fn spent(outcome: &Outcome) -> Duration {
    let sum = |samples: &[Sample]| -> Duration {
        let times = samples.iter().map(|sample| sample.spent.processor);
        times.sum()
    };
    sum(&outcome.after).saturating_sub(sum(&outcome.before))
}

fn reuse(way: &Way) -> f64 {
    way.cached as f64 / way.prompt.max(1) as f64
}

impl Report {
    /// Prints the rounds, or their middle and spread.
    ///
    /// # Errors
    ///
    /// When the figures can't be written as JSON.
    pub fn print(&self, args: &Args) -> Result<()> {
        if args.json {
            let all = serde_json::json!({ "args": args, "rounds": self.rounds });
            println!("{}", serde_json::to_string_pretty(&all)?);
            return Ok(());
        }
        if self.rounds.is_empty() {
            return Err(LabError::Wrong("no round was counted".into()));
        }
        println!("middle of {} rounds [least, most]", self.rounds.len());
        self.times("first byte", |round| {
            (round.direct_first, round.fleet_first)
        });
        self.times("whole answer", |round| {
            (round.direct_whole, round.fleet_whole)
        });
        self.line("cache reuse, direct", |r| r.direct_reuse);
        self.line("cache reuse, fleet", |r| r.fleet_reuse);
        self.line("requests a second and core", |r| r.requests_core);
        self.line("tokens a second and core", |r| r.tokens_core);
        self.line("processor us a token", |r| r.processor_token);
        self.line("link bytes a token", |r| r.link_token);
        self.line("body bytes a token", |r| r.body_token);
        self.line("link messages a token", |r| r.messages_token);
        self.line("idle, processor us a second", |r| r.idle as f64);
        self.line("resident MiB of a daemon", |r| {
            r.resident as f64 / 1_048_576.0
        });
        Ok(())
    }

    fn times(&self, what: &str, pick: impl Fn(&Round) -> (Times, Times)) {
        for name in ["p50", "p95", "p99"] {
            let direct = |round: &Round| pick(round).0.at(name) as f64;
            let fleet = |round: &Round| pick(round).1.at(name) as f64;
            self.line(&format!("{what} {name}, direct, us"), direct);
            self.line(&format!("{what} {name}, fleet, us"), fleet);
            let ratio = |round: &Round| fleet(round) / direct(round);
            self.line(&format!("{what} {name}, ratio"), ratio);
        }
    }

    fn line(&self, what: &str, pick: impl Fn(&Round) -> f64) {
        let mut values: Vec<f64> = self.rounds.iter().map(pick).collect();
        values.sort_by(f64::total_cmp);
        let middle = values.get(values.len() / 2).copied().unwrap_or_default();
        let least = values.first().copied().unwrap_or_default();
        let most = values.last().copied().unwrap_or_default();
        println!("{what:34} {middle:>12.3}  [{least:.3}, {most:.3}]");
    }
}
