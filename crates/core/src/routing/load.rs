//! How much work each endpoint has, as one daemon sees it.
//!
//! A daemon knows its own requests exactly. What the others have there it
//! learns from the others, and from the load that endpoints tell in their
//! answers, less its own requests at that time; the older that is, the less it
//! counts. Work that grows is carried on: an endpoint that ranks first for more
//! than its share of prefixes would otherwise be filled far over the bound before
//! anybody hears of it.

use std::collections::HashMap;

use derive_more::Debug;
use foldhash::fast::RandomState;

use crate::clock::Millis;
use crate::routing::endpoint::InstanceId;

/// Age at which a report of others' work counts half: about the length of a model's answer.
const HALF_LIFE: Millis = Millis(1500);

/// Shortest time over which the growth of others' work is told: shorter ones show the chance of
/// single requests.
const GROWTH_SPAN: Millis = Millis(200);
/// Longest such time; what came before a longer silence says nothing of now.
const GROWTH_SPAN_MAX: Millis = Millis(800);
/// Age of others' work when a daemon hears of it: a report waits for half a beat in the mean, and
/// half a beat again at its hub.
const LATE: Millis = Millis(100);
/// Longest time for which others' work is taken to go on growing.
const AHEAD_MAX: Millis = Millis(600);

/// What an endpoint tells of its work.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// The work of one endpoint.
#[derive(Clone, Copy, PartialEq, Default)]
#[derive(Debug)]
struct Work {
    own: u32,
    others: u32,
    at: Millis,
    growth: Growth,
    /// Whether the endpoint is gone, so that this is dropped with its last request.
    gone: bool,
}

/// How fast others' work grows.
#[derive(Clone, Copy, PartialEq, Default)]
#[derive(Debug)]
struct Growth {
    /// Others' work as it was told at `at`.
    told: u32,
    at: Millis,
    /// Requests a millisecond; not less than none.
    pace: f64,
}

impl Growth {
    /// Takes others' work.
    fn note(&mut self, told: u32, now: Millis) {
        let span = now.since(self.at);
        if span < GROWTH_SPAN {
            return;
        }
        let is_known = self.at > Millis::ZERO && span <= GROWTH_SPAN_MAX;
        let more = match is_known {
            true => told.saturating_sub(self.told),
            false => 0,
        };
        *self = Self {
            told,
            at: now,
            pace: f64::from(more) / span.0 as f64,
        };
    }

    /// Requests that came since others' work was told so long ago.
    fn since(&self, age: Millis) -> f64 {
        self.pace * (age + LATE).min(AHEAD_MAX).0 as f64
    }
}

/// Requests at an endpoint, estimated.
#[derive(Clone, Copy, PartialEq, Default)]
#[derive(Debug)]
pub struct Estimate {
    /// As they were told.
    pub reported: f64,
    /// With those that came since.
    pub extrapolated: f64,
    /// Time since others' work was last heard of, none if never.
    pub age: Option<Millis>,
}

/// The work of all endpoints.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct LoadTracker {
    work: HashMap<InstanceId, Work, RandomState>,
}

impl LoadTracker {
    /// Counts a request that is sent.
    pub fn begin(&mut self, id: &InstanceId) {
        let work = self.work.entry(id.clone()).or_default();
        work.own += 1;
        work.gone = false;
    }

    /// Counts a request that has ended.
    pub fn end(&mut self, id: &InstanceId) {
        let Some(work) = self.work.get_mut(id) else {
            return;
        };
        work.own = work.own.saturating_sub(1);
        if work.gone && work.own == 0 {
            self.work.remove(id);
        }
    }

    /// Takes what an endpoint tells.
    pub fn report(&mut self, id: &InstanceId, report: LoadReport, now: Millis) {
        let work = self.work.entry(id.clone()).or_default();
        let total = report.running + report.waiting;
        work.others = total.saturating_sub(work.own);
        work.at = now;
    }

    /// Takes what other daemons have at an endpoint.
    pub fn set_others(&mut self, id: &InstanceId, in_flight: u32, now: Millis) {
        if in_flight == 0 && !self.work.contains_key(id) {
            return;
        }
        let work = self.work.entry(id.clone()).or_default();
        work.others = in_flight;
        work.at = now;
        work.growth.note(in_flight, now);
    }

    /// Forgets an endpoint, once this daemon's last request there has ended.
    pub fn forget(&mut self, id: &InstanceId) {
        match self.work.get_mut(id) {
            Some(work) if work.own > 0 => work.gone = true,
            _ => {
                self.work.remove(id);
            }
        }
    }

    /// Endpoints and this daemon's requests there.
    pub fn in_flight(&self) -> impl Iterator<Item = (&InstanceId, u32)> {
        self.work.iter().map(|(id, work)| (id, work.own))
    }

    /// Requests of this daemon at an endpoint.
    pub fn own(&self, id: &InstanceId) -> u32 {
        self.work.get(id).map_or(0, |work| work.own)
    }

    /// Time since others' work at an endpoint was last heard of, none if never.
    pub fn age(&self, id: &InstanceId, now: Millis) -> Option<Millis> {
        self.estimate(id, now).age
    }

    /// Requests at an endpoint, estimated, with those that came since others' work was told.
    pub fn total(&self, id: &InstanceId, now: Millis) -> f64 {
        self.estimate(id, now).extrapolated
    }

    /// What is known of the requests at an endpoint.
    pub fn estimate(&self, id: &InstanceId, now: Millis) -> Estimate {
        let Some(work) = self.work.get(id) else {
            return Estimate::default();
        };
        let age = now.since(work.at);
        let (own, others) = (f64::from(work.own), f64::from(work.others));
        let fading = age.fading(HALF_LIFE);
        let heard = work.at > Millis::ZERO;
        Estimate {
            reported: own + others * fading,
            extrapolated: own + (others + work.growth.since(age)) * fading,
            age: heard.then_some(age),
        }
    }
}
