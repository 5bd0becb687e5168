//! Estimates the load of each endpoint as seen by one daemon.
//!
//! A daemon knows its own requests exactly. The requests of other daemons come
//! from their reports, and from the load that endpoints report in their
//! responses, minus its own requests at that time; the older they are, the less
//! they count. Growing load is extrapolated: an endpoint that ranks first for more
//! than its share of prefixes would otherwise be filled far over the load bound
//! before any daemon learns of it.

use std::collections::HashMap;

use derive_more::Debug;
use foldhash::fast::RandomState;

use crate::clock::Millis;
use crate::routing::endpoint::InstanceId;

/// Age at which the reported load of other daemons counts half: about the duration of a model's
/// response.
const HALF_LIFE: Millis = Millis(1500);

/// Shortest time over which the growth of others' load is measured: over shorter ones, single
/// requests dominate.
const MIN_GROWTH_TIME: Millis = Millis(200);
/// Longest such time; a report from before a longer gap says nothing about the current growth.
const MAX_GROWTH_TIME: Millis = Millis(800);
/// Age of a report when a daemon receives it: on average it waits half an interval at the sender,
/// and half an interval again at the hub.
const REPORT_DELAY: Millis = Millis(100);
/// Time for which an endpoint without requests is remembered, so that its growth is measured from
/// zero when it gets some.
const IDLE_RETENTION: Millis = Millis::from_secs(5);
/// Longest time over which the growth of others' load is extrapolated.
const MAX_EXTRAPOLATION: Millis = Millis(600);

/// Load that an endpoint reports in a response.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub struct LoadReport {
    /// Requests that are running.
    pub running: u32,
    /// Requests that are queued.
    pub waiting: u32,
    /// Requests that can run concurrently.
    pub slots: u32,
}

/// Requests at one endpoint.
#[derive(Clone, Copy, PartialEq, Default)]
#[derive(Debug)]
struct Load {
    /// Requests of this daemon.
    own: u32,
    /// Requests of other daemons, as reported at `at`.
    others: u32,
    at: Millis,
    growth: Growth,
    /// When there were last requests of any daemon.
    busy_at: Millis,
    /// The last update of all endpoints that named this one.
    update: u64,
    /// Whether the endpoint was removed, so that this is dropped with its last request.
    removed: bool,
}

impl Load {
    /// Sets the requests of other daemons, as reported at `now`.
    fn set_others(&mut self, in_flight: u32, now: Millis) {
        self.others = in_flight;
        self.at = now;
        self.growth.record(in_flight, now);
        if self.own > 0 || in_flight > 0 {
            self.busy_at = now;
        }
    }

    fn estimate(&self, now: Millis) -> Estimate {
        let age = now.since(self.at);
        let (own, others) = (f64::from(self.own), f64::from(self.others));
        let decay = age.decay_factor(HALF_LIFE);
        let has_report = self.at > Millis::ZERO;
        Estimate {
            reported: own + others * decay,
            extrapolated: own + (others + self.growth.since(age)) * decay,
            age: has_report.then_some(age),
        }
    }
}

/// How fast the load of other daemons grows.
#[derive(Clone, Copy, PartialEq, Default)]
#[derive(Debug)]
struct Growth {
    /// Others' requests as reported at `at`.
    reported: u32,
    at: Millis,
    /// Requests per millisecond; never negative.
    rate: f64,
}

impl Growth {
    /// Records a report of others' requests.
    fn record(&mut self, reported: u32, now: Millis) {
        let elapsed = now.since(self.at);
        if elapsed < MIN_GROWTH_TIME {
            return;
        }
        let is_known = self.at > Millis::ZERO && elapsed <= MAX_GROWTH_TIME;
        let more = match is_known {
            true => reported.saturating_sub(self.reported),
            false => 0,
        };
        *self = Self {
            reported,
            at: now,
            rate: f64::from(more) / elapsed.0 as f64,
        };
    }

    /// Requests expected to have been added since a report that is `age` old.
    fn since(&self, age: Millis) -> f64 {
        self.rate * (age + REPORT_DELAY).min(MAX_EXTRAPOLATION).0 as f64
    }
}

/// Estimated number of requests at an endpoint.
#[derive(Clone, Copy, PartialEq, Default)]
#[derive(Debug)]
pub struct Estimate {
    /// From the reports alone.
    pub reported: f64,
    /// Including the extrapolated growth since the last report.
    pub extrapolated: f64,
    /// Time since the last report of others' requests; none if there was none.
    pub age: Option<Millis>,
}

/// Requests at all endpoints.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct LoadTracker {
    loads: HashMap<InstanceId, Load, RandomState>,
    /// Number of updates of all endpoints so far.
    updates: u64,
}

impl LoadTracker {
    /// Counts a request that this daemon sends.
    pub fn begin(&mut self, id: &InstanceId) {
        let load = self.loads.entry(id.clone()).or_default();
        load.own += 1;
        load.removed = false;
    }

    /// Discounts a request that has ended.
    pub fn end(&mut self, id: &InstanceId) {
        let Some(load) = self.loads.get_mut(id) else {
            return;
        };
        load.own = load.own.saturating_sub(1);
        if load.removed && load.own == 0 {
            self.loads.remove(id);
        }
    }

    /// Records the load that an endpoint reported.
    pub fn report(&mut self, id: &InstanceId, report: LoadReport, now: Millis) {
        let load = self.loads.entry(id.clone()).or_default();
        let total = report.running.saturating_add(report.waiting);
        load.others = total.saturating_sub(load.own);
        load.at = now;
    }

    /// Sets the requests that other daemons have in flight at an endpoint.
    pub fn set_others(&mut self, id: &InstanceId, in_flight: u32, now: Millis) {
        if in_flight == 0 && !self.loads.contains_key(id) {
            return;
        }
        let load = self.loads.entry(id.clone()).or_default();
        load.set_others(in_flight, now);
    }

    /// Sets the requests that other daemons have in flight at all endpoints; those that `busy`
    /// doesn't name have none. Takes time by the number of busy endpoints, not of all.
    pub fn set_all_others<'a>(
        &mut self,
        busy: impl Iterator<Item = (&'a InstanceId, u32)>,
        now: Millis,
    ) {
        self.updates += 1;
        for (id, in_flight) in busy {
            if in_flight > 0 {
                let load = self.loads.entry(id.clone()).or_default();
                load.set_others(in_flight, now);
                load.update = self.updates;
            }
        }
        for load in self.loads.values_mut() {
            if load.update < self.updates && !load.removed {
                load.set_others(0, now);
            }
        }
        self.loads
            .retain(|_, load| load.own > 0 || now.since(load.busy_at) < IDLE_RETENTION);
    }

    /// Removes an endpoint, once this daemon's last request there has ended.
    pub fn forget(&mut self, id: &InstanceId) {
        match self.loads.get_mut(id) {
            Some(load) if load.own > 0 => load.removed = true,
            _ => {
                self.loads.remove(id);
            }
        }
    }

    /// Endpoints, with the number of this daemon's requests in flight there.
    pub fn in_flight(&self) -> impl Iterator<Item = (&InstanceId, u32)> {
        self.loads.iter().map(|(id, load)| (id, load.own))
    }

    /// Number of this daemon's requests in flight at an endpoint.
    pub fn own(&self, id: &InstanceId) -> u32 {
        self.loads.get(id).map_or(0, |load| load.own)
    }

    /// Time since the last report of others' requests at an endpoint; none if there was none.
    pub fn age(&self, id: &InstanceId, now: Millis) -> Option<Millis> {
        self.estimate(id, now).age
    }

    /// Estimated number of requests at an endpoint, including extrapolated growth.
    pub fn total(&self, id: &InstanceId, now: Millis) -> f64 {
        self.estimate(id, now).extrapolated
    }

    /// Estimates the requests at an endpoint.
    pub fn estimate(&self, id: &InstanceId, now: Millis) -> Estimate {
        let load = self.loads.get(id);
        load.map_or_else(Estimate::default, |load| load.estimate(now))
    }

    /// Estimated numbers of requests at all endpoints that have any.
    pub fn estimates(&self, now: Millis) -> impl Iterator<Item = (&InstanceId, Estimate)> {
        let is_busy = |load: &Load| load.own > 0 || load.others > 0 || load.growth.rate > 0.0;
        let busy = self.loads.iter().filter(move |(_, load)| is_busy(load));
        busy.map(move |(id, load)| (id, load.estimate(now)))
    }
}
