//! How much work each endpoint has, as one daemon sees it.
//!
//! A daemon knows its own requests exactly. What the others have there it
//! learns from the others, and from the load that endpoints tell in their
//! answers, less its own requests at that time; the older that is, the less it
//! counts.

use std::collections::HashMap;

use derive_more::Debug;
use foldhash::fast::RandomState;

use crate::clock::Millis;
use crate::routing::endpoint::InstanceId;

/// Age at which a report of others' work counts half: about the length of a model's answer.
const HALF_LIFE: Millis = Millis(1500);

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
    work: HashMap<InstanceId, Work, RandomState>,
}

impl Loads {
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
    pub fn report(&mut self, id: &InstanceId, report: Report, now: Millis) {
        let work = self.work.entry(id.clone()).or_default();
        let total = report.running + report.waiting;
        work.others = total.saturating_sub(work.own);
        work.at = now;
    }

    /// Takes what other daemons have at an endpoint.
    pub fn others(&mut self, id: &InstanceId, in_flight: u32, now: Millis) {
        if in_flight == 0 && !self.work.contains_key(id) {
            return;
        }
        let work = self.work.entry(id.clone()).or_default();
        work.others = in_flight;
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
        self.look(id, now).1
    }

    /// Requests at an endpoint, estimated.
    pub fn total(&self, id: &InstanceId, now: Millis) -> f64 {
        self.look(id, now).0
    }

    /// Requests at an endpoint, estimated, and the time since others' work there was last heard of.
    pub fn look(&self, id: &InstanceId, now: Millis) -> (f64, Option<Millis>) {
        let Some(work) = self.work.get(id) else {
            return (0.0, None);
        };
        let others = match work.others {
            0 => 0.0,
            others => f64::from(others) * now.since(work.at).fading(HALF_LIFE),
        };
        let heard = work.at > Millis::ZERO;
        let age = heard.then(|| now.since(work.at));
        (f64::from(work.own) + others, age)
    }
}
