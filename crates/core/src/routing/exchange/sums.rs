//! Sums by endpoint with versions, so that a listener is told only what it doesn't know.
//!
//! Whoever sums up keeps a [`VersionedSums`] and marks it each tick: rows that differ
//! enough from what was told of them bear the new version from then on. A
//! listener keeps a [`SumsCopy`], says which version that has reached, and is sent
//! the rows that are newer. Rows hold values, not differences, and outcomes
//! are counted up: a datagram that is lost, late or doubled loses nothing and
//! counts nothing twice.

use std::collections::{BTreeMap, HashMap};

use derive_more::Debug;

use crate::clock::Millis;

/// A load is told at once when it differs from what was told by more than this part of it. At a
/// load of 7, where the bound lies at 12, it is known to one request, and many
/// fewer rows are told than if each change were.
const COARSE: u32 = 4;
/// Requests by which a load may differ untold, however large it is: a busy endpoint is filled over
/// the bound by a quarter of its load within the time of a few reports.
const COARSE_MAX: u32 = 2;
/// Time after which any difference of a load is told.
const SETTLE: Millis = Millis(1000);
/// Good answers that are told at once. Plain endpoints give as many in a tick or two, and their
/// pace is judged by it; engines give five a second.
const GOOD_STEP: u32 = 8;
/// Time after which fewer good answers are told. Failed attempts never wait, and take along the
/// good answers that they are weighed against.
const GOOD_SETTLE: Millis = Millis(2000);
/// Time after which a row with requests is told although nothing changed, so that whatever a
/// listener has wrong ends.
const RENEW: Millis = Millis::from_secs(5);
/// Time after which a row without requests is dropped. Listeners know its zero by then.
const IDLE: Millis = Millis::from_secs(60);

/// A version of one board.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct Version {
    /// Distinguishes the boards of one daemon over its restarts.
    #[prost(fixed32, tag = "1")]
    pub epoch: u32,
    /// Counts marks.
    #[prost(uint32, tag = "2")]
    pub number: u32,
}

/// Rows that bring a copy up to a version; one entry of each column makes a row.
#[derive(Clone, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct Delta {
    /// The version that is reached.
    #[prost(message, required, tag = "1")]
    pub version: Version,
    /// Number of the version that the copy has to have reached; zero where these are all rows.
    #[prost(uint32, tag = "2")]
    pub base: u32,
    /// Short forms of endpoints' ids.
    #[prost(fixed32, repeated, tag = "3")]
    pub endpoints: Vec<u32>,
    /// Requests in flight.
    #[prost(uint32, repeated, tag = "4")]
    pub in_flight: Vec<u32>,
    /// Good answers since the board was made.
    #[prost(uint32, repeated, tag = "5")]
    pub good: Vec<u32>,
    /// Failed attempts since the board was made.
    #[prost(uint32, repeated, tag = "6")]
    pub bad: Vec<u32>,
}

/// What is summed up for one endpoint.
#[derive(Clone, Copy, PartialEq, Eq, Default)]
#[derive(Debug)]
struct Sum {
    in_flight: u32,
    good: u32,
    bad: u32,
}

/// Answers of an endpoint that a copy hadn't counted.
#[derive(Clone, Copy, PartialEq, Eq, Default)]
#[derive(Debug)]
pub struct OutcomeCounts {
    /// Good ones.
    pub good: u32,
    /// Failed attempts.
    pub bad: u32,
}

impl OutcomeCounts {
    /// Adds further ones.
    pub const fn add(&mut self, other: Self) {
        self.good = self.good.saturating_add(other.good);
        self.bad = self.bad.saturating_add(other.bad);
    }

    /// What is left without some, and how many of those were taken off.
    pub fn without(self, other: Self) -> (Self, Self) {
        let off = Self {
            good: self.good.min(other.good),
            bad: self.bad.min(other.bad),
        };
        let left = Self {
            good: self.good - off.good,
            bad: self.bad - off.bad,
        };
        (left, off)
    }
}

#[derive(Clone, Copy)]
#[derive(Debug)]
struct Row {
    sum: Sum,
    told: Sum,
    /// Number of the version in which it was last told.
    number: u32,
    at: Millis,
}

impl Row {
    fn is_due(&self, now: Millis) -> bool {
        let age = now.since(self.at);
        if self.sum == self.told {
            return self.sum.in_flight > 0 && age >= RENEW;
        }
        let moved = self.sum.in_flight.abs_diff(self.told.in_flight);
        let good = self.sum.good.wrapping_sub(self.told.good);
        moved > (self.told.in_flight / COARSE).min(COARSE_MAX)
            || self.sum.bad != self.told.bad
            || good >= GOOD_STEP
            || moved > 0 && age >= SETTLE
            || age >= GOOD_SETTLE
    }
}

/// Sums that a daemon tells others.
#[derive(Clone)]
#[derive(Debug)]
pub struct VersionedSums {
    version: Version,
    rows: BTreeMap<u32, Row>,
}

impl VersionedSums {
    /// Nothing is summed up yet.
    pub const fn new(epoch: u32) -> Self {
        Self {
            version: Version { epoch, number: 0 },
            rows: BTreeMap::new(),
        }
    }

    fn sum(&mut self, endpoint: u32) -> &mut Sum {
        let row = self.rows.entry(endpoint).or_insert(Row {
            sum: Sum::default(),
            told: Sum::default(),
            number: 0,
            at: Millis::ZERO,
        });
        &mut row.sum
    }

    /// Counts answers of an endpoint.
    pub fn count(&mut self, endpoint: u32, answers: OutcomeCounts) {
        if answers == OutcomeCounts::default() {
            return;
        }
        let sum = self.sum(endpoint);
        sum.good = sum.good.wrapping_add(answers.good);
        sum.bad = sum.bad.wrapping_add(answers.bad);
    }

    /// Sets the requests in flight, and makes a new version of what has changed enough.
    pub fn publish(&mut self, loads: &HashMap<u32, u32>, now: Millis) {
        for row in self.rows.values_mut() {
            row.sum.in_flight = 0;
        }
        for (endpoint, in_flight) in loads {
            self.sum(*endpoint).in_flight = *in_flight;
        }
        self.version.number += 1;
        for row in self.rows.values_mut().filter(|row| row.is_due(now)) {
            row.told = row.sum;
            row.number = self.version.number;
            row.at = now;
        }
        self.rows
            .retain(|_, row| row.sum.in_flight > 0 || now.since(row.at) < IDLE);
    }

    /// What brings a copy that has reached a version up to this one.
    pub fn delta_since(&self, reached: Option<Version>) -> Delta {
        let known = reached.filter(|version| version.epoch == self.version.epoch);
        let base = known.map_or(0, |version| version.number);
        let mut delta = Delta {
            version: self.version,
            base,
            ..Delta::default()
        };
        for (endpoint, row) in self.rows.iter().filter(|(_, row)| row.number > base) {
            delta.endpoints.push(*endpoint);
            delta.in_flight.push(row.told.in_flight);
            delta.good.push(row.told.good);
            delta.bad.push(row.told.bad);
        }
        delta
    }
}

impl Delta {
    fn rows(&self) -> impl Iterator<Item = (u32, Sum)> {
        let loads = self.endpoints.iter().zip(&self.in_flight);
        let answers = self.good.iter().zip(&self.bad);
        loads
            .zip(answers)
            .map(|((endpoint, in_flight), (good, bad))| {
                let sum = Sum {
                    in_flight: *in_flight,
                    good: *good,
                    bad: *bad,
                };
                (*endpoint, sum)
            })
    }
}

/// Another daemon's board, as far as it was told.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct SumsCopy {
    version: Option<Version>,
    rows: HashMap<u32, Sum>,
}

impl SumsCopy {
    /// The version that it has reached.
    pub const fn reached(&self) -> Option<Version> {
        self.version
    }

    /// Takes rows; returns the answers that they add. None if they don't follow on what is known,
    /// or are no news.
    pub fn take(&mut self, delta: &Delta) -> Option<Vec<(u32, OutcomeCounts)>> {
        let same = self
            .version
            .filter(|version| version.epoch == delta.version.epoch);
        let reached = same.map_or(0, |version| version.number);
        if delta.base > reached || same.is_some() && delta.version.number <= reached {
            return None;
        }
        if same.is_none() {
            // What was counted before is no news of now.
            self.rows = delta.rows().collect();
            self.version = Some(delta.version);
            return Some(Vec::new());
        }
        if delta.base == 0 {
            for sum in self.rows.values_mut() {
                sum.in_flight = 0;
            }
        }
        self.version = Some(delta.version);
        let put = |(endpoint, sum)| (endpoint, self.put(endpoint, sum));
        let counted: Vec<(u32, OutcomeCounts)> = delta.rows().map(put).collect();
        Some(counted)
    }

    fn put(&mut self, endpoint: u32, sum: Sum) -> OutcomeCounts {
        let before = self.rows.insert(endpoint, sum).unwrap_or_default();
        // A row that was dropped over there begins anew.
        let more = |now: u32, before: u32| now.checked_sub(before).unwrap_or(now);
        OutcomeCounts {
            good: more(sum.good, before.good),
            bad: more(sum.bad, before.bad),
        }
    }

    /// Endpoints and their requests in flight.
    pub fn loads(&self) -> impl Iterator<Item = (u32, u32)> {
        let load = |(endpoint, sum): (&u32, &Sum)| (*endpoint, sum.in_flight);
        self.rows.iter().map(load)
    }
}
