//! What is measured of one run.

use std::collections::BTreeMap;

use medlarrill_core::reason::Reason;

use super::plant::Job;
use super::trace::Request;

/// The bound that samples are held against.
const BOUND: f64 = 1.25;
/// Slack for rounding, in tokens.
const SLACK: f64 = 2.0;
/// Waiting that one peer link adds, in milliseconds.
const HOP: u64 = 1;

/// One engine's load at one moment.
#[derive(Clone, Copy)]
pub(super) struct Load {
    pub(super) endpoint: usize,
    pub(super) load: f64,
    /// Work of the largest request that runs, as it was when it started.
    pub(super) grain: f64,
}

/// Loads over the bound, apart for agreeing and disagreeing homes.
#[derive(Clone, Copy, Default, Debug)]
pub(super) struct Over {
    pub(super) samples: u64,
    pub(super) over: u64,
    /// Largest load as a multiple of what is allowed.
    pub(super) worst: f64,
    /// Longest time that one engine stayed over, in milliseconds.
    pub(super) longest: u64,
}

#[derive(Default)]
pub(super) struct Measure {
    /// Start and end of the measurement.
    from: u64,
    until: u64,
    /// The institution that bursts.
    bursting: Option<usize>,
    step: u64,
    pub(super) offered: u64,
    pub(super) started: u64,
    pub(super) over_bound: u64,
    pub(super) prompt: u64,
    pub(super) cached: u64,
    pub(super) hops: u64,
    pub(super) passed: u64,
    pub(super) done: u64,
    pub(super) done_tokens: u64,
    pub(super) retries: u64,
    pub(super) returns: u64,
    pub(super) refusals: BTreeMap<&'static str, u64>,
    /// Time from a try's arrival to its refusal, in milliseconds.
    pub(super) refusal_times: Vec<u32>,
    pub(super) waits: Vec<u32>,
    /// Waits of those that don't burst.
    pub(super) others: Vec<u32>,
    pub(super) agreed: Over,
    pub(super) apart: Over,
    pub(super) control: u64,
    pub(super) why: BTreeMap<&'static str, u64>,
    pub(super) skews: Vec<f32>,
    pub(super) curve: Vec<f32>,
    mean: f64,
    since: BTreeMap<usize, u64>,
}

impl Measure {
    pub(super) fn new(from: u64, until: u64, step: u64, bursting: Option<usize>) -> Self {
        Self {
            from,
            until,
            step,
            bursting,
            ..Self::default()
        }
    }

    pub(super) fn seconds(&self) -> f64 {
        (self.until - self.from) as f64 / 1000.0
    }

    pub(super) fn is_on(&self, now: u64) -> bool {
        now >= self.from
    }

    fn counts(&self, request: &Request) -> bool {
        u64::from(request.at) >= self.from
    }

    pub(super) fn offered(&mut self, request: &Request) {
        if self.counts(request) {
            self.offered += 1;
        }
    }

    pub(super) fn started(&mut self, job: &Job, cached: u32, load: f64, now: u64) {
        if !self.counts(&job.request) {
            return;
        }
        self.started += 1;
        self.prompt += u64::from(job.request.prompt);
        self.cached += u64::from(cached);
        self.hops += u64::from(job.hops);
        if load > BOUND * self.mean + SLACK {
            self.over_bound += 1;
        }
        let wait = (now - job.came + HOP * u64::from(job.hops)) as u32;
        self.waits.push(wait);
        if Some(usize::from(job.request.institution)) != self.bursting {
            self.others.push(wait);
        }
    }

    pub(super) fn refused(&mut self, job: &Job, reason: Reason, now: u64) {
        if !self.counts(&job.request) {
            return;
        }
        *self.refusals.entry(reason.code()).or_default() += 1;
        self.refusal_times.push((now - job.came) as u32);
        self.returns += 1;
    }

    pub(super) fn retried(&mut self, job: &Job) {
        if self.counts(&job.request) {
            self.retries += 1;
        }
    }

    /// Counts all answers that end in the measured time, so that throughput isn't cut at its end.
    pub(super) fn done(&mut self, job: &Job, now: u64) {
        if self.is_on(now) {
            self.done += 1;
            self.done_tokens += u64::from(job.request.output);
        }
    }

    pub(super) fn placed(&mut self, job: &Job, why: &'static str) {
        if self.counts(&job.request) {
            *self.why.entry(why).or_default() += 1;
        }
    }

    pub(super) fn sample(&mut self, loads: &[Load], agreed: bool, now: u64) {
        let sum: f64 = loads.iter().map(|load| load.load).sum();
        self.mean = sum / loads.len().max(1) as f64;
        if !self.is_on(now) || self.mean <= 0.0 {
            return;
        }
        let mut largest = 0.0f64;
        for load in loads {
            let skew = load.load / self.mean;
            largest = largest.max(skew);
            self.skews.push(skew as f32);
            self.hold_against(load, agreed, now);
        }
        self.curve.push(largest as f32);
    }

    fn hold_against(&mut self, load: &Load, agreed: bool, now: u64) {
        let allowed = BOUND * self.mean + load.grain + SLACK;
        let over = match agreed {
            true => &mut self.agreed,
            false => &mut self.apart,
        };
        over.samples += 1;
        over.worst = over.worst.max(load.load / allowed);
        if load.load <= allowed {
            self.since.remove(&load.endpoint);
            return;
        }
        let since = *self.since.entry(load.endpoint).or_insert(now);
        over.over += 1;
        over.longest = over.longest.max(now - since + self.step);
    }
}

/// The value below which this share of the values lies.
pub(super) fn quantile<T: Copy + PartialOrd + Default>(values: &mut [T], share: f64) -> T {
    if values.is_empty() {
        return T::default();
    }
    let at = ((values.len() - 1) as f64 * share).round() as usize;
    let order = |a: &T, b: &T| a.partial_cmp(b).unwrap_or(std::cmp::Ordering::Equal);
    *values.select_nth_unstable_by(at, order).1
}
