//! What client accounts ask of pools: counts, their sums, and their form in messages.

use std::collections::{BTreeMap, HashMap};

use derive_more::Debug;

use super::Caller;
use crate::clock::Millis;
use crate::routing::config::Priority;

/// Account of a row that stands for several.
pub const REST: u32 = 0;
/// Largest number of accounts of one pool in a message; see `docs/CAPACITY.md` for the bytes.
pub const MAX_ROWS: usize = 32;
/// Time over which requests and responses are counted: long enough for the rates of accounts that
/// send some requests a second, short enough for a surge to be known within a second.
const WINDOW: Millis = Millis(1000);
/// Time between two messages with demand to the same daemon: a third of the window, so that they are
/// a small part of the exchange.
pub const TELL_INTERVAL: Millis = Millis(300);
/// Age at which demand is no longer used: three messages.
pub const STALE_AFTER: Millis = Millis(1000);
/// Count at which a meter is idle.
const IDLE: f64 = 0.02;
/// Units of a rate in messages: thousandths, since an account may be spread over all daemons.
const SCALE: f64 = 1000.0;

/// A decaying count of events. Not corrected for the time since its first event: sums over many
/// daemons, of which each sees few requests of an account, would be too large.
#[derive(Clone, Copy, Default)]
#[derive(Debug)]
pub struct Meter {
    count: f64,
    at: Millis,
}

impl Meter {
    /// Counts an event.
    pub fn record(&mut self, now: Millis) {
        self.count = self.remaining(now) + 1.0;
        self.at = now;
    }

    fn remaining(&self, now: Millis) -> f64 {
        self.count * (-now.since(self.at).as_secs_f64() / WINDOW.as_secs_f64()).exp()
    }

    /// Whether it has counted hardly anything for some time.
    pub fn is_idle(&self, now: Millis) -> bool {
        self.remaining(now) < IDLE
    }

    /// Events per second.
    pub fn rate(&self, now: Millis) -> f64 {
        self.remaining(now) / WINDOW.as_secs_f64()
    }
}

/// Requests of one caller, or of several accounts with one priority; per second.
#[derive(Clone, Copy, PartialEq, Default)]
#[derive(Debug)]
pub struct Asked {
    /// Number of accounts.
    pub accounts: u32,
    /// Requests of all of them.
    pub rate: f64,
}

impl Asked {
    /// Requests of one of the accounts.
    pub fn mean(self) -> f64 {
        self.rate / f64::from(self.accounts.max(1))
    }
}

/// What callers ask of one pool, and what it gives; per second.
#[derive(Clone, PartialEq, Default)]
#[derive(Debug)]
pub struct PoolDemand {
    /// Responses of its endpoints.
    pub responses: f64,
    /// Requests by caller.
    pub rows: BTreeMap<Caller, Asked>,
}

impl PoolDemand {
    fn add(&mut self, caller: Caller, asked: Asked) {
        let sum = self.rows.entry(caller).or_default();
        // The same accounts may be among the rest of several daemons.
        sum.accounts = sum.accounts.max(asked.accounts);
        sum.rate += asked.rate;
    }

    /// Joins the callers beyond the largest ones into one row for each priority.
    fn limit(&mut self) {
        if self.rows.len() <= MAX_ROWS {
            return;
        }
        let mut sorted: Vec<(Caller, Asked)> = std::mem::take(&mut self.rows).into_iter().collect();
        let is_rest = |caller: &Caller| caller.account == REST;
        sorted.sort_by(|(a, x), (b, y)| {
            let by_rate = y.rate.total_cmp(&x.rate);
            is_rest(a).cmp(&is_rest(b)).then(by_rate)
        });
        for (index, (caller, asked)) in sorted.into_iter().enumerate() {
            if index < MAX_ROWS && !is_rest(&caller) {
                self.rows.insert(caller, asked);
                continue;
            }
            let rest = Caller {
                account: REST,
                ..caller
            };
            let sum = self.rows.entry(rest).or_default();
            sum.accounts += asked.accounts;
            sum.rate += asked.rate;
        }
    }
}

/// Demand for pools, by the short forms of their ids.
#[derive(Clone, PartialEq, Default)]
#[derive(Debug)]
pub struct DemandTable(HashMap<u32, PoolDemand>);

impl DemandTable {
    /// Sets the demand for a pool.
    pub fn set(&mut self, pool: u32, demand: PoolDemand) {
        self.0.insert(pool, demand);
    }

    /// The demand for a pool.
    pub fn pool(&self, pool: u32) -> Option<&PoolDemand> {
        self.0.get(&pool)
    }

    /// Adds what a message tells.
    pub fn add(&mut self, demand: Option<&Demand>) {
        let Some(demand) = demand else {
            return;
        };
        let mut rows = demand.rows();
        let counts = demand.responses.iter().zip(&demand.row_counts);
        for (pool, (responses, count)) in demand.pools.iter().zip(counts) {
            let sum = self.0.entry(*pool).or_default();
            sum.responses += f64::from(*responses) / SCALE;
            for (caller, asked) in rows.by_ref().take(*count as usize) {
                sum.add(caller, asked);
            }
        }
    }

    /// The message, if there is anything to tell.
    pub fn message(mut self) -> Option<Demand> {
        let mut demand = Demand::default();
        for (pool, sum) in &mut self.0 {
            sum.limit();
            demand.pools.push(*pool);
            demand.responses.push(scaled(sum.responses));
            demand.row_counts.push(sum.rows.len() as u32);
            for (caller, asked) in &sum.rows {
                demand.accounts.push(caller.account);
                demand.priorities.push(u32::from(caller.priority.0));
                if caller.account == REST {
                    demand.members.push(asked.accounts);
                }
                demand.rates.push(scaled(asked.rate));
            }
        }
        (!demand.pools.is_empty()).then_some(demand)
    }
}

/// The last demand that another daemon told; messages between don't repeat it.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct LastDemand {
    demand: Option<Demand>,
    at: Millis,
}

impl LastDemand {
    /// Applies a message, which may tell of none.
    pub fn update(&mut self, demand: Option<&Demand>, now: Millis) {
        if demand.is_some() {
            self.demand = demand.cloned();
            self.at = now;
        }
    }

    /// The demand, unless it is old.
    pub fn current(&self, now: Millis) -> Option<&Demand> {
        let is_current = now.since(self.at) < STALE_AFTER;
        self.demand.as_ref().filter(|_| is_current)
    }
}

fn scaled(rate: f64) -> u32 {
    (rate * SCALE).round() as u32
}

/// Demand for pools in messages; the entries at one index of the first three columns describe one
/// pool, those at one index of
/// accounts, priorities and rates one row.
#[derive(Clone, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct Demand {
    /// Short forms of the pools.
    #[prost(fixed32, repeated, tag = "1")]
    pools: Vec<u32>,
    /// Responses of the pools, in thousandths per second.
    #[prost(uint32, repeated, tag = "2")]
    responses: Vec<u32>,
    /// Numbers of rows of the pools.
    #[prost(uint32, repeated, tag = "3")]
    row_counts: Vec<u32>,
    /// Short forms of accounts; zero for several.
    #[prost(fixed32, repeated, tag = "4")]
    accounts: Vec<u32>,
    /// Priorities.
    #[prost(uint32, repeated, tag = "5")]
    priorities: Vec<u32>,
    /// Numbers of accounts, of the rows that stand for several.
    #[prost(uint32, repeated, tag = "6")]
    members: Vec<u32>,
    /// Requests, in thousandths per second.
    #[prost(uint32, repeated, tag = "7")]
    rates: Vec<u32>,
}

impl Demand {
    fn rows(&self) -> impl Iterator<Item = (Caller, Asked)> {
        let callers = self.accounts.iter().zip(&self.priorities);
        let mut members = self.members.iter();
        let row = move |((account, priority), rate): ((&u32, &u32), &u32)| {
            let caller = Caller {
                priority: Priority(u8::try_from(*priority).unwrap_or(u8::MAX)),
                account: *account,
            };
            let accounts = match *account {
                REST => members.next().copied().unwrap_or(1),
                _ => 1,
            };
            let rate = f64::from(*rate) / SCALE;
            (caller, Asked { accounts, rate })
        };
        callers.zip(&self.rates).map(row)
    }
}
