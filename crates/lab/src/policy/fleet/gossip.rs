//! Heartbeats with loads: to the data centre in full, to others as sums.

use medlarrill_core::clock::Millis;
use rand::RngExt;

use super::Fleet;
use super::daemon::{centre_id, daemon_id};
use crate::policy::plant::Plant;

/// Between two rounds, in milliseconds.
const ROUND: u64 = 1000;
/// Peers in one data centre that a round's loads go to.
const LOAD_FANOUT: usize = 16;
/// Random peers that a round's heartbeat goes to, the probed one among them.
const FANOUT: usize = 3;
/// Endpoints named with their load in one message.
const NAMED: usize = 16;
/// Bytes of a heartbeat, of a sum and of a named endpoint with its eviction age.
const BEAT_BYTES: u64 = 32;
const SUM_BYTES: u64 = 14;
const NAMED_BYTES: u64 = 11;

impl Fleet {
    /// Sends one daemon's round, if it is due.
    pub(super) fn gossip(&mut self, plant: &Plant, number: usize, now: u64) {
        let step = plant.size.step;
        let daemon = &self.daemons[number];
        let phase = daemon.phase / step * step;
        if now % ROUND != phase {
            return;
        }
        self.send_loads(plant, number, now);
        self.send_beats(number, now);
    }

    fn send_loads(&mut self, plant: &Plant, number: usize, now: u64) {
        let at = Millis(now);
        let from = &self.daemons[number];
        let sum = from.pool.own_sum(at);
        let least = from.pool.own_least_loaded(NAMED, at);
        let ages: Vec<_> = (0..from.home_of.len())
            .filter(|endpoint| from.home_of[*endpoint] == number)
            .map(|endpoint| &plant.names.endpoints[endpoint])
            .filter_map(|name| Some((name, from.pool.get(name)?.eviction_age)))
            .map(|(name, age)| (name.clone(), age))
            .collect();
        let near = |other: &usize| {
            let to = &self.daemons[*other];
            *other != number && to.answers && from.seen[*other] && to.centre == from.centre
        };
        let peers: Vec<_> = (0..self.daemons.len())
            .filter(near)
            .take(LOAD_FANOUT)
            .collect();
        let bytes = BEAT_BYTES + SUM_BYTES + NAMED_BYTES * least.len() as u64;
        for peer in peers {
            self.count(number, peer, bytes);
            let pool = &mut self.daemons[peer].pool;
            pool.update_sum(&daemon_id(number), sum);
            for load in &least {
                pool.update_load(load, at);
            }
            for (name, age) in &ages {
                pool.set_eviction_age(name, *age);
            }
        }
    }

    fn send_beats(&mut self, number: usize, now: u64) {
        let from = &self.daemons[number];
        let (centre, region) = (from.centre, from.region);
        let sum = from.pool.data_centre_sum(Millis(now));
        let mut peers: Vec<_> = (0..self.daemons.len())
            .filter(|other| *other != number && from.seen[*other])
            .collect();
        for _ in 0..FANOUT.min(peers.len()) {
            let at = self.rng.random_range(0..peers.len());
            let peer = peers.swap_remove(at);
            let to = &self.daemons[peer];
            if !to.answers {
                continue;
            }
            let told = to.region == region && to.centre != centre;
            let bytes = BEAT_BYTES + if told { SUM_BYTES } else { 0 };
            self.count(number, peer, bytes);
            if told {
                self.daemons[peer]
                    .pool
                    .update_data_centre_sum(&centre_id(centre), sum);
            }
        }
    }

    fn count(&mut self, from: usize, to: usize, bytes: u64) {
        self.daemons[from].control += bytes;
        self.daemons[to].control += bytes;
    }
}
