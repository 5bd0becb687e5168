//! One account at its owner: what each entry uses, wants and may hold.
//!
//! In a large fleet, while an account uses little of its limits, each entry gets
//! some more than it uses, even if that sums up to more than the limit; else
//! each request of a small account would cost a message. Beyond that the sum
//! is kept to the limit, and a small rate is given as single tokens instead.

use std::collections::{BTreeMap, BTreeSet};

use derive_more::Debug;

use crate::clock::Millis;
use crate::ids::DaemonId;
use crate::wire::Watch;

use super::ease::Ease;
use super::line::{Line, Report, Row, Sums};
use super::split::{Level, fair_level};
use super::{AccountHash, Limits, STRICT_LIVE, to_wire};

/// Longest time for which unused rate adds up.
const BURST_SECS: f64 = 1.0;
/// Fewest tokens that add up.
const BURST_MIN: f64 = 2.0;
/// Time for which an entry that asks is given tokens in advance.
const AHEAD_SECS: f64 = 2.0;
/// Most of the tokens that is given in advance at once, as a divisor.
const AHEAD_DIVISOR: f64 = 16.0;
/// Rate granted while little is used, in hundredths, beside what is offered.
const EASY_RATE: f64 = 100.0;
/// Concurrency granted while little is used, beside what is used.
const EASY_SHARE: f64 = 3.0;
/// Lowest rate, in hundredths, that is granted when much is used; below, tokens are.
const RATE_LEAST: f64 = 50.0;
/// For how long an entry stops asking when others hold what they don't use.
const DRY_HELD: u32 = 100;
/// For how long an entry stops asking when more is wanted than there is.
const DRY_USED: u32 = 1000;
/// Shortest time between two reductions of the same entry's share.
const REDUCE: Millis = Millis(500);

/// One account.
#[derive(Clone)]
#[derive(Debug)]
pub(super) struct Book {
    limits: Limits,
    /// Live daemons.
    live: u32,
    lines: BTreeMap<DaemonId, Line>,
    sums: Sums,
    /// Requests that may go at once, beside the granted rates.
    tokens: f64,
    /// When tokens were last added.
    at: Millis,
    /// How much is used, and whether that is little.
    ease: Ease,
    /// Entries whose requests wait for what others give back.
    waiting: BTreeSet<DaemonId>,
    /// Until when entries that a former owner gave to may not have reported yet.
    learning: Millis,
}

/// How the limits are divided now.
#[derive(Clone, Copy)]
#[derive(Debug)]
struct Levels {
    flights: Level,
    rate: Level,
}

/// What one line should have.
#[derive(Clone, Copy)]
#[derive(Debug)]
struct Target {
    share: u32,
    rate: u32,
}

impl Book {
    pub(super) fn new(limits: Limits, learning: Millis, now: Millis) -> Self {
        Self {
            limits,
            live: 1,
            lines: BTreeMap::new(),
            sums: Sums::default(),
            tokens: (limits.rate * BURST_SECS).max(BURST_MIN),
            at: now,
            ease: Ease::new(now),
            waiting: BTreeSet::new(),
            learning,
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// Concurrency that entries may hold now.
    pub(super) fn outstanding(&self) -> u64 {
        self.sums.held
    }

    pub(super) fn remove(&mut self, entry: &DaemonId) {
        if let Some(line) = self.lines.remove(entry) {
            self.sums.sub(&line);
        }
    }

    /// Forgets entries that no longer report.
    pub(super) fn expire(&mut self, now: Millis) {
        let sums = &mut self.sums;
        self.lines.retain(|_, line| {
            let keep = !line.is_expired(now);
            if !keep {
                sums.sub(line);
            }
            keep
        });
    }

    /// Takes a report in and returns the grants that follow: the entry's own, and
    /// reductions of others.
    pub(super) fn answer(
        &mut self,
        account: AccountHash,
        from: &DaemonId,
        report: Report,
        now: Millis,
    ) -> Vec<(DaemonId, Row)> {
        self.refill(now);
        self.ease.count(report.need + report.samples, now);
        self.change(from, |line| line.report(report, now));
        let Some(line) = self.lines.get(from).cloned() else {
            return Vec::new();
        };
        let mut rows = Vec::new();
        let over = self.ease.judge(&self.sums, self.limits, self.live, now);
        let levels = self.levels();
        if line.is_unused() {
            self.remove(from);
        } else {
            self.serve(account, from, &line, levels, over, now, &mut rows);
        }
        self.serve_waiting(account, levels, now, &mut rows);
        rows
    }

    /// Answers a report and takes back from others what it lacks.
    #[expect(clippy::too_many_arguments, reason = "All are of one report.")]
    fn serve(
        &mut self,
        account: AccountHash,
        from: &DaemonId,
        line: &Line,
        levels: Levels,
        over: bool,
        now: Millis,
        rows: &mut Vec<(DaemonId, Row)>,
    ) {
        let row = self.own_row(account, line, levels, now);
        let short = line.want() > row.share;
        let lacking = short || row.tokens < line.need;
        if over || lacking && now >= self.learning {
            self.reduce(account, from, levels, now, rows);
        }
        if short && line.need > 0 && !rows.is_empty() {
            // What others give back may serve it; its entry holds the request meanwhile.
            self.tokens += f64::from(row.tokens);
            self.waiting.insert(from.clone());
        } else if line.needs(&row, now) {
            self.waiting.remove(from);
            rows.push((from.clone(), row));
        }
    }

    /// Answers entries that wait for what others give back.
    fn serve_waiting(
        &mut self,
        account: AccountHash,
        levels: Levels,
        now: Millis,
        rows: &mut Vec<(DaemonId, Row)>,
    ) {
        if self.waiting.is_empty() {
            return;
        }
        let settled = !self.lines.values().any(Line::is_reducing);
        for entry in self.waiting.clone() {
            let Some(line) = self.lines.get(&entry).cloned() else {
                self.waiting.remove(&entry);
                continue;
            };
            let row = self.own_row(account, &line, levels, now);
            if row.share < line.want() && !settled {
                self.tokens += f64::from(row.tokens);
                continue;
            }
            self.waiting.remove(&entry);
            rows.push((entry, row));
        }
    }

    /// Notes a grant as it was sent.
    pub(super) fn note_sent(&mut self, to: &DaemonId, number: u64, row: &Row, now: Millis) {
        if self.lines.contains_key(to) {
            self.change(to, |line| {
                line.sent(number, row, now);
                if line.reducing == u64::MAX {
                    line.reducing = number;
                }
            });
        }
    }

    /// Sets the limits as configured, and how many daemons are live.
    pub(super) fn set_limits(&mut self, limits: Limits, live: u32, now: Millis) {
        self.refill(now);
        self.limits = limits;
        self.live = live;
    }

    fn change(&mut self, entry: &DaemonId, change: impl FnOnce(&mut Line)) {
        let line = self.lines.entry(entry.clone()).or_default();
        self.sums.sub(line);
        change(line);
        self.sums.add(line);
    }

    fn refill(&mut self, now: Millis) {
        let granted = self.sums.granted as f64 / 100.0;
        let spare = (self.limits.rate - granted).max(0.0);
        let added = spare * now.since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        let most = (self.limits.rate * BURST_SECS).max(BURST_MIN);
        self.tokens = (self.tokens + added).min(most);
    }

    fn levels(&self) -> Levels {
        let flights = self.lines.values().map(Line::want);
        let rates = self.lines.values().map(|line| line.rate);
        let most = to_wire(self.limits.rate);
        Levels {
            flights: fair_level(self.limits.concurrency, self.sums.want, flights),
            rate: fair_level(most, self.sums.rate, rates),
        }
    }

    /// How closely entries are watched.
    fn watch(&self) -> Watch {
        let limit = u64::from(self.limits.concurrency);
        if self.ease.is_easy() {
            return Watch::Sampled;
        }
        let close = match self.live > STRICT_LIVE {
            true => self.sums.want > limit,
            false => self.sums.held * 10 > limit * 7,
        };
        if close {
            Watch::Immediate
        } else {
            Watch::Normal
        }
    }

    fn target(&self, line: &Line, levels: Levels) -> Target {
        let want = f64::from(line.want());
        let part = levels.flights.part(want);
        // Shares are whole, so that a level between two numbers serves some entries more.
        let mut share = part.max(want.min(levels.flights.most.ceil()));
        if self.ease.is_easy() {
            share = share.max(want + EASY_SHARE);
        }
        let mut rate = levels.rate.part(line.rate.into());
        if self.ease.is_easy() {
            rate = rate.max(f64::from(line.rate) + EASY_RATE);
        } else if rate < RATE_LEAST {
            rate = 0.0;
        }
        Target {
            share: (share as u32).min(self.limits.concurrency),
            rate: rate as u32,
        }
    }

    fn own_row(&mut self, account: AccountHash, line: &Line, levels: Levels, now: Millis) -> Row {
        let target = self.target(line, levels);
        let others = self.sums.held - u64::from(line.held());
        let free = u64::from(self.limits.concurrency).saturating_sub(others);
        let mut share = target.share.min(u32::try_from(free).unwrap_or(u32::MAX));
        share = share.min(self.learned(line, share, now));
        if self.ease.is_easy() && now >= self.learning {
            share = target.share;
        }
        let others = self.sums.granted - u64::from(line.granted());
        let free = u64::from(to_wire(self.limits.rate)).saturating_sub(others);
        let mut rate = target.rate.min(u32::try_from(free).unwrap_or(u32::MAX));
        if self.ease.is_easy() {
            rate = target.rate;
        }
        let tokens = self.tokens_for(line);
        self.tokens = (self.tokens - f64::from(tokens)).max(0.0);
        let short = line.want() > share || tokens < line.need;
        let exceeded = levels.flights.is_exceeded() || levels.rate.is_exceeded();
        let dry = match line.need > 0 && short {
            true if exceeded => DRY_USED,
            true => DRY_HELD,
            false => 0,
        };
        Row {
            account,
            share,
            rate,
            tokens,
            dry,
            watch: self.watch(),
        }
    }

    /// Tokens for the requests that are held, and some in advance.
    fn tokens_for(&self, line: &Line) -> u32 {
        if line.need == 0 || self.ease.is_easy() {
            return line.need;
        }
        let ahead = f64::from(line.rate) / 100.0 * AHEAD_SECS;
        let ahead = ahead.min(self.tokens / AHEAD_DIVISOR);
        (f64::from(line.need) + ahead).min(self.tokens) as u32
    }

    /// Concurrency that a new owner may give, while entries it hasn't heard of may hold some.
    fn learned(&self, line: &Line, free: u32, now: Millis) -> u32 {
        if now >= self.learning {
            return free;
        }
        let known = self.lines.len() as f64 / f64::from(self.live.max(1));
        let fresh = (f64::from(free) * known.min(1.0)).ceil() as u32;
        fresh.max(line.held())
    }

    /// Takes back what others hold beyond their part.
    fn reduce(
        &mut self,
        account: AccountHash,
        from: &DaemonId,
        levels: Levels,
        now: Millis,
        rows: &mut Vec<(DaemonId, Row)>,
    ) {
        let lines = self.lines.iter();
        let others = lines.filter(|(entry, line)| {
            *entry != from && now.since(line.reduced) >= REDUCE && line.last.number > 0
        });
        let targets: Vec<(DaemonId, Target)> = others
            .map(|(entry, line)| (entry.clone(), self.target(line, levels)))
            .collect();
        let watch = self.watch();
        for (entry, target) in targets {
            let Some(line) = self.lines.get_mut(&entry) else {
                continue;
            };
            let last = line.last;
            if target.share >= last.share && target.rate >= last.rate {
                continue;
            }
            line.reduced = now;
            // The grant's number follows when it is sent.
            line.reducing = u64::MAX;
            let row = Row {
                account,
                share: target.share.min(last.share),
                rate: target.rate.min(last.rate),
                tokens: 0,
                dry: 0,
                watch,
            };
            rows.push((entry, row));
        }
    }
}
