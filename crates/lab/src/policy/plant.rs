//! All that the routers stand before: engines, requests on their way, and what is measured of them.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::sync::Arc;

use medlarrill_core::clock::Millis;
use medlarrill_core::ids::{
    AccountId, AttemptId, EndpointId, Incarnation, InstitutionId, RequestId,
};
use medlarrill_core::reason::Reason;

use super::engine::{Engine, Start};
use super::measure::Measure;
use super::size::Size;
use super::trace::{Request, Trace};

/// Times that a caller comes back after a refusal.
const CALLER_RETRIES: u8 = 2;
/// Retries inside the fleet, as a share of first tries.
const RETRY_SHARE: f64 = 0.1;
/// Retries inside the fleet for one request.
const FLEET_RETRIES: usize = 3;

/// A request on its way.
#[derive(Clone)]
pub(super) struct Job {
    pub(super) request: Request,
    /// Tries so far, by the fleet and the caller.
    pub(super) number: u32,
    /// How often the caller has come back.
    pub(super) returns: u8,
    /// When the present try arrived.
    pub(super) came: u64,
    /// Peer links crossed in this try.
    pub(super) hops: u32,
    /// Endpoints tried.
    pub(super) tried: Vec<usize>,
    /// The daemon whose directory placed it.
    pub(super) directory: usize,
    /// Prompt tokens expected to be cached at its endpoint.
    pub(super) cached: u64,
}

/// Whether an endpoint takes work in truth.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum Truth {
    Ready,
    Leaving,
    Down,
}

/// Names by number.
pub(super) struct Names {
    pub(super) endpoints: Vec<EndpointId>,
    pub(super) institutions: Vec<InstitutionId>,
    pub(super) accounts: Vec<AccountId>,
    /// Contract shares of the institutions.
    pub(super) shares: Vec<u32>,
}

pub(super) struct Plant {
    pub(super) size: Size,
    pub(super) names: Arc<Names>,
    pub(super) engines: Vec<Engine>,
    pub(super) truth: Vec<Truth>,
    pub(super) jobs: HashMap<u32, Job>,
    pub(super) measure: Measure,
    trace: Arc<Trace>,
    next: usize,
    returning: BinaryHeap<Reverse<Return>>,
    firsts: f64,
    retries: f64,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Return {
    at: u64,
    job: u32,
}

impl Plant {
    pub(super) fn new(size: &Size, names: Arc<Names>, trace: Arc<Trace>, measure: Measure) -> Self {
        let endpoints = size.endpoints();
        Self {
            size: size.clone(),
            names,
            engines: (0..endpoints).map(|_| Engine::new(size.engine)).collect(),
            truth: vec![Truth::Ready; endpoints],
            jobs: HashMap::new(),
            measure,
            trace,
            next: 0,
            returning: BinaryHeap::new(),
            firsts: 0.0,
            retries: 0.0,
        }
    }

    /// Requests that arrive up to now, first ones and those that come back.
    pub(super) fn arrivals(&mut self, now: u64) -> Vec<u32> {
        let mut arrived = Vec::new();
        while let Some(Reverse(back)) = self.returning.peek().copied()
            && back.at <= now
        {
            self.returning.pop();
            arrived.push(back.job);
        }
        while let Some(request) = self.trace.requests.get(self.next)
            && u64::from(request.at) <= now
        {
            let id = self.next as u32;
            self.next += 1;
            self.firsts += 1.0;
            self.measure.offered(request);
            self.jobs.insert(id, Job::new(*request, now));
            arrived.push(id);
        }
        for id in &arrived {
            if let Some(job) = self.jobs.get_mut(id) {
                job.came = now;
                job.hops = 0;
            }
        }
        arrived
    }

    pub(super) fn attempt(&self, id: u32, home: usize) -> AttemptId {
        AttemptId {
            request: RequestId(id.into()),
            number: self.jobs.get(&id).map_or(0, |job| job.number),
            sender: Incarnation(home as u64),
        }
    }

    /// Sends a request to an engine; `false` if the engine is lost.
    pub(super) fn start(&mut self, id: u32, endpoint: usize, home: usize, now: u64) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return true;
        };
        if self.truth[endpoint] == Truth::Down {
            return false;
        }
        let start = Start {
            job: id,
            request: job.request,
            expected: self.size.output,
            home: home as u16,
        };
        let load = self.engines[endpoint].work();
        let cached = self.engines[endpoint].start(start, now);
        self.measure.started(job, cached, load, now);
        true
    }

    /// Answers the caller that the request was not run; it may come back.
    pub(super) fn refuse(&mut self, id: u32, reason: Reason, after: Millis, now: u64) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        self.measure.refused(job, reason, now);
        if job.returns >= CALLER_RETRIES || after == Millis::ZERO {
            self.jobs.remove(&id);
            return;
        }
        job.returns += 1;
        job.number += 1;
        job.tried.clear();
        let at = now + after.0;
        self.returning.push(Reverse(Return { at, job: id }));
    }

    /// Whether the fleet may try a lost request once more; else the caller is told that it was lost.
    pub(super) fn may_retry(&mut self, id: u32, now: u64) -> bool {
        let Some(job) = self.jobs.get_mut(&id) else {
            return false;
        };
        let within = self.retries < RETRY_SHARE * self.firsts;
        if within && job.tried.len() < FLEET_RETRIES {
            self.retries += 1.0;
            job.number += 1;
            job.hops = 0;
            self.measure.retried(job);
            return true;
        }
        self.measure.refused(job, Reason::RetryBudget, now);
        self.jobs.remove(&id);
        false
    }

    /// A request got its whole answer.
    pub(super) fn done(&mut self, start: &Start, now: u64) {
        if let Some(job) = self.jobs.remove(&start.job) {
            self.measure.done(&job, now);
        }
    }

    pub(super) fn ready(&self, endpoint: usize) -> bool {
        self.truth[endpoint] == Truth::Ready
    }

    /// Looks at all engines' load.
    pub(super) fn sample(&mut self, agreed: bool, now: u64) {
        let truth = &self.truth;
        let ready = |n: &usize| truth[*n] == Truth::Ready;
        let numbers = (0..self.engines.len()).filter(ready);
        let engines = &self.engines;
        let loads = numbers.map(|n| (n, engines[n].work(), engines[n].grain()));
        let loads: Vec<_> = loads
            .map(|(endpoint, load, grain)| super::measure::Load {
                endpoint,
                load,
                grain,
            })
            .collect();
        self.measure.sample(&loads, agreed, now);
    }
}

impl Job {
    fn new(request: Request, now: u64) -> Self {
        Self {
            request,
            number: 0,
            returns: 0,
            came: now,
            hops: 0,
            tried: Vec::new(),
            directory: 0,
            cached: 0,
        }
    }
}
