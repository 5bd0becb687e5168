//! A seeded trace of returning chats.
//!
//! Chats begin at random, also before the start of the model, take a geometric number of turns and pause between
//! them: minutes for most, hours for some. The trace doesn't depend on what becomes of its requests, so that all
//! policies meet the same one.

use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::scenario::{Burst, BurstKind};
use super::size::Size;

/// Mean turns of a chat.
const TURNS: f64 = 10.0;
/// Share of pauses that take hours.
const LONG_SHARE: f64 = 0.1;
/// Median of the other pauses, in seconds, and their spread.
const PAUSE_MEDIAN: f64 = 60.0;
const PAUSE_SPREAD: f64 = 0.8;
/// Bounds of the long pauses, in seconds.
const LONG_PAUSE: std::ops::Range<f64> = 3600.0..10_800.0;
/// Time before the start in which chats may have begun, in seconds.
const HISTORY: f64 = 1800.0;
/// Median length of what a chat begins with, in tokens.
const OPENING: f64 = 500.0;
/// Median length of what a caller adds in a turn, in tokens.
const ADDED: f64 = 80.0;
/// Length of the prefix that an institution's chats share, in tokens.
const SHARED: u32 = 300;
/// Longest prompt and longest output, in tokens.
const MAX_PROMPT: f64 = 12_000.0;
const MAX_OUTPUT: f64 = 2000.0;
/// Spread of the output's length.
const OUTPUT_SPREAD: f64 = 0.7;
/// Chats in the pilot that finds the rate of one chat's requests.
const PILOT: usize = 4000;
/// Shared prompt of a burst on one chat, in tokens.
const HOT_PROMPT: u32 = 3000;

/// One request of the trace.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Request {
    /// Arrival in milliseconds from the start.
    pub at: u32,
    /// Region in which it enters.
    pub region: u8,
    /// Number of the institution.
    pub institution: u16,
    /// Number of the account.
    pub account: u16,
    /// Hash of the chat.
    pub chat: u64,
    /// Prompt, in tokens.
    pub prompt: u32,
    /// Start of the prompt that other chats share too, in tokens.
    pub shared: u32,
    /// Output, in tokens; not known to the routers.
    pub output: u32,
}

/// Who asks, and how often.
#[derive(Clone, Debug)]
pub struct Accounts {
    /// Share of all requests by account.
    pub share: Vec<f64>,
    /// Institution of each account.
    pub institution: Vec<usize>,
}

impl Accounts {
    /// Uneven accounts: the n-th takes 1/n of the first, dealt to institutions in turn.
    pub fn new(size: &Size) -> Self {
        let weights: Vec<f64> = (0..size.accounts).map(|n| 1.0 / (n + 1) as f64).collect();
        let sum: f64 = weights.iter().sum();
        Self {
            share: weights.iter().map(|weight| weight / sum).collect(),
            institution: (0..size.accounts).map(|n| n % size.institutions).collect(),
        }
    }

    /// Share of all requests by one institution.
    pub fn institution_share(&self, institution: usize) -> f64 {
        let shares = self.share.iter().zip(&self.institution);
        let own = shares.filter(|(_, of)| **of == institution);
        own.map(|(share, _)| share).sum()
    }

    fn pick(&self, rng: &mut impl Rng) -> usize {
        let mut left: f64 = rng.random();
        for (account, share) in self.share.iter().enumerate() {
            left -= share;
            if left <= 0.0 {
                return account;
            }
        }
        self.share.len() - 1
    }
}

/// All requests in order of arrival.
#[derive(Clone, Debug)]
pub struct Trace {
    /// The requests.
    pub requests: Vec<Request>,
}

impl Trace {
    /// A trace of `rate` requests a second, with bursts.
    pub fn new(size: &Size, rate: f64, bursts: &[Burst], seed: u64) -> Self {
        let mut maker = Maker {
            size,
            accounts: Accounts::new(size),
            end: (size.warm + size.measured) as f64,
            rng: Pcg64Mcg::seed_from_u64(seed),
            requests: Vec::new(),
        };
        maker.steady(rate);
        for burst in bursts {
            maker.burst(burst, rate);
        }
        maker
            .requests
            .sort_by_key(|request| (request.at, request.chat));
        Self {
            requests: maker.requests,
        }
    }
}

struct Maker<'a> {
    size: &'a Size,
    accounts: Accounts,
    end: f64,
    rng: Pcg64Mcg,
    requests: Vec<Request>,
}

impl Maker<'_> {
    fn steady(&mut self, rate: f64) {
        let span = HISTORY + self.end;
        for _ in 0..PILOT {
            self.chat(span);
        }
        let each = self.requests.len().max(1) as f64 / PILOT as f64;
        self.requests.clear();
        let chats = (rate * self.end / each) as usize;
        for _ in 0..chats {
            self.chat(span);
        }
    }

    fn chat(&mut self, span: f64) {
        let mut at = self.rng.random::<f64>() * span - HISTORY;
        let account = self.accounts.pick(&mut self.rng);
        let chat = self.rng.random();
        let region = self.rng.random_range(0..self.size.regions()) as u8;
        let mut history = f64::from(SHARED) + self.normal(OPENING, PAUSE_SPREAD);
        while at < self.end {
            let added = self.normal(ADDED, PAUSE_SPREAD);
            let output = self.output();
            let prompt = history + added;
            if at >= 0.0 {
                let request = Request {
                    at: (at * 1000.0) as u32,
                    region,
                    institution: self.accounts.institution[account] as u16,
                    account: account as u16,
                    chat,
                    prompt: prompt as u32,
                    shared: SHARED,
                    output: output as u32,
                };
                self.requests.push(request);
            }
            history = prompt + output;
            let over = self.rng.random::<f64>() < 1.0 / TURNS;
            if over || history > MAX_PROMPT {
                return;
            }
            at += self.pause();
        }
    }

    /// Requests beyond the steady ones, all in one span of time.
    fn burst(&mut self, burst: &Burst, rate: f64) {
        let share = match burst.kind {
            BurstKind::Institution(institution) => self.accounts.institution_share(institution),
            BurstKind::Chat => 1.0,
        };
        let count = rate * share * burst.factor * (burst.until - burst.from);
        let hot = self.rng.random();
        for _ in 0..count as usize {
            let at = self.rng.random_range(burst.from..burst.until);
            let request = match burst.kind {
                BurstKind::Institution(institution) => self.extra(institution, at),
                BurstKind::Chat => self.on_chat(hot, at),
            };
            self.requests.push(request);
        }
    }

    fn extra(&mut self, institution: usize, at: f64) -> Request {
        let of = |account: &usize| self.accounts.institution[*account] == institution;
        let accounts: Vec<_> = (0..self.accounts.share.len()).filter(of).collect();
        let account = accounts[self.rng.random_range(0..accounts.len())];
        let prompt = f64::from(SHARED) + self.normal(OPENING, PAUSE_SPREAD);
        Request {
            at: (at * 1000.0) as u32,
            region: self.rng.random_range(0..self.size.regions()) as u8,
            institution: institution as u16,
            account: account as u16,
            chat: self.rng.random(),
            prompt: prompt as u32,
            shared: SHARED,
            output: self.output() as u32,
        }
    }

    fn on_chat(&mut self, chat: u64, at: f64) -> Request {
        let account = self.rng.random_range(0..self.accounts.share.len());
        Request {
            at: (at * 1000.0) as u32,
            region: 0,
            institution: self.accounts.institution[account] as u16,
            account: account as u16,
            chat,
            prompt: HOT_PROMPT + self.normal(ADDED, PAUSE_SPREAD) as u32,
            shared: HOT_PROMPT,
            output: self.output() as u32,
        }
    }

    fn pause(&mut self) -> f64 {
        if self.rng.random::<f64>() < LONG_SHARE {
            return self.rng.random_range(LONG_PAUSE);
        }
        self.normal(PAUSE_MEDIAN, PAUSE_SPREAD)
    }

    fn output(&mut self) -> f64 {
        let median = self.size.output * (-OUTPUT_SPREAD * OUTPUT_SPREAD / 2.0).exp();
        self.normal(median, OUTPUT_SPREAD).clamp(1.0, MAX_OUTPUT)
    }

    /// A log-normal value.
    fn normal(&mut self, median: f64, spread: f64) -> f64 {
        let (a, b): (f64, f64) = (self.rng.random(), self.rng.random());
        let angle = std::f64::consts::TAU * b;
        let normal = (-2.0 * (1.0 - a).ln()).sqrt() * angle.cos();
        median * (spread * normal).exp()
    }
}
