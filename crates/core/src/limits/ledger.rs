//! The owner's side: divides an account's limits between the entries that use it.

use std::collections::{BTreeMap, HashMap};

use derive_more::Debug;

use crate::clock::Millis;
use crate::ids::DaemonId;
use crate::wire::{Grant, Usage, Watch};

use super::book::Book;
use super::line::{Report, Row};
use super::{AccountHash, EXPIRY, Limits, cell, column};

/// Time in which a new owner learns what entries hold by its predecessor's grants.
const LEARNING: Millis = Millis::from_secs(2);

/// What an owner is told.
#[derive(Clone, PartialEq)]
#[derive(Debug)]
pub enum LedgerEvent {
    /// An entry has reported.
    Usage {
        /// Which.
        from: DaemonId,
        /// What it reported.
        usage: Usage,
    },
    /// The live daemons have changed.
    Members {
        /// How many there are.
        live: u32,
    },
    /// A daemon is gone, and what it had in flight with it.
    Gone(DaemonId),
    /// Time has passed; wanted every few seconds to forget what has expired.
    Tick,
}

/// What an owner asks for.
#[derive(Clone, PartialEq)]
#[derive(Debug)]
pub struct LedgerAction {
    /// The entry.
    pub to: DaemonId,
    /// What to send it.
    pub grant: Grant,
}

/// Messages to and from one entry.
#[derive(Clone, Copy, Default)]
#[derive(Debug)]
struct Peer {
    number: u64,
    answers: u64,
}

/// The accounts that one daemon owns and that are in use.
#[derive(Clone)]
#[derive(Debug)]
pub struct Ledger {
    live: u32,
    /// Until when a book that is opened may lack what a former owner granted.
    learning: Millis,
    books: HashMap<AccountHash, Book>,
    peers: HashMap<DaemonId, Peer>,
}

impl Ledger {
    /// An owner among `live` daemons.
    pub fn new(live: u32, now: Millis) -> Self {
        Self {
            live,
            learning: now + LEARNING,
            books: HashMap::new(),
            peers: HashMap::new(),
        }
    }

    /// Takes an event and returns the grants to send; `limits_of` finds an account's limits.
    pub fn handle(
        &mut self,
        event: LedgerEvent,
        now: Millis,
        limits_of: impl Fn(AccountHash) -> Option<Limits>,
    ) -> Vec<LedgerAction> {
        match event {
            LedgerEvent::Usage { from, usage } => return self.usage(&from, &usage, now, limits_of),
            LedgerEvent::Members { live } => {
                self.live = live;
                self.learning = now + LEARNING;
            }
            LedgerEvent::Gone(daemon) => self.forget(&daemon),
            LedgerEvent::Tick => self.expire(now),
        }
        Vec::new()
    }

    /// Accounts in use.
    pub fn len(&self) -> usize {
        self.books.len()
    }

    /// Whether no account is in use.
    pub fn is_empty(&self) -> bool {
        self.books.is_empty()
    }

    /// Concurrency of an account that entries may hold now.
    pub fn outstanding(&self, account: AccountHash) -> u64 {
        self.books.get(&account).map_or(0, Book::outstanding)
    }

    fn usage(
        &mut self,
        from: &DaemonId,
        usage: &Usage,
        now: Millis,
        limits_of: impl Fn(AccountHash) -> Option<Limits>,
    ) -> Vec<LedgerAction> {
        let known = self.peers.get(from).copied().unwrap_or_default();
        if usage.number <= known.answers {
            // The entry or the link to it has started anew, and it reports all it holds.
            self.forget(from);
        }
        self.peers.entry(from.clone()).or_default().answers = usage.number;
        let learning = self.learning;
        let mut rows: BTreeMap<DaemonId, Vec<Row>> = BTreeMap::new();
        for (index, account) in usage.accounts.iter().enumerate() {
            let account = AccountHash(*account);
            let Some(limits) = limits_of(account) else {
                continue;
            };
            let book = self
                .books
                .entry(account)
                .or_insert_with(|| Book::new(limits, learning, now));
            book.set_limits(limits, self.live, now);
            let report = Report {
                seen: usage.acknowledged,
                share: cell(&usage.shares, index),
                flights: cell(&usage.in_flight, index),
                need: cell(&usage.waiting, index),
                rate: cell(&usage.rates, index),
                samples: cell(&usage.samples, index),
            };
            for (entry, row) in book.answer(account, from, report, now) {
                rows.entry(entry).or_default().push(row);
            }
            if book.is_empty() {
                self.books.remove(&account);
            }
        }
        rows.into_iter()
            .map(|(to, rows)| self.grant(to, &rows, now))
            .collect()
    }

    fn grant(&mut self, to: DaemonId, rows: &[Row], now: Millis) -> LedgerAction {
        let peer = self.peers.entry(to.clone()).or_default();
        peer.number += 1;
        for row in rows {
            if let Some(book) = self.books.get_mut(&row.account) {
                book.note_sent(&to, peer.number, row, now);
            }
        }
        let grant = Grant {
            number: peer.number,
            acknowledged: peer.answers,
            expiry: u32::try_from(EXPIRY.0).unwrap_or(u32::MAX),
            accounts: rows.iter().map(|row| row.account.0).collect(),
            shares: column(rows.iter().map(|row| row.share)),
            rates: column(rows.iter().map(|row| row.rate)),
            tokens: column(rows.iter().map(|row| row.tokens)),
            exhausted: column(rows.iter().map(|row| row.dry)),
            watch: watched(rows),
        };
        LedgerAction { to, grant }
    }

    fn forget(&mut self, daemon: &DaemonId) {
        self.peers.remove(daemon);
        for book in self.books.values_mut() {
            book.remove(daemon);
        }
        self.books.retain(|_, book| !book.is_empty());
    }

    fn expire(&mut self, now: Millis) {
        for book in self.books.values_mut() {
            book.expire(now);
        }
        self.books.retain(|_, book| !book.is_empty());
    }
}

/// The column that says how closely each account is watched, left out if all are as usual.
fn watched(rows: &[Row]) -> Vec<i32> {
    if rows.iter().all(|row| row.watch == Watch::Normal) {
        return Vec::new();
    }
    rows.iter().map(|row| row.watch.into()).collect()
}
