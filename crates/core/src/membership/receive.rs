//! Processes received heartbeats: merges their contents, and answers their requests.

use crate::clock::Millis;
use crate::ids::{Generation, Incarnation};
use crate::wire::{Change, Gossip, Record};

use super::member::{Announced, Liveness, Member};
use super::probe::Requester;
use super::settings::{MAX_RECORDS, MIN_RECORDS, RECORD_RETRY};
use super::table::Merged;
use super::{Action, Membership, Peer, RecordRequest};

/// Records in one message from which a stale daemon starts the next exchange at once.
const MANY_RECORDS: usize = 16;
/// Time after its start in which a process may raise its epoch above that of another process of the same name.
const TAKEOVER_WINDOW: Millis = Millis::from_secs(10);

impl Membership {
    /// Merges a heartbeat and sends a reply if one is needed.
    pub(super) fn receive(&mut self, from: &Peer, mut message: Gossip, now: Millis) {
        if from.incarnation == self.table.own().incarnation {
            return;
        }
        let mut reply = Gossip::default();
        let misdirected = message.to != 0 && message.to != self.table.own().incarnation.0 as u32;
        if misdirected {
            // The message was meant for another process; the record tells the sender about this one.
            reply.records.push(self.table.own().record());
        }
        let exchange = message.covers != 0;
        for record in &message.records {
            self.merge_record(from, record, &mut reply, now);
        }
        for change in &message.changes {
            self.merge_change(change, exchange, &mut reply, now);
        }
        if self.freshness.is_stale() && message.records.len() >= MANY_RECORDS {
            self.timers.exchange = now;
        }
        self.update_sender(from, &message, &mut reply, now);
        self.receive_loads(from, &mut message, now);
        self.add_requested(&message, &mut reply);
        self.exchange(&message, &mut reply, now);
        if !misdirected {
            self.answer_ping(from, &message, &mut reply, now);
        }
        self.receive_ack(from, &message, now);
        if reply != Gossip::default() {
            self.send_to_peer(from, reply);
        }
    }

    /// Merges a record; it is passed on if it was requested or is the sender's own.
    fn merge_record(&mut self, from: &Peer, record: &Record, reply: &mut Gossip, now: Millis) {
        let Some(member) = Member::from_record(record) else {
            return;
        };
        let incarnation = member.incarnation;
        let requested = self.record_requests.remove(&incarnation).is_some();
        let pass_on = requested || incarnation == from.incarnation;
        let daemon = member.daemon.clone();
        let gone = member.is_gone();
        let merged = self.table.merge_member(member, now);
        match merged {
            Merged::Joined | Merged::Newer => {
                self.report_change(incarnation);
                if merged == Merged::Joined {
                    let members = self.table.size();
                    self.probes.insert(incarnation, members, &mut self.rng);
                }
                if pass_on {
                    self.updates.push(incarnation);
                }
            }
            Merged::Contested => self.contest(incarnation),
            Merged::SelfSuspected => self.refute(record.change.as_ref()),
            Merged::NameTaken(later) => self.resolve_conflict(record, later && !gone, reply, now),
            Merged::Former => {
                let known = self.table.by_name(&daemon);
                reply.records.extend(known.map(|e| e.member.record()));
            }
            Merged::Unknown | Merged::Older | Merged::Same => {}
        }
    }

    /// Merges an update. One that is part of a table `exchange` isn't passed on, since others have it already.
    fn merge_change(&mut self, change: &Change, exchange: bool, reply: &mut Gossip, now: Millis) {
        let incarnation = Incarnation(change.incarnation);
        match self.table.merge(change, now) {
            Merged::Unknown => self.request_record(incarnation, !exchange, reply, now),
            Merged::Newer => {
                self.report_change(incarnation);
                if !exchange {
                    self.updates.push(incarnation);
                }
            }
            Merged::Older if exchange => {
                if let Some(entry) = self.table.get(incarnation) {
                    reply.changes.push(entry.member.change(entry.refused));
                }
            }
            Merged::Contested => self.contest(incarnation),
            Merged::SelfSuspected => self.refute(Some(change)),
            Merged::Former
            | Merged::Joined
            | Merged::Older
            | Merged::Same
            | Merged::NameTaken(_) => {}
        }
    }

    /// Requests a record; with `pass_on` it is passed on when it is received.
    fn request_record(
        &mut self,
        incarnation: Incarnation,
        pass_on: bool,
        reply: &mut Gossip,
        now: Millis,
    ) {
        let request = self.record_requests.get(&incarnation);
        let recent = request.is_some_and(|request| now.since(request.sent) < RECORD_RETRY);
        if recent || reply.wants.len() >= MAX_RECORDS {
            return;
        }
        if pass_on {
            self.record_requests.insert(
                incarnation,
                RecordRequest {
                    sent: now,
                    attempts: 1,
                },
            );
        }
        reply.wants.push(incarnation.0);
    }

    /// Probes a member that another daemon considers gone; the probe carries that claim, so that the member refutes it.
    fn contest(&mut self, incarnation: Incarnation) {
        self.report_change(incarnation);
        self.probes.probe_soon(incarnation);
        self.contested.insert(incarnation);
    }

    /// Refutes a suspicion of this daemon by a higher heartbeat number.
    fn refute(&mut self, change: Option<&Change>) {
        let heartbeat = change.map_or(0, |change| change.beat);
        self.announce(|own| own.heartbeat = own.heartbeat.max(heartbeat));
    }

    /// Handles another process with this daemon's name: yields to it if it `wins`, unless this process has just started.
    fn resolve_conflict(&mut self, record: &Record, wins: bool, reply: &mut Gossip, now: Millis) {
        let just_started = now.since(self.started) < TAKEOVER_WINDOW;
        if wins && !just_started {
            let by = record.change.map_or(0, |change| change.incarnation);
            let by = Incarnation(by);
            self.actions.push(Action::Replaced { by });
            return;
        }
        let epoch = record.epoch;
        if epoch >= self.table.own().epoch {
            self.announce(|own| own.epoch = epoch + 1);
        }
        reply.records.push(self.table.own().record());
    }

    /// Updates the sender of a message by its heartbeat number and generation.
    fn update_sender(&mut self, from: &Peer, message: &Gossip, reply: &mut Gossip, now: Millis) {
        let Some(entry) = self.table.get(from.incarnation) else {
            self.request_record(from.incarnation, true, reply, now);
            return;
        };
        if entry.member.heartbeat < message.beat {
            self.request_record(from.incarnation, true, reply, now);
        } else if entry.member.liveness != Liveness::Alive {
            // The sender refutes the suspicion by a higher number once it knows of it.
            reply.changes.push(entry.member.change(entry.refused));
        }
        self.table.record_contact(from.incarnation);
        let generation = Generation(message.generation);
        self.table.set_generation(from.incarnation, generation);
        if generation > self.table.own().generation {
            let from = from.daemon.clone();
            self.actions
                .push(Action::NewerGeneration { from, generation });
        }
    }

    /// Adds the records requested by `message` to the reply.
    fn add_requested(&mut self, message: &Gossip, reply: &mut Gossip) {
        let wanted = message
            .wants
            .iter()
            .map(|i| self.table.get(Incarnation(*i)));
        let records = wanted.flatten().map(|e| e.member.record());
        let records = records.take(self.record_room(0)).collect();
        self.add_records(records, reply);
    }

    /// Number of records that may be added to a message with `present` records, within the budget of the round.
    pub(super) fn record_room(&self, present: usize) -> usize {
        let left = self.record_budget.max(MIN_RECORDS);
        MAX_RECORDS.saturating_sub(present).min(left)
    }

    /// Adds records to the reply, and charges them to the budget of the round.
    pub(super) fn add_records(&mut self, records: Vec<Record>, reply: &mut Gossip) {
        self.record_budget = self.record_budget.saturating_sub(records.len());
        reply.records.extend(records);
    }

    /// Answers a probe, or starts the indirect probe that was requested.
    fn answer_ping(&mut self, from: &Peer, message: &Gossip, reply: &mut Gossip, now: Millis) {
        if message.ping == 0 {
            return;
        }
        if message.probe == 0 {
            reply.ack = message.ping;
            return;
        }
        let requester = Requester {
            incarnation: from.incarnation,
            ping: message.ping,
        };
        self.probe(Incarnation(message.probe), Some(requester), now);
    }

    /// Processes the answer to a probe.
    fn receive_ack(&mut self, from: &Peer, message: &Gossip, now: Millis) {
        let Some(probe) = self.probes.end(message.ack) else {
            return;
        };
        if let Some(requester) = probe.requester {
            let ack = Gossip {
                ack: requester.ping,
                ..Gossip::default()
            };
            self.send(requester.incarnation, ack);
            return;
        }
        if from.incarnation == probe.target {
            self.freshness.record_answer(&from.daemon);
            // A peer with the same digest sends no buckets.
            self.caught_up |= probe.has_digest && message.buckets.is_empty();
            self.leave_acknowledged(from, probe.heartbeat);
            self.update_freshness(now);
        }
    }

    /// Whether this daemon has announced that it is leaving or has left.
    pub(super) fn is_leaving(&self) -> bool {
        self.table.own().announced >= Announced::Leaving
    }
}
