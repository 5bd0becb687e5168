//! Versioned sums by endpoint, of which a receiver is sent only what has changed.
//!
//! A sender keeps [`VersionedSums`] and publishes a new version each tick: rows
//! that differ enough from their last published values get the new version
//! number. A receiver keeps a [`SumsCopy`], reports the version that it has
//! reached, and is sent the rows that are newer. Rows hold values, not
//! differences, and outcomes are running totals: a lost, late or duplicated
//! datagram loses nothing and counts nothing twice.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};

use derive_more::Debug;

use crate::clock::Millis;

/// A load is published at once if it differs from its published value by more than that value
/// divided by this. At a load of 7, where the bound lies at 12, it is known to one request, with
/// far fewer rows than if each change were published.
const LOAD_STEP_DIVISOR: u32 = 4;
/// Requests by which a load may differ from its published value, however large it is: an error of a
/// quarter of its load fills a busy endpoint beyond the bound within a few reports.
const LOAD_STEP_MAX: u32 = 2;
/// Time after which any change of a load is published.
const LOAD_DELAY_MAX: Millis = Millis(1000);
/// Reading by which a row may differ from its published value, in units: some 40 ms of an engine.
/// Less isn't published, since other daemons don't act on it.
const READING_STEP: u32 = 8;
/// Successful attempts that are published at once. Plain services complete as many in a tick or
/// two, and their response rates are derived from them; engines complete five a second.
const GOOD_STEP: u32 = 8;
/// Time after which fewer successful attempts are published. Failed attempts never wait, and are
/// published with the successful ones, since they count in proportion to those.
const GOOD_DELAY_MAX: Millis = Millis(2000);
/// Time after which an unchanged row with requests in flight is published again, which corrects any
/// error in a receiver's copy.
const REFRESH_INTERVAL: Millis = Millis::from_secs(5);
/// Time after which a row without requests in flight is dropped. Receivers know its zero by then.
const IDLE_TIMEOUT: Millis = Millis::from_secs(60);

/// Largest number of rows in a message: 40 KB, of 64 that a datagram may have.
const MAX_ROWS: usize = 4000;
/// Largest number of rows in a version, ten of which are published a second. What each daemon
/// receives is limited by it, however large the fleet is.
const MAX_PUBLISHED: usize = 256;
/// Load up to which an endpoint of an idle pool takes any request.
const IDLE_LOAD: u32 = 1;

/// A version of one sender's sums.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct Version {
    /// Distinguishes the sums of one daemon across its restarts.
    #[prost(fixed32, tag = "1")]
    pub epoch: u32,
    /// Number of publications.
    #[prost(uint32, tag = "2")]
    pub number: u32,
}

/// Rows that update a copy to a version; the entries at one index of all columns form a row.
#[derive(Clone, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct Delta {
    /// The version that the copy has reached with it.
    #[prost(message, required, tag = "1")]
    pub version: Version,
    /// Number of the version that the copy must have reached before; zero if all rows are included.
    #[prost(uint32, tag = "2")]
    pub base: u32,
    /// Short forms of endpoints' ids.
    #[prost(fixed32, repeated, tag = "3")]
    pub endpoints: Vec<u32>,
    /// Requests in flight.
    #[prost(uint32, repeated, tag = "4")]
    pub in_flight: Vec<u32>,
    /// Successful attempts since the sender's start.
    #[prost(uint32, repeated, tag = "5")]
    pub good: Vec<u32>,
    /// Failed attempts since the sender's start.
    #[prost(uint32, repeated, tag = "6")]
    pub bad: Vec<u32>,
    /// Number of the sender's version. If it is later than `version`, more rows follow.
    #[prost(uint32, tag = "7")]
    pub latest: u32,
    /// Prompt tokens that are still to be read, in units of 256; empty if no row has any.
    #[prost(uint32, repeated, tag = "8")]
    pub reading: Vec<u32>,
}

/// The sums for one endpoint.
#[derive(Clone, Copy, PartialEq, Eq, Default)]
#[derive(Debug)]
struct Sum {
    in_flight: u32,
    good: u32,
    bad: u32,
    reading: u32,
}

/// Numbers of outcomes at one endpoint.
#[derive(Clone, Copy, PartialEq, Eq, Default)]
#[derive(Debug)]
pub struct OutcomeCounts {
    /// Successful attempts.
    pub good: u32,
    /// Failed attempts.
    pub bad: u32,
}

impl OutcomeCounts {
    /// Adds others, saturating.
    pub const fn add(&mut self, other: Self) {
        self.good = self.good.saturating_add(other.good);
        self.bad = self.bad.saturating_add(other.bad);
    }

    /// Subtracts others as far as possible; returns what is left, and what was subtracted.
    pub fn subtract(self, other: Self) -> (Self, Self) {
        let subtracted = Self {
            good: self.good.min(other.good),
            bad: self.bad.min(other.bad),
        };
        let left = Self {
            good: self.good - subtracted.good,
            bad: self.bad - subtracted.bad,
        };
        (left, subtracted)
    }
}

#[derive(Clone, Copy)]
#[derive(Debug)]
struct Row {
    sum: Sum,
    published: Sum,
    /// Number of the version in which it was last published.
    number: u32,
    at: Millis,
}

impl Row {
    /// Whether the row is to be published now.
    fn is_due(&self, now: Millis) -> bool {
        let age = now.since(self.at);
        if self.sum.reading.abs_diff(self.published.reading) >= READING_STEP {
            return true;
        }
        if self.sum == self.published {
            return self.sum.in_flight > 0 && age >= REFRESH_INTERVAL;
        }
        let load_change = self.sum.in_flight.abs_diff(self.published.in_flight);
        let good = self.sum.good.wrapping_sub(self.published.good);
        load_change > (self.published.in_flight / LOAD_STEP_DIVISOR).min(LOAD_STEP_MAX)
            || self.sum.bad != self.published.bad
            || good >= GOOD_STEP
            || load_change > 0 && age >= LOAD_DELAY_MAX
            || age >= GOOD_DELAY_MAX
    }

    /// Whether the row has requests in flight, anything to publish, or was published recently.
    fn is_kept(&self, now: Millis) -> bool {
        let is_published = self.sum == self.published;
        self.sum.in_flight > 0 || !is_published || now.since(self.at) < IDLE_TIMEOUT
    }

    /// The rows with the highest value are published first: failures, then loads that may come near
    /// the bound, then what has waited longest.
    fn urgency(&self, now: Millis) -> (bool, bool, Millis) {
        let load = self.sum.in_flight.max(self.published.in_flight);
        let has_failed = self.sum.bad != self.published.bad;
        (has_failed, load > IDLE_LOAD, now.since(self.at))
    }
}

/// Sums that a daemon sends to others.
#[derive(Clone)]
#[derive(Debug)]
pub struct VersionedSums {
    version: Version,
    rows: BTreeMap<u32, Row>,
}

impl VersionedSums {
    /// Empty sums; `epoch` distinguishes the daemon's restarts.
    pub const fn new(epoch: u32) -> Self {
        Self {
            version: Version { epoch, number: 0 },
            rows: BTreeMap::new(),
        }
    }

    fn sum(&mut self, endpoint: u32) -> &mut Sum {
        let row = self.rows.entry(endpoint).or_insert(Row {
            sum: Sum::default(),
            published: Sum::default(),
            number: 0,
            at: Millis::ZERO,
        });
        &mut row.sum
    }

    /// Counts outcomes at an endpoint.
    pub fn count(&mut self, endpoint: u32, outcomes: OutcomeCounts) {
        if outcomes == OutcomeCounts::default() {
            return;
        }
        let sum = self.sum(endpoint);
        sum.good = sum.good.wrapping_add(outcomes.good);
        sum.bad = sum.bad.wrapping_add(outcomes.bad);
    }

    /// Sets the reading that endpoints have left, in units of 256 tokens; those that aren't named,
    /// or have little, have none.
    pub fn set_reading(&mut self, reading: &HashMap<u32, u32>) {
        for row in self.rows.values_mut() {
            row.sum.reading = 0;
        }
        for (endpoint, units) in reading.iter().filter(|(_, units)| **units >= READING_STEP) {
            self.sum(*endpoint).reading = *units;
        }
    }

    /// Sets the requests in flight, and publishes the rows that have changed enough as a new
    /// version.
    pub fn publish(&mut self, loads: &HashMap<u32, u32>, now: Millis) {
        for row in self.rows.values_mut() {
            row.sum.in_flight = 0;
        }
        for (endpoint, in_flight) in loads {
            self.sum(*endpoint).in_flight = *in_flight;
        }
        self.version.number += 1;
        let due = self.rows.values_mut().filter(|row| row.is_due(now));
        let mut due: Vec<&mut Row> = due.collect();
        if due.len() > MAX_PUBLISHED {
            due.select_nth_unstable_by_key(MAX_PUBLISHED, |row| Reverse(row.urgency(now)));
            due.truncate(MAX_PUBLISHED);
        }
        for row in due {
            row.published = row.sum;
            row.number = self.version.number;
            row.at = now;
        }
        self.rows.retain(|_, row| row.is_kept(now));
    }

    /// Number of the version that a copy has reached; zero if it needs all rows.
    pub fn base(&self, reached: Option<Version>) -> u32 {
        let known = reached.filter(|version| version.epoch == self.version.epoch);
        known.map_or(0, |version| version.number)
    }

    /// The rows that update a copy from the version that it has reached; see [`Self::delta_from`].
    pub fn delta_since(&self, reached: Option<Version>) -> Delta {
        self.delta_from(self.base(reached))
    }

    /// The rows that update a copy from version `base`: to the current version, or to an earlier one
    /// if they don't fit into one message.
    pub fn delta_from(&self, base: u32) -> Delta {
        let newer = self.rows.iter().filter(|(_, row)| row.number > base);
        let mut newer: Vec<(&u32, &Row)> = newer.collect();
        let mut version = self.version;
        if newer.len() > MAX_ROWS {
            newer.sort_by_key(|(_, row)| row.number);
            // Versions have at most as many rows, so that there is an earlier one to end with.
            version.number = newer[MAX_ROWS].1.number - 1;
            newer.retain(|(_, row)| row.number <= version.number);
            newer.sort_by_key(|(endpoint, _)| **endpoint);
        }
        let mut delta = Delta {
            version,
            base,
            latest: self.version.number,
            ..Delta::default()
        };
        for (endpoint, row) in newer {
            delta.endpoints.push(*endpoint);
            delta.in_flight.push(row.published.in_flight);
            delta.good.push(row.published.good);
            delta.bad.push(row.published.bad);
            delta.reading.push(row.published.reading);
        }
        if delta.reading.iter().all(|units| *units == 0) {
            delta.reading.clear();
        }
        delta
    }
}

impl Delta {
    fn rows(&self) -> impl Iterator<Item = (u32, Sum)> {
        let loads = self.endpoints.iter().zip(&self.in_flight);
        let outcomes = self.good.iter().zip(&self.bad);
        // Daemons of an earlier version don't send this column.
        let reading = self.reading.iter().copied().chain(std::iter::repeat(0));
        loads
            .zip(outcomes)
            .zip(reading)
            .map(|(((endpoint, in_flight), (good, bad)), reading)| {
                let sum = Sum {
                    in_flight: *in_flight,
                    good: *good,
                    bad: *bad,
                    reading,
                };
                (*endpoint, sum)
            })
    }
}

/// A copy of another daemon's sums, as of the last delta.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct SumsCopy {
    version: Option<Version>,
    rows: HashMap<u32, Sum>,
    /// Number of the sender's version when the copy began. Rows up to it are new to the copy, but
    /// their outcomes aren't.
    began_at: u32,
}

impl SumsCopy {
    /// The version that it has reached, if any.
    pub const fn reached(&self) -> Option<Version> {
        self.version
    }

    /// Applies a delta; returns the outcomes that it adds. `None` if the delta is old, or starts
    /// after the version that the copy has reached.
    pub fn apply(&mut self, delta: &Delta) -> Option<Vec<(u32, OutcomeCounts)>> {
        let same_epoch = self
            .version
            .filter(|version| version.epoch == delta.version.epoch);
        let reached = same_epoch.map_or(0, |version| version.number);
        if delta.base > reached || same_epoch.is_some() && delta.version.number <= reached {
            return None;
        }
        if same_epoch.is_none() {
            // Outcomes from before the first delta may be old, and aren't counted.
            self.rows = delta.rows().collect();
            self.version = Some(delta.version);
            self.began_at = delta.latest;
            return Some(Vec::new());
        }
        if delta.base == 0 {
            for sum in self.rows.values_mut() {
                sum.in_flight = 0;
                sum.reading = 0;
            }
        }
        self.version = Some(delta.version);
        let set = |(endpoint, sum)| (endpoint, self.set(endpoint, sum));
        let counted: Vec<(u32, OutcomeCounts)> = delta.rows().map(set).collect();
        match delta.version.number <= self.began_at {
            true => Some(Vec::new()),
            false => Some(counted),
        }
    }

    fn set(&mut self, endpoint: u32, sum: Sum) -> OutcomeCounts {
        let before = self.rows.insert(endpoint, sum).unwrap_or_default();
        // A row that the sender has dropped restarts from zero.
        let more = |now: u32, before: u32| now.checked_sub(before).unwrap_or(now);
        OutcomeCounts {
            good: more(sum.good, before.good),
            bad: more(sum.bad, before.bad),
        }
    }

    /// Short ids of the endpoints that have prompts to read, and how much.
    pub fn reading(&self) -> impl Iterator<Item = (u32, u32)> {
        let busy = self.rows.iter().filter(|(_, sum)| sum.reading > 0);
        busy.map(|(endpoint, sum)| (*endpoint, sum.reading))
    }

    /// Short ids of endpoints, and their requests in flight.
    pub fn loads(&self) -> impl Iterator<Item = (u32, u32)> {
        let load = |(endpoint, sum): (&u32, &Sum)| (*endpoint, sum.in_flight);
        self.rows.iter().map(load)
    }
}
