//! Retry policy: which failures are retried, at which endpoint, when, and how often.
//!
//! Each pool has a retry budget that is filled by first attempts and spent by
//! retries, so that retries can't multiply a surge of load. Delays back off
//! exponentially with full jitter. A request that isn't idempotent is retried
//! only if it certainly wasn't executed.

use std::collections::HashMap;

use derive_more::Debug;
use rand::RngExt;
use rand_pcg::Pcg32;

use crate::clock::Millis;
use crate::ids::{EndpointId, PoolId};
use crate::outcome::Outcome;
use crate::reason::Reason;

/// Longest pause that is granted to an endpoint that asks for one; a longer one is most likely a
/// mistake.
pub const MAX_PAUSE: Millis = Millis::from_secs(600);
/// Retries added to the budget by each first attempt.
const RATIO: f64 = 0.1;
/// Retries allowed without first attempts: this many at once, refilled at one per second.
const RESERVE: f64 = 3.0;
/// Maximum balance of retries earned by first attempts.
const MAX_BALANCE: f64 = 100.0;
/// Maximum attempts per request, the first included.
const MAX_ATTEMPTS: u32 = 3;
/// Maximum delay before the first retry.
const BASE_BACKOFF: Millis = Millis(50);
/// Maximum delay before any retry.
const MAX_BACKOFF: Millis = Millis::from_secs(2);

/// Limits on retries.
#[derive(Clone, Copy, PartialEq)]
#[derive(Debug)]
pub struct Settings {
    /// Retries added to the budget by each first attempt.
    pub ratio: f64,
    /// Retries allowed without first attempts: this many at once, refilled at one per second.
    pub reserve: f64,
    /// Maximum attempts per request, the first included.
    pub attempts: u32,
    /// Maximum delay before the first retry; it doubles with each further one.
    pub backoff: Millis,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            ratio: RATIO,
            reserve: RESERVE,
            attempts: MAX_ATTEMPTS,
            backoff: BASE_BACKOFF,
        }
    }
}

/// The retry budget of each pool.
#[derive(Clone)]
#[derive(Debug)]
pub struct Budget {
    settings: Settings,
    pools: HashMap<PoolId, Balance>,
}

/// The retries available to one pool.
#[derive(Clone, Copy)]
#[derive(Debug)]
struct Balance {
    /// Retries earned by first attempts.
    earned: f64,
    /// Retries left in the reserve.
    reserve: f64,
    /// When the reserve was last refilled.
    updated: Millis,
}

impl Budget {
    /// Creates a budget in which each pool has only its reserve.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            pools: HashMap::new(),
        }
    }

    /// Adds the share of a retry that a first attempt earns.
    pub fn deposit(&mut self, pool: &PoolId, now: Millis) {
        let ratio = self.settings.ratio;
        let balance = self.balance(pool, now);
        balance.earned = (balance.earned + ratio).min(MAX_BALANCE);
    }

    /// Takes one retry from the budget; returns false if none is left.
    pub fn withdraw(&mut self, pool: &PoolId, now: Millis) -> bool {
        let balance = self.balance(pool, now);
        let from = match balance.earned >= 1.0 {
            true => &mut balance.earned,
            false => &mut balance.reserve,
        };
        if *from < 1.0 {
            return false;
        }
        *from -= 1.0;
        true
    }

    /// The balance of a pool, with its reserve refilled up to `now`.
    fn balance(&mut self, pool: &PoolId, now: Millis) -> &mut Balance {
        let reserve = self.settings.reserve;
        let balance = self.pools.entry(pool.clone()).or_insert(Balance {
            earned: 0.0,
            reserve,
            updated: now,
        });
        let passed = now.since(balance.updated).as_secs_f64();
        balance.updated = balance.updated.max(now);
        balance.reserve = (balance.reserve + passed).min(reserve);
        balance
    }
}

/// A failed attempt.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub struct Failure {
    /// Why it failed.
    pub reason: Reason,
    /// Whether the request was executed, as far as is known.
    pub outcome: Outcome,
    /// The endpoint that was tried, if one was chosen.
    pub endpoint: Option<EndpointId>,
    /// Whether a part of the response was already sent to the caller.
    pub answered: bool,
    /// Delay before the next attempt that the endpoint asked for.
    pub retry_after: Millis,
}

impl Failure {
    /// Creates a failure with the default outcome of its reason.
    pub const fn new(reason: Reason) -> Self {
        Self {
            reason,
            outcome: reason.outcome(),
            endpoint: None,
            answered: false,
            retry_after: Millis::ZERO,
        }
    }

    /// Sets whether the request was executed.
    pub const fn with_outcome(mut self, outcome: Outcome) -> Self {
        self.outcome = outcome;
        self
    }

    /// Sets the endpoint that was tried.
    pub fn with_endpoint(mut self, endpoint: EndpointId) -> Self {
        self.endpoint = Some(endpoint);
        self
    }

    /// Marks that a part of the response was already sent to the caller.
    pub const fn with_answer(mut self) -> Self {
        self.answered = true;
        self
    }

    /// Sets the delay before the next attempt that the endpoint asked for.
    pub const fn with_retry_after(mut self, retry_after: Millis) -> Self {
        self.retry_after = retry_after;
        self
    }
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub enum Decision {
    /// Retry after a delay, at an endpoint that hasn't failed yet if there is one.
    Retry {
        /// The delay.
        delay: Millis,
    },
    /// Give up and report a reason to the caller.
    GiveUp {
        /// The reason.
        reason: Reason,
    },
}

/// The attempts of one request, and whether there may be more.
#[derive(Clone)]
#[derive(Debug)]
pub struct Plan {
    settings: Settings,
    pool: PoolId,
    idempotent: bool,
    /// No attempt starts after this time.
    deadline: Millis,
    attempts: u32,
    failed: Vec<EndpointId>,
}

impl Plan {
    /// Creates the plan of a request whose first attempt starts now.
    pub fn new(settings: Settings, pool: PoolId, idempotent: bool, deadline: Millis) -> Self {
        Self {
            settings,
            pool,
            idempotent,
            deadline,
            attempts: 1,
            failed: Vec::new(),
        }
    }

    /// Number of attempts so far, the current one included.
    pub const fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Endpoints that failed and that the next attempt should avoid.
    pub fn failed(&self) -> &[EndpointId] {
        &self.failed
    }

    /// Picks an endpoint for the next attempt: the first that hasn't failed, else the first.
    pub fn pick<'a>(
        &self,
        mut candidates: impl Iterator<Item = &'a EndpointId> + Clone,
    ) -> Option<&'a EndpointId> {
        let untried = candidates.clone().find(|id| !self.failed.contains(id));
        untried.or_else(|| candidates.next())
    }

    /// Records a failed attempt and decides whether to retry.
    pub fn record_failure(
        &mut self,
        failure: Failure,
        budget: &mut Budget,
        now: Millis,
        rng: &mut Pcg32,
    ) -> Decision {
        let reason = failure.reason;
        let allowed = self.may_retry(&failure);
        if let Some(endpoint) = failure.endpoint {
            self.failed.push(endpoint);
        }
        if !allowed || self.attempts >= self.settings.attempts {
            return Decision::GiveUp { reason };
        }
        let delay = self.delay(failure.retry_after, rng);
        if now + delay > self.deadline {
            return Decision::GiveUp { reason };
        }
        if !budget.withdraw(&self.pool, now) {
            return self.exhausted(reason, failure.outcome);
        }
        self.attempts += 1;
        Decision::Retry { delay }
    }

    /// Whether a retry after the failure is safe and may succeed.
    fn may_retry(&self, failure: &Failure) -> bool {
        if failure.answered || !failure.reason.retryable() || is_terminal(failure.reason) {
            return false;
        }
        failure.outcome == Outcome::NotRun || self.idempotent
    }

    /// Random delay before the next attempt, on top of `retry_after`.
    fn delay(&self, retry_after: Millis, rng: &mut Pcg32) -> Millis {
        let doublings = (self.attempts - 1).min(16);
        let most = (self.settings.backoff.0 << doublings).min(MAX_BACKOFF.0);
        retry_after + Millis(rng.random_range(0..=most))
    }

    /// The decision when the budget is used up. [`Reason::RetryBudget`] states that the request was
    /// not executed, so it is reported only if that is certain.
    fn exhausted(&self, reason: Reason, outcome: Outcome) -> Decision {
        let reported = match outcome {
            Outcome::NotRun => Reason::RetryBudget,
            Outcome::Ran | Outcome::Unknown => reason,
        };
        Decision::GiveUp { reason: reported }
    }
}

/// Whether a failure would be the same at every endpoint, so that only the caller may retry.
const fn is_terminal(reason: Reason) -> bool {
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
