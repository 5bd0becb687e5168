//! Retries: which failures may be tried again, where and when, and how many.
//!
//! Retries spend a budget that first tries fill, so that they can't multiply
//! a surge. Waits back off exponentially with full jitter. A request that
//! isn't idempotent is tried again only if it certainly didn't run.

use std::collections::HashMap;

use derive_more::Debug;
use rand::RngExt;
use rand_pcg::Pcg32;

use crate::clock::Millis;
use crate::ids::{EndpointId, PoolId};
use crate::outcome::Outcome;
use crate::reason::Reason;

/// Longest pause that an endpoint is given when it asks for one; a longer one is most likely a
/// mistake.
pub const MAX_PAUSE: Millis = Millis::from_secs(600);
/// Retries that a first try pays for.
const SHARE: f64 = 0.1;
/// Retries that may be spent without first tries, at once and then one a second.
const FLOOR: f64 = 3.0;
/// Most retries that are saved up.
const SAVED_MAX: f64 = 100.0;
/// Tries of one request, the first included.
const TRIES: u32 = 3;
/// Longest wait before the first retry.
const BACKOFF: Millis = Millis(50);
/// Longest wait before any retry.
const BACKOFF_MAX: Millis = Millis::from_secs(2);

/// How retries are limited.
#[derive(Clone, Copy, PartialEq)]
#[derive(Debug)]
pub struct Settings {
    /// Retries that a first try pays for.
    pub ratio: f64,
    /// Retries that may be spent without first tries, at once and then one a second.
    pub reserve: f64,
    /// Tries of one request, the first included.
    pub attempts: u32,
    /// Longest wait before the first retry; it doubles with each.
    pub backoff: Millis,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            ratio: SHARE,
            reserve: FLOOR,
            attempts: TRIES,
            backoff: BACKOFF,
        }
    }
}

/// The retries that each pool may still spend.
#[derive(Clone)]
#[derive(Debug)]
pub struct Budget {
    settings: Settings,
    pools: HashMap<PoolId, Purse>,
}

/// What one pool has saved up.
#[derive(Clone, Copy)]
#[derive(Debug)]
struct Purse {
    /// Retries paid for by first tries.
    earned: f64,
    /// Retries of the floor.
    floor: f64,
    at: Millis,
}

impl Budget {
    /// A budget with nothing saved up but the floor.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            pools: HashMap::new(),
        }
    }

    /// Counts a first try.
    pub fn deposit(&mut self, pool: &PoolId, now: Millis) {
        let share = self.settings.ratio;
        let purse = self.purse(pool, now);
        purse.earned = (purse.earned + share).min(SAVED_MAX);
    }

    /// Takes one retry, unless too much of the work is retries.
    pub fn withdraw(&mut self, pool: &PoolId, now: Millis) -> bool {
        let purse = self.purse(pool, now);
        let from = match purse.earned >= 1.0 {
            true => &mut purse.earned,
            false => &mut purse.floor,
        };
        if *from < 1.0 {
            return false;
        }
        *from -= 1.0;
        true
    }

    fn purse(&mut self, pool: &PoolId, now: Millis) -> &mut Purse {
        let floor = self.settings.reserve;
        let purse = self.pools.entry(pool.clone()).or_insert(Purse {
            earned: 0.0,
            floor,
            at: now,
        });
        let passed = now.since(purse.at).as_secs_f64();
        purse.at = purse.at.max(now);
        purse.floor = (purse.floor + passed).min(floor);
        purse
    }
}

/// How a try failed.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub struct Failure {
    /// Why.
    pub reason: Reason,
    /// Whether the request ran, as far as is known.
    pub outcome: Outcome,
    /// The endpoint that was tried, if it came to one.
    pub endpoint: Option<EndpointId>,
    /// Whether any of the answer has gone to the caller.
    pub answered: bool,
    /// How long the other side asked to be left alone.
    pub after: Millis,
}

impl Failure {
    /// A failure of which nothing more is known than its reason.
    pub const fn new(reason: Reason) -> Self {
        Self {
            reason,
            outcome: reason.outcome(),
            endpoint: None,
            answered: false,
            after: Millis::ZERO,
        }
    }

    /// Sets whether the request ran.
    pub const fn with_outcome(mut self, outcome: Outcome) -> Self {
        self.outcome = outcome;
        self
    }

    /// Sets the endpoint that was tried.
    pub fn with_endpoint(mut self, endpoint: EndpointId) -> Self {
        self.endpoint = Some(endpoint);
        self
    }

    /// Sets that some of the answer has gone to the caller.
    pub const fn with_answer(mut self) -> Self {
        self.answered = true;
        self
    }

    /// Sets how long the other side asked to be left alone.
    pub const fn with_after(mut self, after: Millis) -> Self {
        self.after = after;
        self
    }
}

/// What to do after a failure.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub enum Verdict {
    /// Try again after a wait, at an endpoint that wasn't tried if there is one.
    Again {
        /// The wait.
        wait: Millis,
    },
    /// Give up and tell the caller this reason.
    GiveUp {
        /// Why.
        reason: Reason,
    },
}

/// The tries of one request.
#[derive(Clone)]
#[derive(Debug)]
pub struct Plan {
    settings: Settings,
    pool: PoolId,
    idempotent: bool,
    /// No try begins after this.
    deadline: Millis,
    tries: u32,
    tried: Vec<EndpointId>,
}

impl Plan {
    /// A plan for a request whose first try begins now.
    pub fn new(settings: Settings, pool: PoolId, idempotent: bool, deadline: Millis) -> Self {
        Self {
            settings,
            pool,
            idempotent,
            deadline,
            tries: 1,
            tried: Vec::new(),
        }
    }

    /// Tries so far.
    pub const fn tries(&self) -> u32 {
        self.tries
    }

    /// Endpoints that failed, which the next try should avoid.
    pub fn tried(&self) -> &[EndpointId] {
        &self.tried
    }

    /// Picks an endpoint for the next try: the first that wasn't tried, else the first.
    pub fn pick<'a>(
        &self,
        mut candidates: impl Iterator<Item = &'a EndpointId> + Clone,
    ) -> Option<&'a EndpointId> {
        let fresh = candidates.clone().find(|id| !self.tried.contains(id));
        fresh.or_else(|| candidates.next())
    }

    /// Decides what follows from a failure.
    pub fn fail(
        &mut self,
        failure: Failure,
        budget: &mut Budget,
        now: Millis,
        rng: &mut Pcg32,
    ) -> Verdict {
        let reason = failure.reason;
        let allowed = self.allows(&failure);
        if let Some(endpoint) = failure.endpoint {
            self.tried.push(endpoint);
        }
        if !allowed || self.tries >= self.settings.attempts {
            return Verdict::GiveUp { reason };
        }
        let wait = self.wait(failure.after, rng);
        if now + wait > self.deadline {
            return Verdict::GiveUp { reason };
        }
        if !budget.withdraw(&self.pool, now) {
            return self.spent(reason, failure.outcome);
        }
        self.tries += 1;
        Verdict::Again { wait }
    }

    /// Whether a failure may be followed by another try at all.
    fn allows(&self, failure: &Failure) -> bool {
        if failure.answered || !failure.reason.retryable() || is_final(failure.reason) {
            return false;
        }
        failure.outcome == Outcome::NotRun || self.idempotent
    }

    fn wait(&self, after: Millis, rng: &mut Pcg32) -> Millis {
        let doublings = (self.tries - 1).min(16);
        let most = (self.settings.backoff.0 << doublings).min(BACKOFF_MAX.0);
        after + Millis(rng.random_range(0..=most))
    }

    /// The reason for want of budget, which says that the request was not run only if that is so.
    fn spent(&self, reason: Reason, outcome: Outcome) -> Verdict {
        let true_reason = match outcome {
            Outcome::NotRun => Reason::RetryBudget,
            Outcome::Ran | Outcome::Unknown => reason,
        };
        Verdict::GiveUp {
            reason: true_reason,
        }
    }
}

/// Whether a reason holds at every endpoint, so that only the caller may come back.
const fn is_final(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::AccountRate
            | Reason::AccountConcurrency
            | Reason::ClaimUnavailable
            | Reason::KeyRunning
            | Reason::PoolFull
            | Reason::RetryBudget
            | Reason::SlowRequest
            | Reason::StreamCut
    )
}
