//! What is due as time passes: rounds, probes, news, exchanges, forgetting.

use std::collections::BTreeSet;

use rand::seq::IndexedRandom;

use crate::clock::Millis;
use crate::freshness::REQUIRED_PEERS;
use crate::ids::Incarnation;
use crate::wire::Gossip;

use super::member::{Announced, Liveness};
use super::probe::{Asker, Due, Probe};
use super::settings::{
    ASK_AGAIN, FANOUT, INDIRECT, MAX_ASKS, MAX_CHECKS, MAX_RECORDS, NEWS_FANOUT, ROUND_RECORDS,
};
use super::table::Entry;
use super::{Action, Membership, Target};

impl Membership {
    pub(super) fn tick(&mut self, wall: Millis, now: Millis) {
        if self.fresh.tick(now, wall) {
            self.paused(now);
        }
        self.run_probes(now);
        self.expire(now);
        if now >= self.timers.round {
            self.round(now);
        }
        if now >= self.timers.loads {
            self.timers.loads = now + self.jittered(self.settings.loads);
            self.send_loads(now);
        }
        if now >= self.timers.exchange {
            self.begin_exchange(now);
        }
        if now >= self.timers.reconnect {
            self.reconnect(now);
        }
        self.farewell_tick(now);
        self.send_news(now);
        self.settle(now);
    }

    /// Takes nothing from a silence that was this process's own.
    fn paused(&mut self, now: Millis) {
        self.probes.clear();
        self.table.restart_doubts(now);
        self.stale_since = now;
        self.caught_up = false;
        self.timers.round = now;
        self.timers.exchange = now;
        self.timers.reconnect = now;
        self.out.push(Action::Stale);
    }

    fn run_probes(&mut self, now: Millis) {
        let refused = |target| self.table.get(target).is_some_and(|e| e.refused);
        for due in self.probes.due(&self.settings, refused, now) {
            match due {
                Due::Indirect(probe) => self.probe_indirectly(&probe),
                Due::Failed(probe) => self.probe_failed(&probe, now),
            }
        }
        for _ in 0..MAX_CHECKS {
            let Some(target) = self.probes.next_check() else {
                break;
            };
            if !self.probes.probing(target) {
                self.probe(target, None, now);
            }
        }
    }

    /// Probes a member, in the stead of `asker` if there is one.
    pub(super) fn probe(&mut self, target: Incarnation, asker: Option<Asker>, now: Millis) {
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
        let beat = self.table.own().heartbeat;
        let ping = self.probes.begin(target, beat, asker, now);
        let message = Gossip {
            ping,
            changes,
            sums,
            ..Gossip::default()
        };
        self.send(target, message);
    }

    fn probe_indirectly(&mut self, probe: &Probe) {
        let message = Gossip {
            ping: probe.ping,
            probe: probe.target.0,
            ..Gossip::default()
        };
        let helps = |e: &Entry| e.member.incarnation != probe.target && !e.refused;
        for to in self.random_peers(INDIRECT, helps) {
            self.send(to, message.clone());
        }
    }

    fn probe_failed(&mut self, probe: &Probe, now: Millis) {
        if probe.asker.is_some() {
            return;
        }
        let trusted = self
            .table
            .get(probe.target)
            .is_some_and(|e| e.member.liveness == Liveness::Alive && !e.member.is_gone());
        if trusted && self.table.doubt(probe.target, Liveness::Suspect, now) {
            self.changed(probe.target);
            self.spread.put(probe.target);
        }
    }

    /// Gives up members whose suspicion went unanswered.
    fn expire(&mut self, now: Millis) {
        let patience = self.settings.suspicion(self.table.size());
        let over = |e: &&Entry| {
            let patience = if e.refused {
                self.settings.refused
            } else {
                patience
            };
            e.member.liveness == Liveness::Suspect && now.since(e.since) >= patience
        };
        let over: Vec<_> = self.table.others().filter(over).collect();
        let over: Vec<_> = over.iter().map(|e| e.member.incarnation).collect();
        for incarnation in over {
            self.table.doubt(incarnation, Liveness::Gone, now);
            self.changed(incarnation);
        }
    }

    fn round(&mut self, now: Millis) {
        self.timers.round = now + self.jittered(self.settings.round);
        self.records_left = ROUND_RECORDS;
        self.forget(now);
        self.ask_again(now);
        self.loads.prune(now);
        let peers = self
            .table
            .peers()
            .map(|e| e.member.incarnation)
            .collect::<Vec<_>>();
        if let Some(target) = self.probes.next(&mut self.rng, || peers) {
            let gone = self.table.get(target).is_none_or(|e| e.member.is_gone());
            if !gone && !self.probes.probing(target) {
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

    fn forget(&mut self, now: Millis) {
        self.seeds.prune(&self.settings, now);
        let over = |e: &&Entry| self.seeds.forgets(e, &self.settings, now);
        let over = self.table.others().filter(over);
        let over: Vec<_> = over.map(|e| e.member.daemon.clone()).collect();
        for daemon in over {
            self.table.forget(&daemon);
            self.out.push(Action::Forgotten(daemon));
        }
    }

    /// Asks another peer for records that haven't come, since the question may have been lost.
    fn ask_again(&mut self, now: Millis) {
        self.asked.retain(|_, asked| asked.times < MAX_ASKS);
        let mut wants = Vec::new();
        for (incarnation, asked) in &mut self.asked {
            if now.since(asked.at) >= ASK_AGAIN && wants.len() < MAX_RECORDS {
                asked.at = now;
                asked.times += 1;
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

    /// Sends news that few have had, without waiting for the next round.
    fn send_news(&mut self, now: Millis) {
        if now < self.timers.news || !(self.hurry || self.spread.urgent()) {
            return;
        }
        self.hurry = false;
        self.timers.news = now + self.settings.news;
        for to in self.random_peers(NEWS_FANOUT, |_| true) {
            self.send(to, Gossip::default());
        }
    }

    /// Brings the next exchange forward, since tables differ.
    pub(super) fn catch_up(&mut self, now: Millis) {
        let next = now + self.jittered(self.settings.catch_up);
        self.timers.exchange = self.timers.exchange.min(next);
    }

    /// Compares tables with a random peer; while stale, with as many as are needed.
    fn begin_exchange(&mut self, now: Millis) {
        self.timers.exchange = now + self.jittered(self.settings.exchange);
        if !self.fresh.is_stale() {
            for to in self.random_peers(1, |_| true) {
                self.compare_with(to, now);
            }
            return;
        }
        self.catch_up(now);
        for to in self.random_peers(REQUIRED_PEERS + 1, |_| true) {
            self.compare_with(to, now);
        }
    }

    fn compare_with(&mut self, to: Incarnation, now: Millis) {
        let beat = self.table.own().heartbeat;
        let ping = self.probes.begin_compare(to, beat, now);
        let message = Gossip {
            ping,
            digest: self.digest(now),
            ..Gossip::default()
        };
        self.send(to, message);
    }

    /// Tries addresses where no live member is known: one, or several while few are known.
    fn reconnect(&mut self, now: Millis) {
        let stale = self.fresh.is_stale() && self.table.peers().count() < REQUIRED_PEERS;
        let (wait, tries) = match stale {
            true => (self.settings.catch_up, NEWS_FANOUT),
            false => (self.settings.reconnect, 1),
        };
        self.timers.reconnect = now + self.jittered(wait);
        let gone = self
            .table
            .others()
            .filter(|e| e.member.announced != Announced::Left);
        let mut addresses: BTreeSet<_> = gone.map(|e| e.member.address).collect();
        addresses.extend(self.seeds.addresses());
        for entry in self.table.peers() {
            addresses.remove(&entry.member.address);
        }
        addresses.remove(&self.table.own().address);
        let addresses: Vec<_> = addresses.into_iter().collect();
        let chosen: Vec<_> = addresses.sample(&mut self.rng, tries).copied().collect();
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
