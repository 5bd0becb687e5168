//! Periodic tasks: probes, heartbeat rounds, updates, table exchanges, and removal of gone members.

use std::collections::BTreeSet;

use rand::seq::IndexedRandom;

use crate::clock::Millis;
use crate::freshness::REQUIRED_PEERS;
use crate::ids::Incarnation;
use crate::wire::Gossip;

use super::member::{Announced, Liveness};
use super::probe::{Due, Probe, Requester};
use super::settings::{
    FANOUT, INDIRECT_PROBES, MAX_PRIORITY_PROBES, MAX_RECORD_REQUESTS, MAX_RECORDS, RECORD_RETRY,
    ROUND_RECORDS, UPDATE_FANOUT,
};
use super::table::Entry;
use super::{Action, Membership, Target};

impl Membership {
    /// Detects a pause, and runs all tasks that are due.
    pub(super) fn tick(&mut self, wall: Millis, now: Millis) {
        if self.freshness.tick(now, wall) {
            self.on_pause(now);
        }
        self.run_probes(now);
        self.expire_suspects(now);
        if now >= self.timers.round {
            self.run_round(now);
        }
        if now >= self.timers.loads {
            self.timers.loads = now + self.jittered(self.settings.load_interval);
            self.send_loads(now);
        }
        if now >= self.timers.exchange {
            self.start_exchange(now);
        }
        if now >= self.timers.reconnect {
            self.reconnect(now);
        }
        self.leave_tick(now);
        self.send_updates(now);
        self.update_freshness(now);
    }

    /// Restarts timeouts after a pause of this process, when missing answers are no evidence, and refreshes the view.
    fn on_pause(&mut self, now: Millis) {
        self.probes.clear();
        self.table.restart_suspicions(now);
        self.stale_since = now;
        self.caught_up = false;
        self.timers.round = now;
        self.timers.exchange = now;
        self.timers.reconnect = now;
        self.actions.push(Action::Stale);
    }

    /// Processes probe timeouts, and sends priority probes.
    fn run_probes(&mut self, now: Millis) {
        let refused = |target| self.table.get(target).is_some_and(|e| e.refused);
        for due in self.probes.due(&self.settings, refused, now) {
            match due {
                Due::Indirect(probe) => self.request_probes(&probe),
                Due::Failed(probe) => self.probe_failed(&probe, now),
            }
        }
        for _ in 0..MAX_PRIORITY_PROBES {
            let Some(target) = self.probes.next_priority() else {
                break;
            };
            if !self.probes.is_probing(target) {
                self.probe(target, None, now);
            }
        }
    }

    /// Probes a member, on behalf of `requester` if there is one.
    pub(super) fn probe(&mut self, target: Incarnation, requester: Option<Requester>, now: Millis) {
        let Some(entry) = self.table.get(target) else {
            return;
        };
        let mut changes = Vec::new();
        if self.contested.remove(&target) {
            let mut change = entry.member.clone();
            change.liveness = Liveness::Gone;
            changes.push(change.change(false));
        } else if entry.member.liveness != Liveness::Alive {
            changes.push(entry.member.change(entry.refused));
        }
        let sums = self.sums_for(target);
        let heartbeat = self.table.own().heartbeat;
        let ping = self.probes.begin(target, heartbeat, requester, now);
        let message = Gossip {
            ping,
            changes,
            sums,
            ..Gossip::default()
        };
        self.send(target, message);
    }

    /// Asks other members for indirect probes.
    fn request_probes(&mut self, probe: &Probe) {
        let message = Gossip {
            ping: probe.ping,
            probe: probe.target.0,
            ..Gossip::default()
        };
        let suitable = |e: &Entry| e.member.incarnation != probe.target && !e.refused;
        for to in self.random_peers(INDIRECT_PROBES, suitable) {
            self.send(to, message.clone());
        }
    }

    /// Marks the target of a failed probe as suspect.
    fn probe_failed(&mut self, probe: &Probe, now: Millis) {
        if probe.requester.is_some() {
            return;
        }
        let alive = self
            .table
            .get(probe.target)
            .is_some_and(|e| e.member.liveness == Liveness::Alive && !e.member.is_gone());
        if alive
            && self
                .table
                .set_liveness(probe.target, Liveness::Suspect, now)
        {
            self.report_change(probe.target);
            self.updates.push(probe.target);
        }
    }

    /// Marks members as gone that haven't refuted a suspicion in time.
    fn expire_suspects(&mut self, now: Millis) {
        let timeout = self.settings.suspect_timeout(self.table.size());
        let expired = |e: &&Entry| {
            let timeout = if e.refused {
                self.settings.refused_timeout
            } else {
                timeout
            };
            e.member.liveness == Liveness::Suspect && now.since(e.since) >= timeout
        };
        let expired: Vec<_> = self.table.others().filter(expired).collect();
        let expired: Vec<_> = expired.iter().map(|e| e.member.incarnation).collect();
        for incarnation in expired {
            self.table.set_liveness(incarnation, Liveness::Gone, now);
            self.report_change(incarnation);
        }
    }

    /// Probes the next member, and sends heartbeats to random peers.
    fn run_round(&mut self, now: Millis) {
        self.timers.round = now + self.jittered(self.settings.round);
        self.record_budget = ROUND_RECORDS;
        self.forget_gone(now);
        self.retry_records(now);
        self.loads.prune(now);
        let peers = self
            .table
            .peers()
            .map(|e| e.member.incarnation)
            .collect::<Vec<_>>();
        if let Some(target) = self.probes.next(&mut self.rng, || peers) {
            let gone = self.table.get(target).is_none_or(|e| e.member.is_gone());
            if !gone && !self.probes.is_probing(target) {
                self.probe(target, None, now);
            }
        }
        for to in self.random_peers(FANOUT, |_| true) {
            let message = Gossip {
                sums: self.sums_for(to),
                ..Gossip::default()
            };
            self.send(to, message);
        }
    }

    /// Removes members that have been gone for long.
    fn forget_gone(&mut self, now: Millis) {
        self.seeds.prune(&self.settings, now);
        let expired = |e: &&Entry| self.seeds.should_forget(e, &self.settings, now);
        let expired = self.table.others().filter(expired);
        let expired: Vec<_> = expired.map(|e| e.member.daemon.clone()).collect();
        for daemon in expired {
            self.table.forget(&daemon);
            self.actions.push(Action::Forgotten(daemon));
        }
    }

    /// Requests outstanding records again, from another peer, since the request may have been lost.
    fn retry_records(&mut self, now: Millis) {
        self.record_requests
            .retain(|_, request| request.attempts < MAX_RECORD_REQUESTS);
        let mut wants = Vec::new();
        for (incarnation, request) in &mut self.record_requests {
            if now.since(request.sent) >= RECORD_RETRY && wants.len() < MAX_RECORDS {
                request.sent = now;
                request.attempts += 1;
                wants.push(incarnation.0);
            }
        }
        if wants.is_empty() {
            return;
        }
        for to in self.random_peers(1, |_| true) {
            let message = Gossip {
                wants: std::mem::take(&mut wants),
                ..Gossip::default()
            };
            self.send(to, message);
        }
    }

    /// Sends urgent updates without waiting for the next round.
    fn send_updates(&mut self, now: Millis) {
        if now < self.timers.updates || !(self.send_now || self.updates.has_urgent()) {
            return;
        }
        self.send_now = false;
        self.timers.updates = now + self.settings.update_interval;
        for to in self.random_peers(UPDATE_FANOUT, |_| true) {
            self.send(to, Gossip::default());
        }
    }

    /// Brings the next table exchange forward.
    pub(super) fn hasten_exchange(&mut self, now: Millis) {
        let next = now + self.jittered(self.settings.short_interval);
        self.timers.exchange = self.timers.exchange.min(next);
    }

    /// Compares tables with a random peer; while stale, with as many peers as are needed.
    fn start_exchange(&mut self, now: Millis) {
        self.timers.exchange = now + self.jittered(self.settings.exchange_interval);
        if !self.freshness.is_stale() {
            for to in self.random_peers(1, |_| true) {
                self.compare_with(to, now);
            }
            return;
        }
        self.hasten_exchange(now);
        for to in self.random_peers(REQUIRED_PEERS + 1, |_| true) {
            self.compare_with(to, now);
        }
    }

    /// Sends the digest of this daemon's table to a peer, as part of a probe.
    fn compare_with(&mut self, to: Incarnation, now: Millis) {
        let heartbeat = self.table.own().heartbeat;
        let ping = self.probes.begin_with_digest(to, heartbeat, now);
        let message = Gossip {
            ping,
            digest: self.digest(now),
            ..Gossip::default()
        };
        self.send(to, message);
    }

    /// Contacts addresses where no live member is known: one, or several while stale with few known peers.
    fn reconnect(&mut self, now: Millis) {
        let stale = self.freshness.is_stale() && self.table.peers().count() < REQUIRED_PEERS;
        let (wait, count) = match stale {
            true => (self.settings.short_interval, UPDATE_FANOUT),
            false => (self.settings.reconnect_interval, 1),
        };
        self.timers.reconnect = now + self.jittered(wait);
        let others = self
            .table
            .others()
            .filter(|e| e.member.announced != Announced::Left);
        let mut addresses: BTreeSet<_> = others.map(|e| e.member.address).collect();
        addresses.extend(self.seeds.addresses());
        for entry in self.table.peers() {
            addresses.remove(&entry.member.address);
        }
        addresses.remove(&self.table.own().address);
        let addresses: Vec<_> = addresses.into_iter().collect();
        let chosen: Vec<_> = addresses.sample(&mut self.rng, count).copied().collect();
        for address in chosen {
            let message = Gossip {
                digest: self.digest(now),
                records: vec![self.table.own().record()],
                ..Gossip::default()
            };
            let to = Target {
                daemon: None,
                address: Some(address),
            };
            self.send_message(to, 0, message);
        }
    }
}
