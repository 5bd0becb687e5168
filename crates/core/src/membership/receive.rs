//! A heartbeat has arrived: merge it, and answer what it asks.

use crate::clock::Millis;
use crate::ids::{Generation, Incarnation};
use crate::wire::{Change, Gossip, Record};

use super::member::{Announced, Liveness, Member};
use super::probe::Asker;
use super::settings::{ASK_AGAIN, MAX_RECORDS, MIN_RECORDS};
use super::table::Merged;
use super::{Action, Asked, Membership, Peer};

/// Records in one message after which a stale daemon asks for more at once.
const MANY_RECORDS: usize = 16;
/// How long after its start a process may raise its epoch over one of the same name.
const YOUNG: Millis = Millis::from_secs(10);

impl Membership {
    pub(super) fn received(&mut self, from: &Peer, mut message: Gossip, now: Millis) {
        if from.incarnation == self.table.own().incarnation {
            return;
        }
        let mut reply = Gossip::default();
        let misdirected = message.to != 0 && message.to != self.table.own().incarnation.0 as u32;
        if misdirected {
            // The sender takes this process for another; its record sets that right.
            reply.records.push(self.table.own().record());
        }
        let whole = message.covers != 0;
        for record in &message.records {
            self.merge_record(from, record, &mut reply, now);
        }
        for change in &message.changes {
            self.merge_change(change, whole, &mut reply, now);
        }
        if self.fresh.is_stale() && message.records.len() >= MANY_RECORDS {
            self.timers.exchange = now;
        }
        self.note_sender(from, &message, &mut reply, now);
        self.take_loads(from, &mut message, now);
        self.give_records(&message, &mut reply);
        self.exchange(&message, &mut reply, now);
        if !misdirected {
            self.answer_ping(from, &message, &mut reply, now);
        }
        self.take_ack(from, &message, now);
        if reply != Gossip::default() {
            self.send_to_peer(from, reply);
        }
    }

    /// Merges a member in full; it is told on if it was asked for or tells of itself.
    fn merge_record(&mut self, from: &Peer, record: &Record, reply: &mut Gossip, now: Millis) {
        let Some(member) = Member::from_record(record) else {
            return;
        };
        let incarnation = member.incarnation;
        let asked = self.asked.remove(&incarnation).is_some();
        let news = asked || incarnation == from.incarnation;
        let daemon = member.daemon.clone();
        let gone = member.is_gone();
        let merged = self.table.merge_member(member, now);
        match merged {
            Merged::Joined | Merged::Newer => {
                self.changed(incarnation);
                if merged == Merged::Joined {
                    let members = self.table.size();
                    self.probes.enter(incarnation, members, &mut self.rng);
                }
                if news {
                    self.spread.put(incarnation);
                }
            }
            Merged::Contested => self.contest(incarnation),
            Merged::Doubted => self.refute(record.change.as_ref()),
            Merged::Rival(later) => self.meet_rival(record, later && !gone, reply, now),
            Merged::Former => {
                let known = self.table.named(&daemon);
                reply.records.extend(known.map(|e| e.member.record()));
            }
            Merged::Unknown | Merged::Older | Merged::Same => {}
        }
    }

    /// Merges news; `whole` says that it is part of an exchange, where others have it already.
    fn merge_change(&mut self, change: &Change, whole: bool, reply: &mut Gossip, now: Millis) {
        let incarnation = Incarnation(change.incarnation);
        match self.table.merge(change, now) {
            Merged::Unknown => self.want(incarnation, !whole, reply, now),
            Merged::Newer => {
                self.changed(incarnation);
                if !whole {
                    self.spread.put(incarnation);
                }
            }
            Merged::Older if whole => {
                if let Some(entry) = self.table.get(incarnation) {
                    reply.changes.push(entry.member.change(entry.refused));
                }
            }
            Merged::Contested => self.contest(incarnation),
            Merged::Doubted => self.refute(Some(change)),
            Merged::Former | Merged::Joined | Merged::Older | Merged::Same | Merged::Rival(_) => {}
        }
    }

    /// Asks for a record; one asked for with `news` is told on when it comes.
    fn want(&mut self, incarnation: Incarnation, news: bool, reply: &mut Gossip, now: Millis) {
        let asked = self.asked.get(&incarnation);
        let recent = asked.is_some_and(|asked| now.since(asked.at) < ASK_AGAIN);
        if recent || reply.wants.len() >= MAX_RECORDS {
            return;
        }
        if news {
            self.asked.insert(incarnation, Asked { at: now, times: 1 });
        }
        reply.wants.push(incarnation.0);
    }

    /// Probes a member that another believes gone, which tells it to answer the doubt.
    fn contest(&mut self, incarnation: Incarnation) {
        self.changed(incarnation);
        self.probes.check(incarnation);
        self.contested.insert(incarnation);
    }

    /// Answers a doubt about this daemon by a higher heartbeat number.
    fn refute(&mut self, change: Option<&Change>) {
        let beat = change.map_or(0, |change| change.beat);
        self.announce(|own| own.heartbeat = own.heartbeat.max(beat));
    }

    /// Another process has this daemon's name.
    fn meet_rival(&mut self, record: &Record, wins: bool, reply: &mut Gossip, now: Millis) {
        let young = now.since(self.started) < YOUNG;
        if wins && !young {
            let by = record.change.map_or(0, |change| change.incarnation);
            let by = Incarnation(by);
            self.out.push(Action::Replaced { by });
            return;
        }
        let epoch = record.epoch;
        if epoch >= self.table.own().epoch {
            self.announce(|own| own.epoch = epoch + 1);
        }
        reply.records.push(self.table.own().record());
    }

    /// Notes what a message says of its sender.
    fn note_sender(&mut self, from: &Peer, message: &Gossip, reply: &mut Gossip, now: Millis) {
        let Some(entry) = self.table.get(from.incarnation) else {
            self.want(from.incarnation, true, reply, now);
            return;
        };
        if entry.member.heartbeat < message.beat {
            self.want(from.incarnation, true, reply, now);
        } else if entry.member.liveness != Liveness::Alive {
            // Once it has heard of the doubt, it answers by a higher number.
            reply.changes.push(entry.member.change(entry.refused));
        }
        self.table.contact(from.incarnation);
        let generation = Generation(message.generation);
        self.table.set_generation(from.incarnation, generation);
        if generation > self.table.own().generation {
            let from = from.daemon.clone();
            self.out.push(Action::NewerGeneration { from, generation });
        }
    }

    fn give_records(&mut self, message: &Gossip, reply: &mut Gossip) {
        let wanted = message
            .wants
            .iter()
            .map(|i| self.table.get(Incarnation(*i)));
        let records = wanted.flatten().map(|e| e.member.record());
        let records = records.take(self.record_room(0)).collect();
        self.add_records(records, reply);
    }

    /// How many records fit into a message that holds `present`, and into what is left of the budget.
    pub(super) fn record_room(&self, present: usize) -> usize {
        let left = self.records_left.max(MIN_RECORDS);
        MAX_RECORDS.saturating_sub(present).min(left)
    }

    pub(super) fn add_records(&mut self, records: Vec<Record>, reply: &mut Gossip) {
        self.records_left = self.records_left.saturating_sub(records.len());
        reply.records.extend(records);
    }

    fn answer_ping(&mut self, from: &Peer, message: &Gossip, reply: &mut Gossip, now: Millis) {
        if message.ping == 0 {
            return;
        }
        if message.probe == 0 {
            reply.ack = message.ping;
            return;
        }
        let asker = Asker {
            incarnation: from.incarnation,
            ping: message.ping,
        };
        self.probe(Incarnation(message.probe), Some(asker), now);
    }

    fn take_ack(&mut self, from: &Peer, message: &Gossip, now: Millis) {
        let Some(probe) = self.probes.end(message.ack) else {
            return;
        };
        if let Some(asker) = probe.asker {
            let ack = Gossip {
                ack: asker.ping,
                ..Gossip::default()
            };
            self.send(asker.incarnation, ack);
            return;
        }
        if from.incarnation == probe.target {
            self.fresh.record_answer(&from.daemon);
            // A peer whose digest is the same sends no buckets.
            self.caught_up |= probe.compared && message.buckets.is_empty();
            self.farewell_heard(from, probe.beat);
            self.settle(now);
        }
    }

    /// Whether this daemon has said that it leaves.
    pub(super) fn is_leaving(&self) -> bool {
        self.table.own().announced >= Announced::Leaving
    }
}
