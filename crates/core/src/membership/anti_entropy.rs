//! Anti-entropy: two daemons compare digests of their tables and exchange what differs.
//!
//! A daemon sends the digest of its table. A peer with a different digest
//! answers with the digests of its buckets. The daemon then sends all members of
//! the buckets that differ, in short form. The peer answers with newer or missing
//! members, and requests the records that it lacks itself.

use std::collections::BTreeSet;

use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Millis;
use crate::ids::Incarnation;
use crate::wire::Gossip;

use super::Membership;
use super::member::Liveness;
use super::settings::Settings;
use super::table::{Entry, Table};

/// Number of buckets into which a table is divided for comparison.
const BUCKETS: usize = 16;
/// Maximum members listed in one message, unless a single bucket has more.
const MAX_LISTED: usize = 64;

/// The bucket of a member.
const fn bucket(incarnation: Incarnation) -> usize {
    (incarnation.0 % BUCKETS as u64) as usize
}

/// Hash of the parts of a member that are compared.
fn hash(entry: &Entry) -> u64 {
    let member = &entry.member;
    let suspected = member.liveness != Liveness::Alive;
    let mut bytes = [0; 15];
    bytes[..8].copy_from_slice(&member.incarnation.0.to_be_bytes());
    bytes[8..12].copy_from_slice(&member.heartbeat.to_be_bytes());
    bytes[12] = member.announced as u8;
    bytes[13] = u8::from(suspected);
    bytes[14] = u8::from(member.ready);
    xxh3_64(&bytes)
}

/// Whether the member takes part in the comparison; members that are gone for long don't, so that they are forgotten.
fn is_compared(entry: &Entry, settings: &Settings, now: Millis) -> bool {
    !entry.member.is_gone() || now.since(entry.since) < settings.gone_exchange
}

/// Digests of all buckets, as sums of the hashes of their members.
fn buckets(table: &Table, settings: &Settings, now: Millis) -> [u64; BUCKETS] {
    let mut sums = [0_u64; BUCKETS];
    for entry in table.entries().filter(|e| is_compared(e, settings, now)) {
        let sum = &mut sums[bucket(entry.member.incarnation)];
        *sum = sum.wrapping_add(hash(entry));
    }
    sums
}

/// Digest of the table, never zero.
fn digest(table: &Table, settings: &Settings, now: Millis) -> u64 {
    let bytes = buckets(table, settings, now).map(u64::to_be_bytes);
    xxh3_64(bytes.as_flattened()).max(1)
}

impl Membership {
    /// The digest of this daemon's table.
    pub(super) fn digest(&self, now: Millis) -> u64 {
        digest(&self.table, &self.settings, now)
    }

    /// Answers the fields of `message` that belong to an exchange.
    pub(super) fn exchange(&mut self, message: &Gossip, reply: &mut Gossip, now: Millis) {
        if message.digest != 0 && message.digest != self.digest(now) {
            let sums = buckets(&self.table, &self.settings, now);
            reply.buckets = sums.into_iter().map(|sum| sum as u32).collect();
        }
        if message.buckets.len() == BUCKETS {
            self.list_buckets(&message.buckets, reply, now);
        }
        if message.covers != 0 {
            self.add_missing(message, reply, now);
        }
    }

    /// Lists the members of the buckets that differ, starting at a random bucket.
    fn list_buckets(&mut self, peer_sums: &[u32], reply: &mut Gossip, now: Millis) {
        let own_sums = buckets(&self.table, &self.settings, now);
        let first = self.random_below(BUCKETS);
        for step in 0..BUCKETS {
            let at = (first + step) % BUCKETS;
            if own_sums[at] as u32 == peer_sums[at] {
                continue;
            }
            self.hasten_exchange(now);
            let in_bucket = |e: &&Entry| {
                bucket(e.member.incarnation) == at && is_compared(e, &self.settings, now)
            };
            let listed: Vec<_> = self.table.entries().filter(in_bucket).collect();
            if reply.covers != 0 && reply.changes.len() + listed.len() > MAX_LISTED {
                break;
            }
            reply.covers |= 1 << at;
            reply
                .changes
                .extend(listed.iter().map(|e| e.member.change(e.refused)));
        }
    }

    /// Adds the members that are missing from the sender's list of complete buckets.
    fn add_missing(&mut self, message: &Gossip, reply: &mut Gossip, now: Millis) {
        self.hasten_exchange(now);
        let listed: BTreeSet<u64> = message.changes.iter().map(|c| c.incarnation).collect();
        let missing = self
            .table
            .entries()
            .filter(|e| message.covers & 1 << bucket(e.member.incarnation) != 0)
            .filter(|e| is_compared(e, &self.settings, now))
            .filter(|e| !listed.contains(&e.member.incarnation.0));
        let room = self.record_room(reply.records.len());
        let records = missing.take(room).map(|e| e.member.record()).collect();
        self.add_records(records, reply);
    }
}
