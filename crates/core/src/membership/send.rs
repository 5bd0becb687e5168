//! Sends messages, and makes random choices.

use rand::RngExt;
use rand::seq::IndexedRandom;

use crate::clock::Millis;
use crate::ids::Incarnation;
use crate::wire::Gossip;

use super::settings::transmissions;
use super::table::Entry;
use super::{Action, Membership, Peer, Target};

impl Membership {
    /// Sends to a known member, with as many updates as fit.
    pub(super) fn send(&mut self, to: Incarnation, message: Gossip) {
        let Some(entry) = self.table.get(to) else {
            return;
        };
        let target = Target {
            daemon: Some(entry.member.daemon.clone()),
            address: Some(entry.member.address),
        };
        self.send_message(target, to.0 as u32, message);
    }

    /// Sends to the peer of a link, whether its member is known or not.
    pub(super) fn send_to_peer(&mut self, to: &Peer, message: Gossip) {
        let known = self.table.get(to.incarnation);
        let target = Target {
            daemon: Some(to.daemon.clone()),
            address: known.map(|e| e.member.address),
        };
        self.send_message(target, to.incarnation.0 as u32, message);
    }

    /// Fills in the header and pending updates of a message, and sends it.
    pub(super) fn send_message(&mut self, to: Target, incarnation: u32, mut message: Gossip) {
        let own = self.table.own();
        message.to = incarnation;
        message.beat = own.heartbeat;
        message.generation = own.generation.0;
        // The changes of an exchange are the complete contents of buckets, so nothing may be added.
        if message.covers == 0 {
            let updates = self.updates.take(transmissions(self.table.size()));
            let updates = updates.into_iter().filter_map(|i| self.table.get(i));
            let updates = updates.map(|e| e.member.change(e.refused));
            let listed: Vec<_> = message.changes.iter().map(|c| c.incarnation).collect();
            let updates = updates.filter(|c| !listed.contains(&c.incarnation));
            message.changes.extend(updates.collect::<Vec<_>>());
        }
        self.actions.push(Action::Send { to, message });
    }

    /// Up to `count` random peers that match `wanted`.
    pub(super) fn random_peers(
        &mut self,
        count: usize,
        wanted: impl Fn(&Entry) -> bool,
    ) -> Vec<Incarnation> {
        let peers = self.table.peers().filter(|e| wanted(e));
        let peers: Vec<_> = peers.map(|e| e.member.incarnation).collect();
        peers.sample(&mut self.rng, count).copied().collect()
    }

    /// A random number below `end`.
    pub(super) fn random_below(&mut self, end: usize) -> usize {
        self.rng.random_range(0..end)
    }

    /// The interval with 10% jitter either way, so that daemons don't act in lockstep.
    pub(super) fn jittered(&mut self, interval: Millis) -> Millis {
        let tenth = interval.0 / 10;
        Millis(interval.0 - tenth + self.rng.random_range(0..=2 * tenth))
    }
}
