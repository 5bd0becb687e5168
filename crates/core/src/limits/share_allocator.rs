//! The owner's part of account limits: divides the limits between the entries that use an account.

use std::collections::{BTreeMap, HashMap};

use derive_more::Debug;

use crate::clock::Millis;
use crate::ids::DaemonId;
use crate::wire::{Grant, Usage, Watch};

use super::entry_usage::{GrantRow, Report};
use super::owned_account::OwnedAccount;
use super::{AccountHash, Daemons, GRANT_EXPIRY, Limits, cell, column};

/// Time in which a new owner learns from reports what entries hold by its predecessor's grants.
const LEARNING_TIME: Millis = Millis::from_secs(2);

/// An event at an owner.
#[derive(Clone, PartialEq)]
#[derive(Debug)]
pub enum AllocatorEvent {
    /// An entry has reported its use.
    Usage {
        /// The entry.
        from: DaemonId,
        /// Its report.
        usage: Usage,
    },
    /// The daemons have changed.
    Members(Daemons),
    /// A daemon is lost, and its requests in flight with it.
    DaemonLost(DaemonId),
    /// Time has passed; sent every few seconds to remove expired entries.
    Tick,
}

/// A grant to send to an entry.
#[derive(Clone, PartialEq)]
#[derive(Debug)]
pub struct AllocatorAction {
    /// The entry.
    pub to: DaemonId,
    /// The message.
    pub grant: Grant,
}

/// Message numbers of one entry: the last grant sent and the last usage received.
#[derive(Clone, Copy, Default)]
#[derive(Debug)]
struct Peer {
    number: u64,
    answers: u64,
}

/// Divides the limits of the accounts that one daemon owns.
#[derive(Clone)]
#[derive(Debug)]
pub struct ShareAllocator {
    daemons: Daemons,
    /// Until when a new account may lack entries that hold a former owner's grants.
    learning_until: Millis,
    accounts: HashMap<AccountHash, OwnedAccount>,
    peers: HashMap<DaemonId, Peer>,
}

impl ShareAllocator {
    /// An allocator without accounts, in a fleet of `live` daemons.
    pub fn new(live: u32, now: Millis) -> Self {
        Self {
            daemons: Daemons::live(live),
            learning_until: now + LEARNING_TIME,
            accounts: HashMap::new(),
            peers: HashMap::new(),
        }
    }

    /// Handles an event and returns the grants to send; `limits_of` returns the limits of an
    /// account.
    pub fn handle(
        &mut self,
        event: AllocatorEvent,
        now: Millis,
        limits_of: impl Fn(AccountHash) -> Option<Limits>,
    ) -> Vec<AllocatorAction> {
        match event {
            AllocatorEvent::Usage { from, usage } => {
                return self.handle_usage(&from, &usage, now, limits_of);
            }
            AllocatorEvent::Members(daemons) => {
                self.daemons = daemons;
                self.learning_until = now + LEARNING_TIME;
            }
            AllocatorEvent::DaemonLost(daemon) => self.remove_daemon(&daemon),
            AllocatorEvent::Tick => self.expire(now),
        }
        Vec::new()
    }

    /// Number of accounts in use.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Whether no account is in use.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Concurrency of an account that entries may hold now.
    pub fn outstanding(&self, account: AccountHash) -> u64 {
        self.accounts
            .get(&account)
            .map_or(0, OwnedAccount::outstanding)
    }

    fn handle_usage(
        &mut self,
        from: &DaemonId,
        usage: &Usage,
        now: Millis,
        limits_of: impl Fn(AccountHash) -> Option<Limits>,
    ) -> Vec<AllocatorAction> {
        let last = self.peers.get(from).copied().unwrap_or_default();
        if usage.number <= last.answers {
            // The entry has restarted or reconnected, and reports all that it holds.
            self.remove_daemon(from);
        }
        self.peers.entry(from.clone()).or_default().answers = usage.number;
        let learning_until = self.learning_until;
        let mut rows: BTreeMap<DaemonId, Vec<GrantRow>> = BTreeMap::new();
        for (index, account) in usage.accounts.iter().enumerate() {
            let account = AccountHash(*account);
            let Some(limits) = limits_of(account) else {
                continue;
            };
            let state = self
                .accounts
                .entry(account)
                .or_insert_with(|| OwnedAccount::new(limits, learning_until, now));
            state.set_limits(self.daemons.part_of(limits), self.daemons.live, now);
            let report = Report {
                seen_grant: usage.acknowledged,
                share: cell(&usage.shares, index),
                in_flight: cell(&usage.in_flight, index),
                held_requests: cell(&usage.waiting, index),
                offered_rate: cell(&usage.rates, index),
                samples: cell(&usage.samples, index),
            };
            for (entry, row) in state.handle_report(account, from, report, now) {
                rows.entry(entry).or_default().push(row);
            }
            if state.is_empty() {
                self.accounts.remove(&account);
            }
        }
        rows.into_iter()
            .map(|(to, rows)| self.build_grant(to, &rows, now))
            .collect()
    }

    fn build_grant(&mut self, to: DaemonId, rows: &[GrantRow], now: Millis) -> AllocatorAction {
        let peer = self.peers.entry(to.clone()).or_default();
        peer.number += 1;
        for row in rows {
            if let Some(state) = self.accounts.get_mut(&row.account) {
                state.record_grant(&to, peer.number, row, now);
            }
        }
        let grant = Grant {
            number: peer.number,
            acknowledged: peer.answers,
            expiry: u32::try_from(GRANT_EXPIRY.0).unwrap_or(u32::MAX),
            accounts: rows.iter().map(|row| row.account.0).collect(),
            shares: column(rows.iter().map(|row| row.share)),
            rates: column(rows.iter().map(|row| row.rate)),
            tokens: column(rows.iter().map(|row| row.tokens)),
            exhausted: column(rows.iter().map(|row| row.backoff)),
            watch: watch_column(rows),
        };
        AllocatorAction { to, grant }
    }

    fn remove_daemon(&mut self, daemon: &DaemonId) {
        self.peers.remove(daemon);
        for state in self.accounts.values_mut() {
            state.remove(daemon);
        }
        self.accounts.retain(|_, state| !state.is_empty());
    }

    fn expire(&mut self, now: Millis) {
        for state in self.accounts.values_mut() {
            state.expire(now);
        }
        self.accounts.retain(|_, state| !state.is_empty());
    }
}

/// How closely each account is watched, as a column; left out if all are `Usual`.
fn watch_column(rows: &[GrantRow]) -> Vec<i32> {
    if rows.iter().all(|row| row.watch == Watch::Normal) {
        return Vec::new();
    }
    rows.iter().map(|row| row.watch.into()).collect()
}
