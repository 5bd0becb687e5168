//! The entry's side: admits requests within its shares and asks for more.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use derive_more::Debug;
use rand_pcg::Pcg32;

use crate::clock::Millis;
use crate::ids::{AttemptId, DaemonId};
use crate::wire::{Grant, Usage};

use super::event::{Action, Event};
use super::local::Local;
use super::{AccountHash, Limits, STRICT_LIVE, cell, column, from_wire, watch};

/// Longest time for which a request is held for the owner's answer.
const HOLD: Millis = Millis(200);
/// How often changed use is reported.
const REPORT: Millis = Millis::from_secs(1);

/// Messages to and from one owner.
#[derive(Clone, Copy, Default)]
#[derive(Debug)]
struct Peer {
    number: u64,
    seen: u64,
}

/// All accounts in use at one entry.
#[derive(Clone)]
#[derive(Debug)]
pub struct Accounts {
    live: u32,
    locals: BTreeMap<AccountHash, Local>,
    flights: HashMap<AttemptId, AccountHash>,
    peers: HashMap<DaemonId, Peer>,
    /// Accounts to report at once.
    urgent: BTreeSet<AccountHash>,
    /// Accounts with held requests.
    holding: BTreeSet<AccountHash>,
    /// When to report next.
    report: Millis,
    #[debug(skip)]
    rng: Pcg32,
}

impl Accounts {
    /// An entry among `live` daemons.
    pub fn new(live: u32, rng: Pcg32, now: Millis) -> Self {
        Self {
            live,
            locals: BTreeMap::new(),
            flights: HashMap::new(),
            peers: HashMap::new(),
            urgent: BTreeSet::new(),
            holding: BTreeSet::new(),
            report: now + REPORT,
            rng,
        }
    }

    /// Takes an event and returns what is to be done; `owner_of` finds an account's owner.
    pub fn handle(
        &mut self,
        event: Event,
        now: Millis,
        owner_of: impl Fn(AccountHash) -> Option<DaemonId>,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Ask {
                id,
                account,
                limits,
            } => self.ask(id, account, limits, now, owner_of, &mut actions),
            Event::Done { id } => self.done(id, now),
            Event::Grant { from, grant } => self.grant(&from, &grant, now, &mut actions),
            Event::Members { live } => self.members(live, owner_of),
            Event::Lost(owner) => self.lost(&owner, now),
            Event::Tick => {}
        }
        self.time_out(now, &mut actions);
        self.send(now, &mut actions);
        actions
    }

    /// When [`Event::Tick`] is wanted, if no other event comes before.
    pub fn wake(&self) -> Option<Millis> {
        if self.locals.is_empty() {
            return None;
        }
        let holding = self.holding.iter();
        let held = holding.filter_map(|account| self.locals.get(account)?.held.front());
        let first = held.map(|held| held.since + HOLD).min();
        Some(first.map_or(self.report, |first| first.min(self.report)))
    }

    /// Accounts in use here.
    pub fn len(&self) -> usize {
        self.locals.len()
    }

    /// Whether no account is in use here.
    pub fn is_empty(&self) -> bool {
        self.locals.is_empty()
    }

    /// Requests in flight, of one account.
    pub fn in_flight(&self, account: AccountHash) -> u32 {
        self.locals.get(&account).map_or(0, |local| local.flights)
    }

    fn ask(
        &mut self,
        id: AttemptId,
        account: AccountHash,
        limits: Limits,
        now: Millis,
        owner_of: impl Fn(AccountHash) -> Option<DaemonId>,
        actions: &mut Vec<Action>,
    ) {
        let local = self
            .locals
            .entry(account)
            .or_insert_with(|| Local::new(limits, owner_of(account), now));
        local.limits = limits;
        local.used = now;
        local.offered.count(1, now);
        if local.owner.is_none() {
            local.share.lose(now);
        }
        local.share.advance(limits, self.live, now);
        if local.held.is_empty() && local.fits(self.live, now) {
            if self.live > STRICT_LIVE {
                local.draw(now, &mut self.rng);
            }
            local.admit();
            self.flights.insert(id, account);
            actions.push(Action::Admit { id });
            return;
        }
        let hopeless = local.owner.is_none() || now < local.dry;
        if hopeless || local.is_crowded() {
            let action = local.refuse(id, self.live, now, &mut self.rng);
            actions.push(action);
            return;
        }
        // One question at a time; what comes meanwhile goes into the next.
        if local.held.iter().all(|held| held.asked.is_none()) {
            self.urgent.insert(account);
        }
        local.hold(id, now);
        self.holding.insert(account);
    }

    fn done(&mut self, id: AttemptId, now: Millis) {
        if let Some(account) = self.flights.remove(&id) {
            if let Some(local) = self.locals.get_mut(&account) {
                local.flights = local.flights.saturating_sub(1);
                local.used = now;
                if local.is_close() {
                    self.urgent.insert(account);
                }
            }
            return;
        }
        for account in &self.holding {
            if let Some(local) = self.locals.get_mut(account) {
                local.held.retain(|held| held.id != id);
            }
        }
    }

    fn grant(&mut self, from: &DaemonId, grant: &Grant, now: Millis, actions: &mut Vec<Action>) {
        let peer = self.peers.entry(from.clone()).or_default();
        peer.seen = grant.number;
        for (row, account) in grant.accounts.iter().enumerate() {
            let account = AccountHash(*account);
            let Some(local) = self.locals.get_mut(&account) else {
                continue;
            };
            if local.owner.as_ref() != Some(from) {
                continue;
            }
            local.share.advance(local.limits, self.live, now);
            let concurrency = cell(&grant.shares, row);
            // The owner can only give the difference to others once it knows.
            let rate = from_wire(cell(&grant.rates, row));
            if concurrency < local.share.concurrency || rate < local.share.rate {
                self.urgent.insert(account);
            }
            let tokens = cell(&grant.tokens, row);
            local.watch = watch(&grant.watch, row);
            let until = now + local.longer(Millis(grant.expiry.into()));
            local.share.grant(concurrency, rate, tokens, until);
            local.dry = now + Millis(cell(&grant.exhausted, row).into());
            self.settle(account, grant.acknowledged, now, actions);
        }
    }

    /// Admits what fits of the held requests and refuses the rest of those that were answered.
    fn settle(
        &mut self,
        account: AccountHash,
        answers: u64,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let Some(local) = self.locals.get_mut(&account) else {
            return;
        };
        while let Some(held) = local.held.front() {
            let (id, asked) = (held.id, held.asked);
            if local.fits(self.live, now) {
                local.admit();
                self.flights.insert(id, account);
                actions.push(Action::Admit { id });
            } else if asked.is_some_and(|asked| asked <= answers) {
                let action = local.refuse(id, self.live, now, &mut self.rng);
                actions.push(action);
            } else {
                if asked.is_none() {
                    self.urgent.insert(account);
                }
                return;
            }
            local.held.pop_front();
        }
        self.holding.remove(&account);
    }

    fn members(&mut self, live: u32, owner_of: impl Fn(AccountHash) -> Option<DaemonId>) {
        self.live = live;
        for (account, local) in &mut self.locals {
            let owner = owner_of(*account);
            if owner == local.owner {
                continue;
            }
            local.owner = owner;
            self.urgent.insert(*account);
            for held in &mut local.held {
                held.asked = None;
            }
        }
    }

    fn lost(&mut self, owner: &DaemonId, now: Millis) {
        self.peers.remove(owner);
        for local in self.locals.values_mut() {
            if local.owner.as_ref() != Some(owner) {
                continue;
            }
            local.share.lose(now);
            local.report_anew();
            for held in &mut local.held {
                held.asked = None;
            }
        }
    }

    /// Decides about requests whose owner hasn't answered in time.
    fn time_out(&mut self, now: Millis, actions: &mut Vec<Action>) {
        for account in self.holding.clone() {
            let Some(local) = self.locals.get_mut(&account) else {
                continue;
            };
            let held = local.held.front();
            if held.is_some_and(|held| now < held.since + HOLD) {
                continue;
            }
            for held in &mut local.held {
                held.asked = Some(0);
            }
            local.share.lose(now);
            local.share.advance(local.limits, self.live, now);
            self.settle(account, u64::MAX, now, actions);
        }
    }

    /// Sends what is urgent, and on time all that has changed.
    fn send(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let mut due = std::mem::take(&mut self.urgent);
        let regular = now >= self.report;
        if regular {
            let changed = self.locals.iter().filter(|(_, local)| local.changed(now));
            due.extend(changed.map(|(account, _)| *account));
        }
        let mut batches: BTreeMap<DaemonId, Vec<AccountHash>> = BTreeMap::new();
        for account in due {
            let owner = self.locals.get(&account).map(|local| &local.owner);
            if let Some(Some(owner)) = owner {
                batches.entry(owner.clone()).or_default().push(account);
            }
        }
        for (to, accounts) in batches {
            let usage = self.usage(&to, &accounts, now);
            actions.push(Action::Send { to, usage });
        }
        if regular {
            self.report = now + REPORT;
            self.locals.retain(|_, local| !local.is_idle(now));
        }
    }

    fn usage(&mut self, to: &DaemonId, accounts: &[AccountHash], now: Millis) -> Usage {
        let peer = self.peers.entry(to.clone()).or_default();
        peer.number += 1;
        let (number, seen) = (peer.number, peer.seen);
        let mut rows = Vec::new();
        for account in accounts {
            if let Some(local) = self.locals.get_mut(account) {
                rows.push(local.row(number, now));
            }
        }
        Usage {
            number,
            acknowledged: seen,
            accounts: accounts.iter().map(|account| account.0).collect(),
            in_flight: column(rows.iter().map(|row| row.flights)),
            rates: column(rows.iter().map(|row| row.rate)),
            shares: column(rows.iter().map(|row| row.share)),
            waiting: column(rows.iter().map(|row| row.need)),
            samples: column(rows.iter().map(|row| row.samples)),
        }
    }
}
