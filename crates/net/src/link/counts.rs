//! Bytes and messages on links, by kind.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

/// Counters of all links of one daemon.
#[derive(Debug, Default)]
pub struct Counts {
    /// Links refused for a wrong fleet or key.
    pub refused: AtomicU64,
    /// Links closed for a message that can't be read.
    pub malformed: AtomicU64,
    sent: Mutex<BTreeMap<&'static str, KindCount>>,
    heard: Mutex<BTreeMap<&'static str, KindCount>>,
}

/// Traffic of one kind of message.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub struct KindCount {
    /// Messages.
    pub messages: u64,
    /// Bytes, with framing.
    pub bytes: u64,
}

impl Counts {
    /// Messages sent, by kind.
    pub fn sent(&self) -> BTreeMap<&'static str, KindCount> {
        snapshot(&self.sent)
    }

    /// Messages heard, by kind.
    pub fn received(&self) -> BTreeMap<&'static str, KindCount> {
        snapshot(&self.heard)
    }

    pub(super) fn add_sent(&self, kind: &'static str, bytes: usize) {
        add(&self.sent, kind, bytes);
    }

    pub(super) fn add_heard(&self, kind: &'static str, bytes: usize) {
        add(&self.heard, kind, bytes);
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
