//! Messages on their way out, and choices at random.

use rand::RngExt;
use rand::seq::IndexedRandom;

use crate::clock::Millis;
use crate::ids::Incarnation;
use crate::wire::Gossip;

use super::settings::transmissions;
use super::table::Entry;
use super::{Action, Membership, Peer, Target};

impl Membership {
    /// Sends to a known member, with as much news as there is room for.
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

    /// Sends to the other side of a link, whether it is known or not.
    pub(super) fn send_to_peer(&mut self, to: &Peer, message: Gossip) {
        let known = self.table.get(to.incarnation);
        let target = Target {
            daemon: Some(to.daemon.clone()),
            address: known.map(|e| e.member.address),
        };
        self.send_message(target, to.incarnation.0 as u32, message);
    }

    pub(super) fn send_message(&mut self, to: Target, incarnation: u32, mut message: Gossip) {
        let own = self.table.own();
        message.to = incarnation;
        message.beat = own.heartbeat;
        message.generation = own.generation.0;
        // Changes of an exchange are a whole list, to which nothing may be added.
        if message.covers == 0 {
            let news = self.spread.take(transmissions(self.table.size()));
            let news = news.into_iter().filter_map(|i| self.table.get(i));
            let news = news.map(|e| e.member.change(e.refused));
            let listed: Vec<_> = message.changes.iter().map(|c| c.incarnation).collect();
            let news = news.filter(|c| !listed.contains(&c.incarnation));
            message.changes.extend(news.collect::<Vec<_>>());
        }
        self.out.push(Action::Send { to, message });
    }

    pub(super) fn random_peers(
        &mut self,
        count: usize,
        wanted: impl Fn(&Entry) -> bool,
    ) -> Vec<Incarnation> {
        let peers = self.table.peers().filter(|e| wanted(e));
        let peers: Vec<_> = peers.map(|e| e.member.incarnation).collect();
        peers.sample(&mut self.rng, count).copied().collect()
    }

    pub(super) fn random_below(&mut self, end: usize) -> usize {
        self.rng.random_range(0..end)
    }

    /// About `span`, so that daemons don't fall into step.
    pub(super) fn jittered(&mut self, span: Millis) -> Millis {
        let tenth = span.0 / 10;
        Millis(span.0 - tenth + self.rng.random_range(0..=2 * tenth))
    }
}
