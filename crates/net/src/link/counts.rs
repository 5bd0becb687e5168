//! Traffic counters of links, by message kind.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

/// Counters over all of a daemon's links.
#[derive(Debug, Default)]
pub struct Counts {
    /// Incoming connections refused in the handshake.
    pub refused: AtomicU64,
    /// Links closed because a message could not be decoded.
    pub malformed: AtomicU64,
    sent: Mutex<BTreeMap<&'static str, KindCount>>,
    received: Mutex<BTreeMap<&'static str, KindCount>>,
}

/// Traffic of one message kind.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub struct KindCount {
    /// Number of messages.
    pub messages: u64,
    /// Bytes, including the length prefixes.
    pub bytes: u64,
}

impl Counts {
    /// Traffic sent, by message kind.
    pub fn sent(&self) -> BTreeMap<&'static str, KindCount> {
        snapshot(&self.sent)
    }

    /// Traffic received, by message kind.
    pub fn received(&self) -> BTreeMap<&'static str, KindCount> {
        snapshot(&self.received)
    }

    pub(super) fn add_sent(&self, kind: &'static str, bytes: usize) {
        add(&self.sent, kind, bytes);
    }

    pub(super) fn add_received(&self, kind: &'static str, bytes: usize) {
        add(&self.received, kind, bytes);
    }

    pub(super) fn add_refused(&self) {
        self.refused.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn add_malformed(&self) {
        self.malformed.fetch_add(1, Ordering::Relaxed);
    }
}

type Table = Mutex<BTreeMap<&'static str, KindCount>>;

fn snapshot(table: &Table) -> BTreeMap<&'static str, KindCount> {
    table.lock().unwrap_or_else(PoisonError::into_inner).clone()
}

fn add(table: &Table, kind: &'static str, bytes: usize) {
    let mut table = table.lock().unwrap_or_else(PoisonError::into_inner);
    let count = table.entry(kind).or_default();
    count.messages += 1;
    count.bytes += bytes as u64;
}
