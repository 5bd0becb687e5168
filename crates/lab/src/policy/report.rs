//! Rows of the output, as a table or as JSON.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde::Serialize;

use super::Policy;
use super::measure::{Measure, Over, quantile};
use super::world::Setup;

/// Samples of the engines' load over the bound plus one request's grain.
#[derive(Clone, Copy, PartialEq, Default, Debug)]
#[derive(Serialize)]
pub struct OverBound {
    /// Share of the samples.
    pub share: f64,
    /// Largest load as a multiple of what is allowed.
    pub worst: f64,
    /// Longest time that one engine stayed over, in seconds.
    pub longest: f64,
}

impl OverBound {
    fn new(over: &Over) -> Self {
        Self {
            share: ratio(over.over, over.samples),
            worst: over.worst,
            longest: over.longest as f64 / 1000.0,
        }
    }
}

/// What one run gave.
#[derive(Clone, PartialEq, Debug)]
#[derive(Serialize)]
pub struct Row {
    /// Installation.
    pub size: String,
    /// Scenario.
    pub scenario: String,
    /// Policy.
    pub policy: Policy,
    /// Offered requests.
    pub requests: u64,
    /// Prompt tokens served from cache over prompt tokens.
    pub reuse: f64,
    /// The same over that of the all-knowing placement.
    pub reuse_share: f64,
    /// Largest load of an engine over the pool's mean.
    pub skew_max: f64,
    /// 99.9th percentile of the same.
    pub skew_p999: f64,
    /// Requests started at an engine whose load was over 1.25 times the mean, over all started.
    pub over_bound: f64,
    /// Samples over the bound plus a grain, while homes agree.
    pub over_agreed: OverBound,
    /// The same while homes differ, and for 15 s after.
    pub over_apart: OverBound,
    /// Refusals by reason, each try for itself.
    pub refusals: BTreeMap<String, u64>,
    /// 99th percentile of the time to a refusal, in milliseconds.
    pub refusal_p99: u32,
    /// Wait before the engine in milliseconds, median.
    pub wait_p50: u32,
    /// Wait before the engine in milliseconds, 99th percentile.
    pub wait_p99: u32,
    /// The same of the institutions that don't surge.
    pub others_p99: u32,
    /// `others_p99` over `wait_p99` of the same policy in the steady scenario.
    pub others_rise: f64,
    /// Peer links per request.
    pub hops: f64,
    /// Requests passed on by a home, over all started.
    pub passed: f64,
    /// Control bytes sent and received, per daemon and second.
    pub control: f64,
    /// Generated tokens of whole answers over the installation's capacity.
    pub throughput: f64,
    /// Retries inside the fleet over first tries.
    pub retries: f64,
    /// Placements by kind over all.
    pub why: BTreeMap<String, f64>,
    /// Largest skew in each tenth of a second of the measurement.
    #[serde(skip)]
    pub curve: Vec<f32>,
}

fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}

fn shares(counts: &BTreeMap<&'static str, u64>) -> BTreeMap<String, f64> {
    let whole = counts.values().sum();
    let share = |(name, count): (&&str, &u64)| ((*name).into(), ratio(*count, whole));
    counts.iter().map(share).collect()
}

impl Row {
    pub(super) fn new(setup: &Setup, capacity: f64, mut measure: Measure) -> Self {
        let daemons = setup.size.daemons() as f64;
        let seconds = measure.seconds();
        let skew_p999 = quantile(&mut measure.skews, 0.999);
        let skew_max = quantile(&mut measure.skews, 1.0);
        let refusals = measure.refusals.iter();
        Self {
            size: setup.size.name.into(),
            scenario: setup.scenario.name.into(),
            policy: setup.policy,
            requests: measure.offered,
            reuse: ratio(measure.cached, measure.prompt),
            reuse_share: 0.0,
            skew_max: skew_max.into(),
            skew_p999: skew_p999.into(),
            over_bound: ratio(measure.over_bound, measure.started),
            over_agreed: OverBound::new(&measure.agreed),
            over_apart: OverBound::new(&measure.apart),
            refusals: refusals.map(|(name, n)| ((*name).into(), *n)).collect(),
            refusal_p99: quantile(&mut measure.refusal_times, 0.99),
            wait_p50: quantile(&mut measure.waits, 0.5),
            wait_p99: quantile(&mut measure.waits, 0.99),
            others_p99: quantile(&mut measure.others, 0.99),
            others_rise: 0.0,
            hops: ratio(measure.hops, measure.started),
            passed: ratio(measure.passed, measure.started),
            control: measure.control as f64 / seconds / daemons,
            throughput: measure.done_tokens as f64 / seconds / capacity,
            retries: ratio(measure.retries, measure.offered),
            why: shares(&measure.why),
            curve: measure.curve,
        }
    }

    /// Refusals for all reasons.
    pub fn refused(&self) -> u64 {
        self.refusals.values().sum()
    }
}

/// Fills in what is measured against other rows.
pub(super) fn compared(mut rows: Vec<Row>) -> Vec<Row> {
    let all = rows.clone();
    for row in &mut rows {
        let limit = all.iter().find(|other| {
            other.policy == Policy::AllKnowing
                && (&other.size, &other.scenario) == (&row.size, &row.scenario)
        });
        row.reuse_share = limit.map_or(0.0, |limit| row.reuse / limit.reuse);
        let steady = all.iter().find(|other| {
            other.scenario == "steady" && (&other.size, other.policy) == (&row.size, row.policy)
        });
        row.others_rise = steady.map_or(0.0, |steady| {
            f64::from(row.others_p99) / f64::from(steady.wait_p99.max(1))
        });
    }
    rows
}

const HEADER: &str = "\
size     scenario  policy       reuse  share | skew max p99.9  over%  | samples over: agreed worst  s | apart worst  s \
| refused  r.p99 | wait p50    p99 others  rise | hops passed | ctl B/s thrput retry%";

/// All rows as a table.
pub fn table(rows: &[Row]) -> String {
    let mut out = format!("{HEADER}\n");
    for row in rows {
        let (agreed, apart) = (&row.over_agreed, &row.over_apart);
        let _ = write!(
            out,
            "{:8} {:9} {:12} {:.3} {:.3} | {:7.2} {:6.2} {:6.2} |",
            row.size,
            row.scenario,
            row.policy.to_string(),
            row.reuse,
            row.reuse_share,
            row.skew_max,
            row.skew_p999,
            row.over_bound * 100.0,
        );
        let _ = write!(
            out,
            " {:9.4}% {:9.2} {:4.1} | {:7.4}% {:.2} {:4.1} | {:6} {:6} |",
            agreed.share * 100.0,
            agreed.worst,
            agreed.longest,
            apart.share * 100.0,
            apart.worst,
            apart.longest,
            row.refused(),
            row.refusal_p99,
        );
        let _ = writeln!(
            out,
            " {:7} {:6} {:6} {:5.2} | {:.2} {:.3} | {:7.0} {:.3} {:.2}",
            row.wait_p50,
            row.wait_p99,
            row.others_p99,
            row.others_rise,
            row.hops,
            row.passed,
            row.control,
            row.throughput,
            row.retries * 100.0,
        );
    }
    out
}
