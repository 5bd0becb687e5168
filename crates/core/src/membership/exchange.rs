//! The slow full exchange: digests first, then only what differs.
//!
//! A peer that gets another digest than its own answers with the digests of
//! its buckets, the first one sends every member of the buckets that differ in
//! short form, and the peer answers with what is newer or missing there, and
//! asks for the records that it lacks itself.

use std::collections::BTreeSet;

use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Millis;
use crate::ids::Incarnation;
use crate::wire::Gossip;

use super::Membership;
use super::member::Liveness;
use super::settings::Settings;
use super::table::{Entry, Table};

/// Parts that a table is compared by.
const BUCKETS: usize = 16;
/// Most members listed in one message, unless a single bucket holds more.
const MAX_LISTED: usize = 64;

const fn bucket(incarnation: Incarnation) -> usize {
    (incarnation.0 % BUCKETS as u64) as usize
}

fn hash(entry: &Entry) -> u64 {
    let member = &entry.member;
    let doubted = member.liveness != Liveness::Alive;
    let mut bytes = [0; 15];
    bytes[..8].copy_from_slice(&member.incarnation.0.to_be_bytes());
    bytes[8..12].copy_from_slice(&member.heartbeat.to_be_bytes());
    bytes[12] = member.announced as u8;
    bytes[13] = u8::from(doubted);
    bytes[14] = u8::from(member.ready);
    xxh3_64(&bytes)
}

/// Whether others are told of the member; those gone for long are left to be forgotten.
fn is_told(entry: &Entry, settings: &Settings, now: Millis) -> bool {
    !entry.member.is_gone() || now.since(entry.since) < settings.told
}

fn buckets(table: &Table, settings: &Settings, now: Millis) -> [u64; BUCKETS] {
    let mut sums = [0_u64; BUCKETS];
    for entry in table.entries().filter(|e| is_told(e, settings, now)) {
        let sum = &mut sums[bucket(entry.member.incarnation)];
        *sum = sum.wrapping_add(hash(entry));
    }
    sums
}

fn digest(table: &Table, settings: &Settings, now: Millis) -> u64 {
    let bytes = buckets(table, settings, now).map(u64::to_be_bytes);
    xxh3_64(bytes.as_flattened()).max(1)
}

impl Membership {
    /// The digest of all that is known here.
    pub(super) fn digest(&self, now: Millis) -> u64 {
        digest(&self.table, &self.settings, now)
    }

    /// Answers the parts of `message` that belong to an exchange.
    pub(super) fn exchange(&mut self, message: &Gossip, reply: &mut Gossip, now: Millis) {
        if message.digest != 0 && message.digest != self.digest(now) {
            let sums = buckets(&self.table, &self.settings, now);
            reply.buckets = sums.into_iter().map(|sum| sum as u32).collect();
        }
        if message.buckets.len() == BUCKETS {
            self.list_buckets(&message.buckets, reply, now);
        }
        if message.covers != 0 {
            self.fill_gaps(message, reply, now);
        }
    }

    /// Lists the members of the buckets that differ, beginning at a random one.
    fn list_buckets(&mut self, theirs: &[u32], reply: &mut Gossip, now: Millis) {
        let ours = buckets(&self.table, &self.settings, now);
        let first = self.random_below(BUCKETS);
        for step in 0..BUCKETS {
            let at = (first + step) % BUCKETS;
            if ours[at] as u32 == theirs[at] {
                continue;
            }
            self.catch_up(now);
            let told =
                |e: &&Entry| bucket(e.member.incarnation) == at && is_told(e, &self.settings, now);
            let listed: Vec<_> = self.table.entries().filter(told).collect();
            if reply.covers != 0 && reply.changes.len() + listed.len() > MAX_LISTED {
                break;
            }
            reply.covers |= 1 << at;
            reply
                .changes
                .extend(listed.iter().map(|e| e.member.change(e.refused)));
        }
    }

    /// Adds the members that a list of whole buckets lacks.
    fn fill_gaps(&mut self, message: &Gossip, reply: &mut Gossip, now: Millis) {
        self.catch_up(now);
        let listed: BTreeSet<u64> = message.changes.iter().map(|c| c.incarnation).collect();
        let lacking = self
            .table
            .entries()
            .filter(|e| message.covers & 1 << bucket(e.member.incarnation) != 0)
            .filter(|e| is_told(e, &self.settings, now))
            .filter(|e| !listed.contains(&e.member.incarnation.0));
        let room = self.record_room(reply.records.len());
        let records = lacking.take(room).map(|e| e.member.record()).collect();
        self.add_records(records, reply);
    }
}
