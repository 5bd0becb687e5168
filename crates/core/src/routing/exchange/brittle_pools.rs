//! Brittle pools in messages, and a hub's copy of what its reporters tell.

use std::collections::HashMap;

use derive_more::Debug;
use xxhash_rust::xxh3::xxh3_64;

use super::short_key;
use crate::clock::Millis;
use crate::ids::PoolId;

/// Short form of a pool's id in messages.
pub fn pool_key(pool: &PoolId) -> u32 {
    short_key(xxh3_64(pool.as_str().as_bytes()))
}

/// Pools whose endpoints fail if they have to turn many requests away; the entries at one index of
/// the columns describe one pool.
#[derive(Clone, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct BrittlePools {
    /// Short forms of the pools.
    #[prost(fixed32, repeated, tag = "1")]
    pools: Vec<u32>,
    /// Requests that an endpoint may turn away in a second.
    #[prost(uint32, repeated, tag = "2")]
    rejections: Vec<u32>,
    /// Milliseconds for which this holds.
    #[prost(uint32, repeated, tag = "3")]
    times: Vec<u32>,
}

impl BrittlePools {
    /// Adds a pool, unless no time is left.
    pub fn add(&mut self, pool: u32, rejections: u32, left: Millis) {
        if left > Millis::ZERO {
            self.pools.push(pool);
            self.rejections.push(rejections);
            self.times.push(u32::try_from(left.0).unwrap_or(u32::MAX));
        }
    }

    /// Pools, their limits, and for how long these hold.
    pub fn pools(&self) -> impl Iterator<Item = (u32, u32, Millis)> {
        let limits = self.rejections.iter().zip(&self.times);
        let rows = self.pools.iter().zip(limits);
        rows.map(|(pool, (rejections, left))| (*pool, *rejections, Millis(u64::from(*left))))
    }

    /// The message, if there is anything to tell.
    pub fn into_message(self) -> Option<Self> {
        (!self.pools.is_empty()).then_some(self)
    }
}

/// What several daemons told, with the latest time of each.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct BrittleTable(HashMap<u32, (u32, Millis)>);

impl BrittleTable {
    /// Adds what a daemon tells.
    pub fn merge(&mut self, brittle: Option<&BrittlePools>, now: Millis) {
        for (pool, rejections, left) in brittle.into_iter().flat_map(BrittlePools::pools) {
            let (known, until) = self.0.entry(pool).or_default();
            *known = rejections;
            *until = (*until).max(now + left);
        }
    }

    /// What holds now.
    pub fn current(&self, now: Millis) -> Option<BrittlePools> {
        let mut brittle = BrittlePools::default();
        for (pool, (rejections, until)) in &self.0 {
            brittle.add(*pool, *rejections, until.since(now));
        }
        brittle.into_message()
    }

    /// Forgets what is over.
    pub fn expire(&mut self, now: Millis) {
        self.0.retain(|_, (_, until)| now < *until);
    }
}

/// What a daemon of the exchange knows of brittle pools.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct BrittleRelay {
    /// From this daemon and its reporters, for hubs of other data centres.
    pub local: BrittleTable,
    /// From the fleet, for reporters.
    pub fleet: BrittleTable,
    /// From all messages since the last look, for this daemon's own view.
    heard: BrittleTable,
}

impl BrittleRelay {
    /// Adds what a reporter, or this daemon itself, tells.
    pub fn report(&mut self, brittle: Option<&BrittlePools>, now: Millis) {
        self.local.merge(brittle, now);
        self.subtotal(brittle, now);
    }

    /// Adds what a hub of another data centre tells.
    pub fn subtotal(&mut self, brittle: Option<&BrittlePools>, now: Millis) {
        self.fleet.merge(brittle, now);
        self.summary(brittle, now);
    }

    /// Adds what a hub tells its reporters.
    pub fn summary(&mut self, brittle: Option<&BrittlePools>, now: Millis) {
        self.heard.merge(brittle, now);
    }

    /// What was heard since the last call.
    pub fn take_heard(&mut self, now: Millis) -> Option<BrittlePools> {
        std::mem::take(&mut self.heard).current(now)
    }

    /// Forgets what is over.
    pub fn expire(&mut self, now: Millis) {
        self.local.expire(now);
        self.fleet.expire(now);
    }
}
