//! One account at its owner: divides the limits between the entries that use it.
//!
//! In a large fleet, while an account uses little of its limits, each entry is
//! granted somewhat more than it uses, even if the sum exceeds the limit;
//! otherwise each request of a small account would cost a message. At higher
//! use the sum is kept within the limit, and low rates are granted as single
//! tokens instead.

use std::collections::{BTreeMap, BTreeSet};

use derive_more::Debug;

use crate::clock::Millis;
use crate::ids::DaemonId;
use crate::wire::Watch;

use super::entry_usage::{EntryUsage, GrantRow, Report, Sums};
use super::fair_split::{FairSplit, max_min_split};
use super::utilisation::Utilisation;
use super::{AccountHash, Limits, STRICT_FLEET_SIZE, rate_to_wire};

/// Capacity of the token bucket, in seconds of the rate limit.
const BURST_SECS: f64 = 1.0;
/// Least capacity of the token bucket.
const BURST_MIN: f64 = 2.0;
/// Seconds of its offered rate for which an entry that asks gets tokens in advance.
const ADVANCE_SECS: f64 = 2.0;
/// Divisor of the available tokens: the quotient is the most that is given in advance at once.
const ADVANCE_DIVISOR: f64 = 16.0;
/// Rate granted beyond the offered rate while utilisation is low, in hundredths of a request a
/// second.
const LOW_USE_RATE: f64 = 100.0;
/// Concurrency granted beyond the demand while utilisation is low.
const LOW_USE_SHARE: f64 = 3.0;
/// Lowest rate that is granted unless utilisation is low, in hundredths of a request a second;
/// below it, tokens are.
const MIN_RATE: f64 = 50.0;
/// Time for which an entry stops asking while others hold shares that they don't use, in
/// milliseconds.
const BACKOFF_UNUSED: u32 = 100;
/// Time for which an entry stops asking when demand exceeds a limit, in milliseconds.
const BACKOFF_EXCEEDED: u32 = 1000;
/// Shortest time between two unrequested reductions of an entry's share.
const REDUCTION_INTERVAL: Millis = Millis(500);

/// The limits of an account, and their division between entries.
#[derive(Clone)]
#[derive(Debug)]
pub(super) struct OwnedAccount {
    limits: Limits,
    /// Number of live daemons.
    live: u32,
    entries: BTreeMap<DaemonId, EntryUsage>,
    sums: Sums,
    /// Tokens: requests that may be admitted beyond the granted rates.
    tokens: f64,
    /// When tokens were last added.
    refilled: Millis,
    /// Utilisation of the limits.
    utilisation: Utilisation,
    /// Entries whose held requests wait for shares that others give back.
    waiting: BTreeSet<DaemonId>,
    /// Until when entries that hold a former owner's grants may not have reported yet.
    learning_until: Millis,
}

/// The current division of both limits.
#[derive(Clone, Copy)]
#[derive(Debug)]
struct Splits {
    concurrency: FairSplit,
    rate: FairSplit,
}

/// The share and rate that an entry should have; the rate is in hundredths of a request a second.
#[derive(Clone, Copy)]
#[derive(Debug)]
struct Target {
    share: u32,
    rate: u32,
}

impl OwnedAccount {
    pub(super) fn new(limits: Limits, learning_until: Millis, now: Millis) -> Self {
        Self {
            limits,
            live: 1,
            entries: BTreeMap::new(),
            sums: Sums::default(),
            tokens: (limits.rate * BURST_SECS).max(BURST_MIN),
            refilled: now,
            utilisation: Utilisation::new(now),
            waiting: BTreeSet::new(),
            learning_until,
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Concurrency that entries may hold now.
    pub(super) fn outstanding(&self) -> u64 {
        self.sums.held_concurrency
    }

    pub(super) fn remove(&mut self, entry: &DaemonId) {
        if let Some(usage) = self.entries.remove(entry) {
            self.sums.sub(&usage);
        }
    }

    /// Removes entries that no longer report.
    pub(super) fn expire(&mut self, now: Millis) {
        let sums = &mut self.sums;
        self.entries.retain(|_, usage| {
            let keep = !usage.is_expired(now);
            if !keep {
                sums.sub(usage);
            }
            keep
        });
    }

    /// Updates an entry's usage and returns the grants that follow from it: the
    /// entry's own, and reductions of others.
    pub(super) fn handle_report(
        &mut self,
        account: AccountHash,
        from: &DaemonId,
        report: Report,
        now: Millis,
    ) -> Vec<(DaemonId, GrantRow)> {
        self.refill(now);
        self.utilisation
            .count(report.held_requests + report.samples, now);
        self.update_entry(from, |usage| usage.apply_report(report, now));
        let Some(usage) = self.entries.get(from).cloned() else {
            return Vec::new();
        };
        let mut rows = Vec::new();
        let low_ended = self
            .utilisation
            .update(&self.sums, self.limits, self.live, now);
        let splits = self.splits();
        if usage.is_unused() {
            self.remove(from);
        } else {
            self.serve_entry(account, from, &usage, splits, low_ended, now, &mut rows);
        }
        self.serve_waiting(account, splits, now, &mut rows);
        rows
    }

    /// Answers a report, and reduces other shares if it asks for more than is free.
    #[expect(clippy::too_many_arguments, reason = "All belong to one report.")]
    fn serve_entry(
        &mut self,
        account: AccountHash,
        from: &DaemonId,
        usage: &EntryUsage,
        splits: Splits,
        low_ended: bool,
        now: Millis,
        rows: &mut Vec<(DaemonId, GrantRow)>,
    ) {
        let row = self.grant_row(account, usage, splits, now);
        let short_of_share = usage.demand() > row.share;
        let unmet = short_of_share || row.tokens < usage.held_requests;
        if low_ended || unmet && now >= self.learning_until {
            self.reduce(account, from, splits, now, rows);
        }
        if short_of_share && usage.held_requests > 0 && !rows.is_empty() {
            // Others' reductions may free enough; the entry holds its requests until then.
            self.tokens += f64::from(row.tokens);
            self.waiting.insert(from.clone());
        } else if usage.needs_grant(&row, now) {
            self.waiting.remove(from);
            rows.push((from.clone(), row));
        }
    }

    /// Answers entries that wait for shares that others give back.
    fn serve_waiting(
        &mut self,
        account: AccountHash,
        splits: Splits,
        now: Millis,
        rows: &mut Vec<(DaemonId, GrantRow)>,
    ) {
        if self.waiting.is_empty() {
            return;
        }
        let all_confirmed = !self.entries.values().any(EntryUsage::is_reducing);
        for entry in self.waiting.clone() {
            let Some(usage) = self.entries.get(&entry).cloned() else {
                self.waiting.remove(&entry);
                continue;
            };
            let row = self.grant_row(account, &usage, splits, now);
            if row.share < usage.demand() && !all_confirmed {
                self.tokens += f64::from(row.tokens);
                continue;
            }
            self.waiting.remove(&entry);
            rows.push((entry, row));
        }
    }

    /// Records a grant as sent.
    pub(super) fn record_grant(&mut self, to: &DaemonId, number: u64, row: &GrantRow, now: Millis) {
        if self.entries.contains_key(to) {
            self.update_entry(to, |usage| {
                usage.record_grant(number, row, now);
                if usage.reducing_grant == u64::MAX {
                    usage.reducing_grant = number;
                }
            });
        }
    }

    /// Sets the configured limits and the number of live daemons.
    pub(super) fn set_limits(&mut self, limits: Limits, live: u32, now: Millis) {
        self.refill(now);
        self.limits = limits;
        self.live = live;
    }

    fn update_entry(&mut self, entry: &DaemonId, change: impl FnOnce(&mut EntryUsage)) {
        let usage = self.entries.entry(entry.clone()).or_default();
        self.sums.sub(usage);
        change(usage);
        self.sums.add(usage);
    }

    fn refill(&mut self, now: Millis) {
        let granted = self.sums.held_rate as f64 / 100.0;
        let free_rate = (self.limits.rate - granted).max(0.0);
        let added = free_rate * now.since(self.refilled).as_secs_f64();
        self.refilled = self.refilled.max(now);
        let max_tokens = (self.limits.rate * BURST_SECS).max(BURST_MIN);
        self.tokens = (self.tokens + added).min(max_tokens);
    }

    fn splits(&self) -> Splits {
        let demands = self.entries.values().map(EntryUsage::demand);
        let rates = self.entries.values().map(|usage| usage.offered_rate);
        let limit = rate_to_wire(self.limits.rate);
        Splits {
            concurrency: max_min_split(self.limits.concurrency, self.sums.demand, demands),
            rate: max_min_split(limit, self.sums.offered_rate, rates),
        }
    }

    /// How closely the entries' use is watched.
    fn watch(&self) -> Watch {
        let limit = u64::from(self.limits.concurrency);
        if self.utilisation.is_low() {
            return Watch::Sampled;
        }
        let is_close = match self.live > STRICT_FLEET_SIZE {
            true => self.sums.demand > limit,
            false => self.sums.held_concurrency * 10 > limit * 7,
        };
        if is_close {
            Watch::Immediate
        } else {
            Watch::Normal
        }
    }

    fn target(&self, usage: &EntryUsage, splits: Splits) -> Target {
        let demand = f64::from(usage.demand());
        let fair = splits.concurrency.share(demand);
        // Shares are integers, so a fractional cap is rounded up for entries that demand more.
        let mut share = fair.max(demand.min(splits.concurrency.cap.ceil()));
        if self.utilisation.is_low() {
            share = share.max(demand + LOW_USE_SHARE);
        }
        let mut rate = splits.rate.share(usage.offered_rate.into());
        if self.utilisation.is_low() {
            rate = rate.max(f64::from(usage.offered_rate) + LOW_USE_RATE);
        } else if rate < MIN_RATE {
            rate = 0.0;
        }
        Target {
            share: (share as u32).min(self.limits.concurrency),
            rate: rate as u32,
        }
    }

    fn grant_row(
        &mut self,
        account: AccountHash,
        usage: &EntryUsage,
        splits: Splits,
        now: Millis,
    ) -> GrantRow {
        let target = self.target(usage, splits);
        let others = self.sums.held_concurrency - u64::from(usage.held_concurrency());
        let free = u64::from(self.limits.concurrency).saturating_sub(others);
        let mut share = target.share.min(u32::try_from(free).unwrap_or(u32::MAX));
        share = share.min(self.learning_limit(usage, share, now));
        if self.utilisation.is_low() && now >= self.learning_until {
            share = target.share;
        }
        let others = self.sums.held_rate - u64::from(usage.held_rate());
        let free = u64::from(rate_to_wire(self.limits.rate)).saturating_sub(others);
        let mut rate = target.rate.min(u32::try_from(free).unwrap_or(u32::MAX));
        if self.utilisation.is_low() {
            rate = target.rate;
        }
        let tokens = self.tokens_for(usage);
        self.tokens = (self.tokens - f64::from(tokens)).max(0.0);
        let unmet = usage.demand() > share || tokens < usage.held_requests;
        let exceeded = splits.concurrency.is_exceeded() || splits.rate.is_exceeded();
        let backoff = match usage.held_requests > 0 && unmet {
            true if exceeded => BACKOFF_EXCEEDED,
            true => BACKOFF_UNUSED,
            false => 0,
        };
        GrantRow {
            account,
            share,
            rate,
            tokens,
            backoff,
            watch: self.watch(),
        }
    }

    /// Tokens for the held requests, and some in advance.
    fn tokens_for(&self, usage: &EntryUsage) -> u32 {
        if usage.held_requests == 0 || self.utilisation.is_low() {
            return usage.held_requests;
        }
        let advance = f64::from(usage.offered_rate) / 100.0 * ADVANCE_SECS;
        let advance = advance.min(self.tokens / ADVANCE_DIVISOR);
        (f64::from(usage.held_requests) + advance).min(self.tokens) as u32
    }

    /// Concurrency that a new owner may grant while entries that haven't reported yet may hold
    /// some.
    fn learning_limit(&self, usage: &EntryUsage, free: u32, now: Millis) -> u32 {
        if now >= self.learning_until {
            return free;
        }
        let known = self.entries.len() as f64 / f64::from(self.live.max(1));
        let allowed = (f64::from(free) * known.min(1.0)).ceil() as u32;
        allowed.max(usage.held_concurrency())
    }

    /// Reduces the shares of other entries that hold more than their target.
    fn reduce(
        &mut self,
        account: AccountHash,
        from: &DaemonId,
        splits: Splits,
        now: Millis,
        rows: &mut Vec<(DaemonId, GrantRow)>,
    ) {
        let entries = self.entries.iter();
        let others = entries.filter(|(entry, usage)| {
            *entry != from
                && now.since(usage.last_reduction) >= REDUCTION_INTERVAL
                && usage.last_grant.number > 0
        });
        let targets: Vec<(DaemonId, Target)> = others
            .map(|(entry, usage)| (entry.clone(), self.target(usage, splits)))
            .collect();
        let watch = self.watch();
        for (entry, target) in targets {
            let Some(usage) = self.entries.get_mut(&entry) else {
                continue;
            };
            let last = usage.last_grant;
            if target.share >= last.share && target.rate >= last.rate {
                continue;
            }
            usage.last_reduction = now;
            // Replaced by the grant's number when it is sent.
            usage.reducing_grant = u64::MAX;
            let row = GrantRow {
                account,
                share: target.share.min(last.share),
                rate: target.rate.min(last.rate),
                tokens: 0,
                backoff: 0,
                watch,
            };
            rows.push((entry, row));
        }
    }
}
