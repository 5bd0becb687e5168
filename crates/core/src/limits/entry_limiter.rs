//! The entry's part of account limits: admits requests within its shares and asks owners for more.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use derive_more::Debug;
use rand_pcg::Pcg32;

use crate::clock::Millis;
use crate::ids::{AttemptId, DaemonId};
use crate::wire::{Grant, Usage};

use super::entry_account::EntryAccount;
use super::event::{Action, Event};
use super::{
    AccountHash, Daemons, Limits, STRICT_FLEET_SIZE, cell, column, rate_from_wire, watch_cell,
};

/// Longest time for which a request is held until the owner answers.
const MAX_HOLD: Millis = Millis(200);
/// Interval of the regular reports of changed use.
const REPORT_INTERVAL: Millis = Millis::from_secs(1);

/// Message numbers of one owner: the last usage sent and the last grant received.
#[derive(Clone, Copy, Default)]
#[derive(Debug)]
struct Peer {
    number: u64,
    seen: u64,
}

/// Limits of all accounts in use at one entry.
#[derive(Clone)]
#[derive(Debug)]
pub struct EntryLimiter {
    daemons: Daemons,
    accounts: BTreeMap<AccountHash, EntryAccount>,
    admitted: HashMap<AttemptId, AccountHash>,
    peers: HashMap<DaemonId, Peer>,
    /// Accounts to report at once.
    urgent: BTreeSet<AccountHash>,
    /// Accounts with held requests.
    with_held: BTreeSet<AccountHash>,
    /// When the next regular report is due.
    next_report: Millis,
    #[debug(skip)]
    rng: Pcg32,
}

impl EntryLimiter {
    /// A limiter without accounts, at an entry of a fleet of `live` daemons.
    pub fn new(live: u32, rng: Pcg32, now: Millis) -> Self {
        Self {
            daemons: Daemons::live(live),
            accounts: BTreeMap::new(),
            admitted: HashMap::new(),
            peers: HashMap::new(),
            urgent: BTreeSet::new(),
            with_held: BTreeSet::new(),
            next_report: now + REPORT_INTERVAL,
            rng,
        }
    }

    /// Handles an event and returns the resulting actions; `owner_of` returns the owner of an
    /// account.
    pub fn handle(
        &mut self,
        event: Event,
        now: Millis,
        owner_of: impl Fn(AccountHash) -> Option<DaemonId>,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Acquire {
                id,
                account,
                limits,
            } => self.acquire(id, account, limits, now, owner_of, &mut actions),
            Event::Release { id } => self.release(id, now),
            Event::Grant { from, grant } => self.apply_grant(&from, &grant, now, &mut actions),
            Event::Members(daemons) => self.update_members(daemons, owner_of),
            Event::OwnerLost(owner) => self.mark_owner_lost(&owner, now),
            Event::Tick => {}
        }
        self.time_out_held(now, &mut actions);
        self.send_reports(now, &mut actions);
        actions
    }

    /// When [`Event::Tick`] is due, unless another event comes before.
    pub fn wake(&self) -> Option<Millis> {
        if self.accounts.is_empty() {
            return None;
        }
        let with_held = self.with_held.iter();
        let held = with_held.filter_map(|account| self.accounts.get(account)?.held.front());
        let first = held.map(|held| held.since + MAX_HOLD).min();
        Some(first.map_or(self.next_report, |first| first.min(self.next_report)))
    }

    /// Number of accounts in use at this entry.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Whether no account is in use at this entry.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Number of requests of an account in flight from this entry.
    pub fn in_flight(&self, account: AccountHash) -> u32 {
        self.accounts
            .get(&account)
            .map_or(0, |state| state.in_flight)
    }

    fn acquire(
        &mut self,
        id: AttemptId,
        account: AccountHash,
        limits: Limits,
        now: Millis,
        owner_of: impl Fn(AccountHash) -> Option<DaemonId>,
        actions: &mut Vec<Action>,
    ) {
        let state = self
            .accounts
            .entry(account)
            .or_insert_with(|| EntryAccount::new(limits, owner_of(account), now));
        state.limits = limits;
        state.last_used = now;
        state.offered_rate.count(1, now);
        if state.owner.is_none() {
            state.share.mark_lost(now);
        }
        state.share.update(limits, self.daemons.all(), now);
        if state.held.is_empty() && state.fits(self.daemons.all(), now) {
            if self.daemons.live > STRICT_FLEET_SIZE {
                state.maybe_sample(now, &mut self.rng);
            }
            state.admit();
            self.admitted.insert(id, account);
            actions.push(Action::Admit { id });
            return;
        }
        let is_exhausted = state.owner.is_none() || now < state.exhausted_until;
        if is_exhausted || state.is_hold_full() {
            let action = state.refuse(id, self.daemons.all(), now, &mut self.rng);
            actions.push(action);
            return;
        }
        // One request for more at a time; requests that arrive until its grant are asked for in the
        // next.
        if state.held.iter().all(|held| held.asked.is_none()) {
            self.urgent.insert(account);
        }
        state.hold(id, now);
        self.with_held.insert(account);
    }

    fn release(&mut self, id: AttemptId, now: Millis) {
        if let Some(account) = self.admitted.remove(&id) {
            if let Some(state) = self.accounts.get_mut(&account) {
                state.in_flight = state.in_flight.saturating_sub(1);
                state.last_used = now;
                if state.reports_each_end() {
                    self.urgent.insert(account);
                }
            }
            return;
        }
        let accounts = &mut self.accounts;
        self.with_held.retain(|account| {
            let Some(state) = accounts.get_mut(account) else {
                return false;
            };
            state.held.retain(|held| held.id != id);
            !state.held.is_empty()
        });
    }

    fn apply_grant(
        &mut self,
        from: &DaemonId,
        grant: &Grant,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let peer = self.peers.entry(from.clone()).or_default();
        peer.seen = grant.number;
        for (row, account) in grant.accounts.iter().enumerate() {
            let account = AccountHash(*account);
            let Some(state) = self.accounts.get_mut(&account) else {
                continue;
            };
            if state.owner.as_ref() != Some(from) {
                continue;
            }
            state.share.update(state.limits, self.daemons.all(), now);
            let concurrency = cell(&grant.shares, row);
            // The owner can grant the difference to others only when it knows that this entry has
            // given it up.
            let rate = rate_from_wire(cell(&grant.rates, row));
            if concurrency < state.share.concurrency || rate < state.share.rate {
                self.urgent.insert(account);
            }
            let tokens = cell(&grant.tokens, row);
            state.watch = watch_cell(&grant.watch, row);
            let until = now + state.extended(Millis(grant.expiry.into()));
            state.share.grant(concurrency, rate, tokens, until);
            state.exhausted_until = now + Millis(cell(&grant.exhausted, row).into());
            self.resolve_held(account, grant.acknowledged, now, actions);
        }
    }

    /// Admits the held requests that fit, and refuses those of the rest that the owner has
    /// answered.
    fn resolve_held(
        &mut self,
        account: AccountHash,
        answers: u64,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let Some(state) = self.accounts.get_mut(&account) else {
            return;
        };
        while let Some(held) = state.held.front() {
            let (id, asked) = (held.id, held.asked);
            if state.fits(self.daemons.all(), now) {
                state.admit();
                self.admitted.insert(id, account);
                actions.push(Action::Admit { id });
            } else if asked.is_some_and(|asked| asked <= answers) {
                let action = state.refuse(id, self.daemons.all(), now, &mut self.rng);
                actions.push(action);
            } else {
                if asked.is_none() {
                    self.urgent.insert(account);
                }
                return;
            }
            state.held.pop_front();
        }
        self.with_held.remove(&account);
    }

    fn update_members(
        &mut self,
        daemons: Daemons,
        owner_of: impl Fn(AccountHash) -> Option<DaemonId>,
    ) {
        self.daemons = daemons;
        for (account, state) in &mut self.accounts {
            let owner = owner_of(*account);
            if owner == state.owner {
                continue;
            }
            state.owner = owner;
            self.urgent.insert(*account);
            for held in &mut state.held {
                held.asked = None;
            }
        }
    }

    fn mark_owner_lost(&mut self, owner: &DaemonId, now: Millis) {
        self.peers.remove(owner);
        for state in self.accounts.values_mut() {
            if state.owner.as_ref() != Some(owner) {
                continue;
            }
            state.share.mark_lost(now);
            state.reset_report();
            for held in &mut state.held {
                held.asked = None;
            }
        }
    }

    /// Resolves the held requests of owners that haven't answered in time.
    fn time_out_held(&mut self, now: Millis, actions: &mut Vec<Action>) {
        for account in self.with_held.clone() {
            let Some(state) = self.accounts.get_mut(&account) else {
                continue;
            };
            let held = state.held.front();
            if held.is_none_or(|held| now < held.since + MAX_HOLD) {
                continue;
            }
            for held in &mut state.held {
                held.asked = Some(0);
            }
            state.share.mark_lost(now);
            state.share.update(state.limits, self.daemons.all(), now);
            self.resolve_held(account, u64::MAX, now, actions);
        }
    }

    /// Reports urgent accounts, and all changed accounts when the regular report is due.
    fn send_reports(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let mut due = std::mem::take(&mut self.urgent);
        let regular = now >= self.next_report;
        if regular {
            let changed = self
                .accounts
                .iter()
                .filter(|(_, state)| state.needs_report(now));
            due.extend(changed.map(|(account, _)| *account));
        }
        let mut batches: BTreeMap<DaemonId, Vec<AccountHash>> = BTreeMap::new();
        for account in due {
            let owner = self.accounts.get(&account).map(|state| &state.owner);
            if let Some(Some(owner)) = owner {
                batches.entry(owner.clone()).or_default().push(account);
            }
        }
        for (to, accounts) in batches {
            let usage = self.build_usage(&to, &accounts, now);
            actions.push(Action::Send { to, usage });
        }
        if regular {
            self.next_report = now + REPORT_INTERVAL;
            self.accounts.retain(|_, state| !state.is_idle(now));
        }
    }

    fn build_usage(&mut self, to: &DaemonId, accounts: &[AccountHash], now: Millis) -> Usage {
        let peer = self.peers.entry(to.clone()).or_default();
        peer.number += 1;
        let (number, seen) = (peer.number, peer.seen);
        let mut rows = Vec::new();
        for account in accounts {
            if let Some(state) = self.accounts.get_mut(account) {
                rows.push(state.usage_row(number, now));
            }
        }
        Usage {
            number,
            acknowledged: seen,
            accounts: accounts.iter().map(|account| account.0).collect(),
            in_flight: column(rows.iter().map(|row| row.in_flight)),
            rates: column(rows.iter().map(|row| row.rate)),
            shares: column(rows.iter().map(|row| row.share)),
            waiting: column(rows.iter().map(|row| row.held_requests)),
            samples: column(rows.iter().map(|row| row.samples)),
        }
    }
}
