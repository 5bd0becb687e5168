//! Leaving in order: said at once, until several peers have acknowledged it.

use std::collections::BTreeSet;

use crate::clock::Millis;
use crate::wire::Gossip;

use super::member::Announced;
use super::probe::Farewell;
use super::settings::FAREWELL_PEERS;
use super::{Action, Membership, Peer};

/// How long acknowledgements are waited for.
const PATIENCE: Millis = Millis::from_secs(3);

impl Membership {
    /// Begins to leave, or with `last` to exit.
    pub(super) fn bid_farewell(&mut self, last: bool, now: Millis) {
        let announced = match last {
            true => Announced::Left,
            false => Announced::Leaving,
        };
        if self.table.own().announced >= announced {
            return;
        }
        self.announce(|own| {
            own.announced = announced;
            own.ready = false;
        });
        self.farewell = Some(Farewell {
            beat: self.table.own().heartbeat,
            since: now,
            heard: BTreeSet::new(),
            last,
        });
        self.timers.farewell = now;
        self.farewell_tick(now);
    }

    /// Sends the farewell again, and ends it when enough know.
    pub(super) fn farewell_tick(&mut self, now: Millis) {
        let Some(farewell) = &self.farewell else {
            return;
        };
        let wanted = self.table.peers().count().min(FAREWELL_PEERS);
        let peers = farewell.heard.len();
        if peers >= wanted || now.since(farewell.since) >= PATIENCE {
            let action = match farewell.last {
                true => Action::Departed { peers },
                false => Action::LeaveAcknowledged { peers },
            };
            self.out.push(action);
            self.farewell = None;
            return;
        }
        if now < self.timers.farewell {
            return;
        }
        self.timers.farewell = now + self.settings.news;
        let heard = farewell.heard.clone();
        for to in self.random_peers(FAREWELL_PEERS, |e| !heard.contains(&e.member.daemon)) {
            let beat = self.table.own().heartbeat;
            let message = Gossip {
                ping: self.probes.begin(to, beat, None, now),
                changes: vec![self.table.own().change(false)],
                ..Gossip::default()
            };
            self.send(to, message);
        }
    }

    /// Notes that a peer has answered a probe sent with this heartbeat number.
    pub(super) fn farewell_heard(&mut self, from: &Peer, beat: u32) {
        if let Some(farewell) = &mut self.farewell
            && beat >= farewell.beat
        {
            farewell.heard.insert(from.daemon.clone());
        }
    }
}
