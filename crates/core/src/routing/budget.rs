//! Repeats that a daemon may send to each pool.
//!
//! The fleet may repeat a share of the requests of a window, and some more.
//! Each daemon spends its own part of that without asking the others: the
//! share of the requests that it took itself, and an equal part of the rest.
//! For a window after its start it spends less of the rest, since it may have
//! spent its part before it was killed, and may not know yet how many share it.

use std::collections::{HashMap, VecDeque};

use derive_more::{Debug, Display};

use crate::clock::Millis;
use crate::ids::PoolId;
use crate::routing::ablation::{Mechanism, is_on};

/// Part of the share of requests that is used. What is left covers requests that endpoints
/// count in another window than we do.
const USED: f64 = 0.9;
/// Part of the rest that is used in the steady state, and by a daemon in the first window after
/// its start. Together they stay below the whole, so that the fleet keeps its budget when all
/// daemons are killed and start again within a window.
const SLACK: f64 = 0.6;
/// See [`SLACK`].
const SLACK_AT_START: f64 = 0.35;
/// Daemons that are taken to share the rest at the start, if fewer are known.
const DAEMONS_AT_START: u32 = 16;

/// What the fleet may repeat.
#[derive(Clone, Copy, PartialEq)]
#[derive(Debug)]
pub struct Settings {
    /// Repeats for each request.
    pub ratio: f64,
    /// Length of the window.
    pub window: Millis,
    /// Repeats in a window beyond the ratio, all daemons together.
    pub slack: f64,
}

/// What a daemon may spend in a pool, and has spent.
#[derive(Clone, Copy, PartialEq)]
#[derive(Debug, Display)]
#[display(
    "{repeats} of {allowed:.1} repeats, {requests} requests, {slack:.1} of the slack, {daemons} daemons"
)]
pub struct State {
    /// Repeats in the window.
    pub repeats: usize,
    /// Repeats that the window allows.
    pub allowed: f64,
    /// Requests in the window.
    pub requests: usize,
    /// This daemon's part of the slack.
    pub slack: f64,
    /// Daemons that are taken to share the slack.
    pub daemons: u32,
}

/// Counts of one pool.
#[derive(Clone, Default)]
#[derive(Debug)]
struct Counts {
    requests: VecDeque<Millis>,
    repeats: VecDeque<Millis>,
}

/// The repeats of one daemon.
#[derive(Clone)]
#[derive(Debug)]
pub struct Budget {
    settings: Settings,
    daemons: u32,
    started: Millis,
    pools: HashMap<PoolId, Counts>,
}

impl Budget {
    /// The budget of a daemon that starts now.
    pub fn new(settings: Settings, now: Millis) -> Self {
        Self {
            settings,
            daemons: 1,
            started: now,
            pools: HashMap::new(),
        }
    }

    /// Sets what the fleet may repeat.
    pub fn configure(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Sets how many daemons share the slack.
    pub fn share_with(&mut self, daemons: u32) {
        self.daemons = daemons.max(1);
    }

    /// Counts a request.
    pub fn request(&mut self, pool: &PoolId, now: Millis) {
        let counts = self.counts(pool, now);
        counts.requests.push_back(now);
    }

    /// Takes one repeat, unless the window's are spent.
    pub fn spend(&mut self, pool: &PoolId, now: Millis) -> bool {
        let state = self.state(pool, now);
        let fits = (state.repeats + 1) as f64 <= state.allowed || !is_on(Mechanism::Budget);
        if fits {
            self.counts(pool, now).repeats.push_back(now);
        }
        fits
    }

    /// What may be spent in a pool, and was.
    pub fn state(&mut self, pool: &PoolId, now: Millis) -> State {
        let Settings {
            ratio,
            slack,
            window,
        } = self.settings;
        let (part, daemons) = match now.since(self.started) >= window {
            true => (SLACK, self.daemons),
            false => (SLACK_AT_START, self.daemons.max(DAEMONS_AT_START)),
        };
        let slack = part * slack / f64::from(daemons);
        let counts = self.counts(pool, now);
        let requests = counts.requests.len();
        State {
            repeats: counts.repeats.len(),
            allowed: USED * ratio * requests as f64 + slack,
            requests,
            slack,
            daemons,
        }
    }

    fn counts(&mut self, pool: &PoolId, now: Millis) -> &mut Counts {
        let window = self.settings.window;
        let counts = self.pools.entry(pool.clone()).or_default();
        for times in [&mut counts.requests, &mut counts.repeats] {
            while times.front().is_some_and(|at| now.since(*at) >= window) {
                times.pop_front();
            }
        }
        counts
    }
}
