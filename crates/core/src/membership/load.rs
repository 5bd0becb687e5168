//! Distributes loads: this daemon's to its data centre, sums over the data centre to its region.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::ids::{DaemonId, Incarnation};
use crate::wire::{Gossip, PoolLoad, PoolSum};

use super::settings::LOAD_FANOUT;
use super::{Action, Membership, Peer};

/// Age above which a peer's load is no longer included in the sums.
const MAX_AGE: Millis = Millis::from_secs(10);

/// Loads of this daemon's endpoints and of its peers'.
#[derive(Clone, Default, Debug)]
pub(super) struct Loads {
    own: Vec<PoolLoad>,
    updated: Millis,
    peers: BTreeMap<DaemonId, PeerLoad>,
    /// Peers that the loads are still to be sent to in this round.
    pending: Vec<Incarnation>,
}

/// Loads that a peer has reported.
#[derive(Clone, Debug)]
struct PeerLoad {
    /// When they were measured, on the monotonic clock.
    at: Millis,
    pools: Vec<PoolLoad>,
}

impl Loads {
    /// Sets the loads of the endpoints that this daemon is home to.
    pub fn set_own(&mut self, pools: Vec<PoolLoad>, now: Millis) {
        self.own = pools;
        self.updated = now;
    }

    /// Removes loads that are too old.
    pub fn prune(&mut self, now: Millis) {
        self.peers.retain(|_, load| now.since(load.at) <= MAX_AGE);
    }

    /// Loads summed over the data centre, by pool.
    pub fn sums(&self) -> Vec<PoolSum> {
        let mut sums: BTreeMap<u32, PoolSum> = BTreeMap::new();
        let peers = self.peers.values().flat_map(|load| &load.pools);
        for pool in self.own.iter().chain(peers) {
            let sum = sums.entry(pool.pool).or_default();
            sum.pool = pool.pool;
            sum.load += pool.load;
            sum.endpoints += pool.endpoints;
        }
        sums.into_values().collect()
    }
}

impl Membership {
    /// Sends this daemon's loads to some peers of its data centre, in rotation.
    pub(super) fn send_loads(&mut self, now: Millis) {
        if self.loads.own.is_empty() {
            return;
        }
        let own = self.table.own();
        let is_local = |incarnation: &Incarnation| {
            let entry = self.table.get(*incarnation);
            entry.is_some_and(|e| !e.member.is_gone() && e.member.data_centre == own.data_centre)
        };
        let all: Vec<_> = self.table.peers().map(|e| e.member.incarnation).collect();
        let peers = all.iter().filter(|i| is_local(i)).count().min(LOAD_FANOUT);
        if self.loads.pending.len() < peers {
            let local: Vec<_> = all.into_iter().filter(is_local).collect();
            let left: Vec<_> = self
                .loads
                .pending
                .iter()
                .copied()
                .filter(is_local)
                .collect();
            let next = local.into_iter().filter(|i| !left.contains(i)).collect();
            self.loads.pending = [next, left].concat();
        }
        for _ in 0..peers {
            if let Some(to) = self.loads.pending.pop() {
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

    /// The sums to send to a member: none unless it is in another data centre of this region.
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

    /// Removes loads and sums from a message, and reports them to the caller.
    pub(super) fn receive_loads(&mut self, from: &Peer, message: &mut Gossip, now: Millis) {
        if !message.loads.is_empty() {
            let pools = std::mem::take(&mut message.loads);
            let at = now.since(Millis(message.age.into()));
            let load = PeerLoad {
                at,
                pools: pools.clone(),
            };
            self.loads.peers.insert(from.daemon.clone(), load);
            let from = from.daemon.clone();
            self.actions.push(Action::LoadReceived { from, at, pools });
        }
        if message.sums.is_empty() {
            return;
        }
        if let Some(entry) = self.table.get(from.incarnation) {
            let data_centre = entry.member.data_centre.clone();
            let sums = std::mem::take(&mut message.sums);
            self.actions
                .push(Action::SumsReceived { data_centre, sums });
        }
    }
}
