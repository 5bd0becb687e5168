//! Admission to one pool.

use std::collections::HashMap;

use derive_more::Debug;

use super::capacity::{capacity, least};
use super::credit::Credit;
use super::demand::{Asked, Meter, PoolDemand};
use super::shares::{self, Level};
use super::{Caller, Cause, Offer, PoolState, Refused};
use crate::clock::Millis;

/// Time between two updates of the shares: a report.
const UPDATE_INTERVAL: Millis = Millis(100);
/// Part of its slots from which a pool counts as busy.
const BUSY_LOAD: f64 = 0.5;
/// Time for which a pool stays busy; shares don't begin and end with single requests.
const BUSY_TIME: Millis = Millis(3000);
/// Part of the target beyond which a request is expected to be late.
const LATE: f64 = 0.95;

/// One daemon's admission to one pool.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct PoolRoom {
    /// This daemon's requests by caller.
    offered: HashMap<Caller, Meter>,
    /// Responses to its requests.
    responses: Meter,
    credits: HashMap<Caller, Credit>,
    /// Latency target of the last request.
    target: Millis,
    updated: Option<Millis>,
    busy_until: Millis,
    used: Millis,
    /// The last division.
    division: Division,
    /// The last division by the sums of the whole fleet.
    known: Option<Division>,
}

/// Requests per second by caller, and how a capacity is divided among them.
#[derive(Clone, Default)]
#[derive(Debug)]
struct Division {
    /// Whether the sums are of the whole fleet.
    is_whole: bool,
    capacity: f64,
    /// Sorted by caller.
    rows: Vec<(Caller, Asked)>,
    levels: Vec<Level>,
    /// The rate of an account if all were equally urgent.
    common: f64,
}

impl Division {
    fn new(demand: &PoolDemand, capacity: f64, is_whole: bool) -> Self {
        let rows: Vec<(Caller, Asked)> = demand.rows.iter().map(|(c, a)| (*c, *a)).collect();
        let asked = rows.iter().map(|(_, asked)| *asked).collect();
        Self {
            is_whole,
            capacity,
            levels: shares::levels(&rows, capacity),
            common: shares::level(asked, capacity),
            rows,
        }
    }

    /// Requests per second of a caller.
    fn demand(&self, caller: Caller, own: f64) -> f64 {
        let row = shares::row_of(&self.rows, caller);
        row.map_or(own, Asked::mean)
    }

    /// Part of the requests of a caller that is admitted; all if nobody of its priority was known.
    fn part(&self, caller: Caller, demand: f64) -> f64 {
        let mut levels = self.levels.iter();
        let level = levels.find(|level| level.priority == caller.priority);
        let rate = level.map_or(self.capacity, |level| level.rate);
        shares::fraction(rate, demand)
    }
}

impl PoolRoom {
    /// Counts a request.
    pub fn record_offer(&mut self, caller: Caller, target: Millis, now: Millis) {
        self.offered.entry(caller).or_default().record(now);
        self.target = target;
        self.used = now;
    }

    /// Counts a response.
    pub fn record_response(&mut self, now: Millis) {
        self.responses.record(now);
    }

    /// Whether an update is due.
    pub fn is_due(&self, now: Millis) -> bool {
        self.updated
            .is_none_or(|at| now.since(at) >= UPDATE_INTERVAL)
    }

    /// Whether the pool has so many requests that others are told of the demand.
    pub fn is_busy(&self, now: Millis) -> bool {
        now < self.busy_until
    }

    /// Whether there were requests to the pool recently.
    pub fn is_used(&self, now: Millis) -> bool {
        now.since(self.used) < Millis(10 * BUSY_TIME.0)
    }

    /// What this daemon's callers ask for, and the responses that it gets.
    pub fn observed(&self, now: Millis) -> PoolDemand {
        let row = |(caller, meter): (&Caller, &Meter)| {
            let rate = meter.rate(now);
            (*caller, Asked { accounts: 1, rate })
        };
        PoolDemand {
            responses: self.responses.rate(now),
            rows: self.offered.iter().map(row).collect(),
        }
    }

    /// Divides the pool's capacity anew. `fleet` are the sums of the whole fleet, `None` if they
    /// aren't known; within, `None` if the pool isn't busy.
    pub fn update(&mut self, fleet: Option<Option<&PoolDemand>>, state: PoolState, now: Millis) {
        self.updated = Some(now);
        if state.load >= BUSY_LOAD * state.slots {
            self.busy_until = now + BUSY_TIME;
        }
        self.offered.retain(|_, meter| !meter.is_idle(now));
        let offered = &self.offered;
        self.credits
            .retain(|caller, _| offered.contains_key(caller));
        let own = self.observed(now);
        let (slots, target) = (state.slots, self.target);
        if state.is_sole || fleet.is_some() {
            let sums = match (state.is_sole, fleet.flatten()) {
                (false, Some(fleet)) => fleet,
                _ => &own,
            };
            let capacity = capacity(sums.responses, state.load, slots, target);
            self.division = Division::new(sums, capacity, true);
            self.known = Some(self.division.clone());
            return;
        }
        let known = self.known.as_ref().map(|known| known.capacity);
        let capacity = known.unwrap_or_else(|| least(slots, target));
        self.division = Division::new(&own, capacity * state.part, false);
    }

    /// Decides on a request that was counted.
    ///
    /// # Errors
    ///
    /// The refusal.
    pub fn admit(&mut self, offer: Offer, now: Millis) -> Result<(), Refused> {
        let Offer { caller, draw, .. } = offer;
        let own = self
            .offered
            .get(&caller)
            .map_or(0.0, |meter| meter.rate(now));
        let demand = self.division.demand(caller, own);
        let mut part = self.division.part(caller, demand);
        if let Some(known) = self.known.as_ref().filter(|_| !self.division.is_whole) {
            part = part.min(known.part(caller, known.demand(caller, own)));
        }
        let target = offer.target.0 as f64;
        let is_late = offer.expected.is_some_and(|time| time > target * LATE);
        let credit = self.credits.entry(caller).or_insert(Credit::new(draw));
        let is_admitted = credit.admit(part, offer.has_slot);
        if is_admitted && (part >= 1.0 || offer.has_slot || !is_late) {
            return Ok(());
        }
        if is_admitted {
            credit.restore();
        }
        Err(Refused {
            cause: self.division.cause(part, demand),
            demand,
            share: part,
            capacity: self.division.capacity,
            wait: credit.wait(part, own, offer.target, offer.left, draw),
        })
    }
}

impl Division {
    /// Why a part of the requests of a caller is refused.
    fn cause(&self, part: f64, demand: f64) -> Cause {
        match self.is_whole {
            false => Cause::Room,
            true if shares::fraction(self.common, demand) > part => Cause::Urgency,
            true => Cause::Share,
        }
    }
}
