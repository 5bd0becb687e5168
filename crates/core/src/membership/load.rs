//! Loads on their way: this daemon's to its data centre, sums to the region.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::ids::{DaemonId, Incarnation};
use crate::wire::{Gossip, PoolLoad, PoolSum};

use super::settings::LOAD_FANOUT;
use super::{Action, Membership, Peer};

/// Age after which a peer's load no longer counts in the sums.
const MAX_AGE: Millis = Millis::from_secs(10);

/// Loads known here.
#[derive(Clone, Default, Debug)]
pub(super) struct Loads {
    own: Vec<PoolLoad>,
    updated: Millis,
    heard: BTreeMap<DaemonId, Heard>,
    ring: Vec<Incarnation>,
}

#[derive(Clone, Debug)]
struct Heard {
    at: Millis,
    pools: Vec<PoolLoad>,
}

impl Loads {
    pub fn set_own(&mut self, pools: Vec<PoolLoad>, now: Millis) {
        self.own = pools;
        self.updated = now;
    }

    /// Drops loads that are too old to count.
    pub fn prune(&mut self, now: Millis) {
        self.heard.retain(|_, heard| now.since(heard.at) <= MAX_AGE);
    }

    /// Sums over the data centre, by pool.
    pub fn sums(&self) -> Vec<PoolSum> {
        let mut sums: BTreeMap<u32, PoolSum> = BTreeMap::new();
        let heard = self.heard.values().flat_map(|heard| &heard.pools);
        for pool in self.own.iter().chain(heard) {
            let sum = sums.entry(pool.pool).or_default();
            sum.pool = pool.pool;
            sum.load += pool.load;
            sum.endpoints += pool.endpoints;
        }
        sums.into_values().collect()
    }
}

impl Membership {
    /// Sends this daemon's loads to peers of its data centre, each in its turn.
    pub(super) fn send_loads(&mut self, now: Millis) {
        if self.loads.own.is_empty() {
            return;
        }
        let own = self.table.own();
        let near = |incarnation: &Incarnation| {
            let entry = self.table.get(*incarnation);
            entry.is_some_and(|e| !e.member.is_gone() && e.member.data_centre == own.data_centre)
        };
        let all: Vec<_> = self.table.peers().map(|e| e.member.incarnation).collect();
        let peers = all.iter().filter(|i| near(i)).count().min(LOAD_FANOUT);
        if self.loads.ring.len() < peers {
            let fresh: Vec<_> = all.into_iter().filter(near).collect();
            let left: Vec<_> = self.loads.ring.iter().copied().filter(near).collect();
            let later = fresh.into_iter().filter(|i| !left.contains(i)).collect();
            self.loads.ring = [later, left].concat();
        }
        for _ in 0..peers {
            if let Some(to) = self.loads.ring.pop() {
                let message = self.load_message(now);
                self.send(to, message);
            }
        }
    }

    fn load_message(&self, now: Millis) -> Gossip {
        let age = now.since(self.loads.updated).0;
        Gossip {
            loads: self.loads.own.clone(),
            age: u32::try_from(age).unwrap_or(u32::MAX),
            ..Gossip::default()
        }
    }

    /// Sums for a peer in another data centre of the region; none for others.
    pub(super) fn sums_for(&self, to: Incarnation) -> Vec<PoolSum> {
        let own = self.table.own();
        let wanted = self.table.get(to).is_some_and(|e| {
            e.member.region == own.region && e.member.data_centre != own.data_centre
        });
        match wanted {
            true => self.loads.sums(),
            false => Vec::new(),
        }
    }

    /// Takes loads and sums from a message.
    pub(super) fn take_loads(&mut self, from: &Peer, message: &mut Gossip, now: Millis) {
        if !message.loads.is_empty() {
            let pools = std::mem::take(&mut message.loads);
            let at = now.since(Millis(message.age.into()));
            let heard = Heard {
                at,
                pools: pools.clone(),
            };
            self.loads.heard.insert(from.daemon.clone(), heard);
            let from = from.daemon.clone();
            self.out.push(Action::LoadReceived { from, at, pools });
        }
        if message.sums.is_empty() {
            return;
        }
        if let Some(entry) = self.table.get(from.incarnation) {
            let data_centre = entry.member.data_centre.clone();
            let sums = std::mem::take(&mut message.sums);
            self.out.push(Action::SumsReceived { data_centre, sums });
        }
    }
}
