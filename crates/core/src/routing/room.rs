//! Fair shares of pools that are asked for more than they can run.
//!
//! Answers the load of one client account that asks for several times a pool's
//! capacity beside others that ask for little, and of less urgent accounts that
//! do so beside urgent ones. Daemons exchange how much each account asks for
//! ([`demand`]) and how many responses a pool gives. Each derives the pool's
//! capacity ([`capacity`]) and its division among accounts ([`shares`]), and
//! admits that part of its own requests ([`credit`]).
//!
//! A daemon that has heard no sums for [`demand::STALE_AFTER`] knows only its own part.
//! It uses its share of the last known capacity, by the platform's list of
//! daemons, and admits no larger part of an account's requests than before.

pub mod capacity;
pub mod credit;
pub mod demand;
mod pool;
pub mod shares;

use std::collections::HashMap;

use derive_more::Debug;
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Millis;
use crate::ids::{AccountId, PoolId};
use crate::routing::config::Priority;
use crate::routing::exchange::{pool_key, short_key};

use demand::{Demand, DemandTable, LastDemand, STALE_AFTER, TELL_INTERVAL};
use pool::PoolRoom;

/// Who sends a request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Debug)]
pub struct Caller {
    /// Priority of the request.
    pub priority: Priority,
    /// Short form of the client account's id; never [`demand::REST`].
    pub account: u32,
}

impl Caller {
    /// The caller with an account, or without one.
    pub fn new(account: Option<&AccountId>, priority: Priority) -> Self {
        let name = account.map_or("", AccountId::as_str);
        let account = short_key(xxh3_64(name.as_bytes())).max(demand::REST + 1);
        Self { priority, account }
    }
}

/// What a daemon knows of a pool when it decides.
#[derive(Clone, Copy, PartialEq)]
#[derive(Debug)]
pub struct PoolState {
    /// Requests in flight at its endpoints.
    pub load: f64,
    /// Requests that its endpoints run concurrently.
    pub slots: f64,
    /// This daemon's part of limits that are divided by the platform's list, 0 to 1.
    pub part: f64,
    /// Whether this daemon is the only one, so that its own figures are the fleet's.
    pub is_sole: bool,
}

/// A request that asks for admission.
#[derive(Clone, Copy, PartialEq)]
#[derive(Debug)]
pub struct Offer {
    /// Who sends it.
    pub caller: Caller,
    /// Its latency target.
    pub target: Millis,
    /// Time until its deadline.
    pub left: Millis,
    /// Whether the endpoint that would get it has a free slot.
    pub has_slot: bool,
    /// Its expected response time in milliseconds, if known.
    pub expected: Option<f64>,
    /// A random number from 0 to 1.
    pub draw: f64,
}

/// Why a request is refused.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub enum Cause {
    /// Its account asks for more than its share.
    Share,
    /// More urgent requests take the room.
    Urgency,
    /// This daemon doesn't know what others ask for, and has used its part.
    Room,
}

impl Cause {
    /// Short name, for metrics and logs.
    pub const fn code(self) -> &'static str {
        match self {
            Self::Share => "share",
            Self::Urgency => "urgency",
            Self::Room => "room",
        }
    }
}

/// A refusal, and the figures on which it is based; rates are per second, of the fleet.
#[derive(Clone, Copy, PartialEq)]
#[derive(Debug)]
pub struct Refused {
    /// Why.
    pub cause: Cause,
    /// Requests of the account.
    pub demand: f64,
    /// Part of them that is admitted, 0 to 1.
    pub share: f64,
    /// Requests that the pool can run in time.
    pub capacity: f64,
    /// Time after which the caller may retry.
    pub wait: Millis,
}

/// One daemon's admission to pools by account and priority.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct Room {
    pools: HashMap<PoolId, PoolRoom>,
    /// The fleet's sums.
    fleet: LastDemand,
    /// When a hub was last heard, whether or not a pool was busy.
    heard: Option<Millis>,
    /// When the others were last told.
    told: Option<Millis>,
}

impl Room {
    /// Counts a request, and decides whether it is admitted. `state` is called once per tick.
    ///
    /// # Errors
    ///
    /// The refusal.
    pub fn admit(
        &mut self,
        pool: &PoolId,
        offer: Offer,
        state: impl FnOnce() -> PoolState,
        now: Millis,
    ) -> Result<(), Refused> {
        if !self.pools.contains_key(pool) {
            self.pools.insert(pool.clone(), PoolRoom::default());
        }
        let Some(room) = self.pools.get_mut(pool) else {
            return Ok(());
        };
        room.record_offer(offer.caller, offer.target, now);
        if room.is_due(now) {
            let is_heard = self.heard.is_some_and(|at| now.since(at) < STALE_AFTER);
            let mut fleet = DemandTable::default();
            fleet.add(self.fleet.current(now));
            let fleet = is_heard.then(|| fleet.pool(pool_key(pool)));
            room.update(fleet, state(), now);
        }
        room.admit(offer, now)
    }

    /// Counts a response of an endpoint of a pool.
    pub fn record_response(&mut self, pool: &PoolId, now: Millis) {
        if let Some(room) = self.pools.get_mut(pool) {
            room.record_response(now);
        }
    }

    /// What this daemon's callers ask of busy pools, if the others are to be told now.
    pub fn observed(&mut self, now: Millis) -> Option<Demand> {
        let is_due = |told| now.since(told) >= TELL_INTERVAL;
        if !self.told.is_none_or(is_due) {
            return None;
        }
        self.told = Some(now);
        let mut table = DemandTable::default();
        self.pools.retain(|pool, room| {
            if room.is_busy(now) {
                table.set(pool_key(pool), room.observed(now));
            }
            room.is_used(now)
        });
        table.message()
    }

    /// Applies a hub's message with the fleet's sums, or without.
    pub fn update_fleet(&mut self, demand: Option<&Demand>, now: Millis) {
        self.fleet.update(demand, now);
        self.heard = Some(now);
    }
}
