//! Orderly leave: announced at once and repeated until several peers have acknowledged it.

use std::collections::BTreeSet;

use crate::clock::Millis;
use crate::wire::Gossip;

use super::member::Announced;
use super::probe::LeaveNotice;
use super::settings::LEAVE_PEERS;
use super::{Action, Membership, Peer};

/// Maximum wait for acknowledgements.
const ACK_TIMEOUT: Millis = Millis::from_secs(3);

impl Membership {
    /// Announces that this daemon is leaving, or with `exiting` that it has left.
    pub(super) fn announce_leave(&mut self, exiting: bool, now: Millis) {
        let announced = match exiting {
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
        self.leave_notice = Some(LeaveNotice {
            heartbeat: self.table.own().heartbeat,
            since: now,
            acknowledged: BTreeSet::new(),
            exiting,
        });
        self.timers.leave = now;
        self.leave_tick(now);
    }

    /// Sends the announcement again, until enough peers have acknowledged it or the wait times out.
    pub(super) fn leave_tick(&mut self, now: Millis) {
        let Some(notice) = &self.leave_notice else {
            return;
        };
        let wanted = self.table.peers().count().min(LEAVE_PEERS);
        let peers = notice.acknowledged.len();
        if peers >= wanted || now.since(notice.since) >= ACK_TIMEOUT {
            let action = match notice.exiting {
                true => Action::Departed { peers },
                false => Action::LeaveAcknowledged { peers },
            };
            self.actions.push(action);
            self.leave_notice = None;
            return;
        }
        if now < self.timers.leave {
            return;
        }
        self.timers.leave = now + self.settings.update_interval;
        let known = notice.acknowledged.clone();
        for to in self.random_peers(LEAVE_PEERS, |e| !known.contains(&e.member.daemon)) {
            let heartbeat = self.table.own().heartbeat;
            let message = Gossip {
                ping: self.probes.begin(to, heartbeat, None, now),
                changes: vec![self.table.own().change(false)],
                ..Gossip::default()
            };
            self.send(to, message);
        }
    }

    /// Records that a peer has answered a probe sent with this heartbeat number.
    pub(super) fn leave_acknowledged(&mut self, from: &Peer, heartbeat: u32) {
        if let Some(notice) = &mut self.leave_notice
            && heartbeat >= notice.heartbeat
        {
            notice.acknowledged.insert(from.daemon.clone());
        }
    }
}
