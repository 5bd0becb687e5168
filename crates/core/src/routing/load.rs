//! How much work each endpoint has, as one daemon sees it.
//!
//! A daemon knows its own requests exactly. What the others have there it
//! learns from the others, and from the load that endpoints tell in their
//! answers, less its own requests at that time; the older that is, the less it
//! counts.
//!
//! A load is counted in running requests. A prompt that isn't read yet counts
//! as several: who comes next waits for it to be read, and hardly for streams
//! that run.

use std::collections::HashMap;

use derive_more::Debug;

use crate::clock::Millis;
use crate::routing::endpoint::InstanceId;
use crate::routing::request::SharedPrefix;

/// Age at which a report of others' work counts half. Model answers take one to two seconds
/// here, so most of what a report counted has ended after twice this.
const HALF_LIFE: Millis = Millis(1500);

/// Load of a request until its first event, against one that runs.
///
/// An endpoint reads prompts one after the other, a long one in a quarter of a second, so that
/// four that wait make the next caller's first event later than a second. By number alone four
/// that wait would count as little as four that run.
const READING: u32 = 3;

/// How far a request is at its endpoint.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub enum Stage {
    /// Its prompt waits to be read, or is being read.
    Reading,
    /// It runs.
    Running,
}

impl Stage {
    /// How a request begins; those without a prompt run at once.
    pub const fn first(prompt: Option<&SharedPrefix>) -> Self {
        match prompt {
            Some(_) => Self::Reading,
            None => Self::Running,
        }
    }

    const fn load(self) -> u32 {
        match self {
            Self::Reading => READING,
            Self::Running => 1,
        }
    }
}

/// What an endpoint tells of its work.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub struct Report {
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
    /// Whether the endpoint is gone, so that this is dropped with its last request.
    gone: bool,
}

/// The work of all endpoints.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct Loads {
    work: HashMap<InstanceId, Work>,
}

impl Loads {
    /// Counts a request that is sent.
    pub fn begin(&mut self, id: &InstanceId, stage: Stage) {
        let work = self.work.entry(id.clone()).or_default();
        work.own += stage.load();
        work.gone = false;
    }

    /// Counts a request whose prompt was read as running.
    pub fn run(&mut self, id: &InstanceId, stage: Stage) {
        if let Some(work) = self.work.get_mut(id) {
            let less = stage.load() - Stage::Running.load();
            work.own = work.own.saturating_sub(less);
        }
    }

    /// Counts a request that has ended.
    pub fn end(&mut self, id: &InstanceId, stage: Stage) {
        let Some(work) = self.work.get_mut(id) else {
            return;
        };
        work.own = work.own.saturating_sub(stage.load());
        if work.gone && work.own == 0 {
            self.work.remove(id);
        }
    }

    /// Takes what an endpoint tells.
    pub fn report(&mut self, id: &InstanceId, report: Report, now: Millis) {
        let work = self.work.entry(id.clone()).or_default();
        let total = report.running + report.waiting;
        work.others = total.saturating_sub(work.own);
        work.at = now;
    }

    /// Takes what other daemons have at an endpoint.
    pub fn others(&mut self, id: &InstanceId, load: u32, now: Millis) {
        if load == 0 && !self.work.contains_key(id) {
            return;
        }
        let work = self.work.entry(id.clone()).or_default();
        work.others = load;
        work.at = now;
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

    /// Endpoints and what this daemon's requests are there.
    pub fn told(&self) -> impl Iterator<Item = (&InstanceId, u32)> {
        self.work.iter().map(|(id, work)| (id, work.own))
    }

    /// Load of this daemon's requests at an endpoint.
    pub fn own(&self, id: &InstanceId) -> u32 {
        self.work.get(id).map_or(0, |work| work.own)
    }

    /// Time since others' work at an endpoint was last heard of, none if never.
    pub fn age(&self, id: &InstanceId, now: Millis) -> Option<Millis> {
        let heard = self.work.get(id).filter(|work| work.at > Millis::ZERO);
        heard.map(|work| now.since(work.at))
    }

    /// Load of an endpoint, estimated.
    pub fn total(&self, id: &InstanceId, now: Millis) -> f64 {
        let Some(work) = self.work.get(id) else {
            return 0.0;
        };
        let fresh = now.since(work.at).fading(HALF_LIFE);
        f64::from(work.own) + f64::from(work.others) * fresh
    }
}
