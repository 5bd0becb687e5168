//! What follows from a failed attempt: another one, or the final answer.

use derive_more::{Debug, Display};

use crate::clock::Millis;
use crate::outcome::Outcome;
use crate::routing::ablation::{Mechanism, is_on};
use crate::routing::attempt::Fault;
use crate::routing::config::{RetryPolicy, Route};
use crate::routing::endpoint::InstanceId;
use crate::routing::fingerprint::Fingerprint;

/// Attempts that certainly didn't run and aren't counted against the route's own limit.
const UNRUN_MAX: u32 = 2;
/// Time that must be left for another attempt to be of use; about a round trip and a short run.
const LEFT_MIN: Millis = Millis(40);
/// Part of the target after which an attempt that may be repeated counts as stuck. Answers of
/// endpoints that are well but busy stay under it on the heaviest days measured.
const STUCK: f64 = 2.0;
/// Shortest time after which an attempt counts as stuck.
const STUCK_MIN: Millis = Millis(600);

/// Why a request gets no answer of an endpoint.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Debug, Display)]
pub enum Refusal {
    /// It didn't run and won't; the caller may come back.
    #[display("not-run")]
    NotRun,
    /// Its pool is asked for more than it can run; it didn't run and won't.
    #[display("overloaded")]
    Overloaded {
        /// When the caller may come back.
        wait: Millis,
    },
    /// No endpoint of its pool takes work; it didn't run and won't.
    #[display("unavailable")]
    Unavailable {
        /// When the caller may come back.
        wait: Millis,
    },
    /// Requests that ask for the same have ended the endpoints that ran them; this one didn't run
    /// and won't.
    #[display("quarantined")]
    Quarantined {
        /// When the caller may come back.
        wait: Millis,
    },
    /// It may have run, and no whole answer came.
    #[display("unknown")]
    Unknown,
    /// It may have run, and time is up.
    #[display("timeout")]
    Timeout,
}

/// What follows from a failure.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub enum Next {
    /// Another attempt, at an endpoint that wasn't tried if there is one.
    Retry,
    /// The final answer.
    GiveUp(Refusal),
}

/// The attempts of one request.
#[derive(Clone)]
#[derive(Debug)]
pub struct RetryPlan {
    retry: RetryPolicy,
    attempts: u32,
    target: Millis,
    stream: bool,
    /// When the caller or the route's timeout ends the wait.
    deadline: Millis,
    /// What it asks for, if that is known.
    fingerprint: Option<Fingerprint>,
    /// Attempts that ran, or may have.
    ran: u32,
    sent: u32,
    tried: Vec<InstanceId>,
}

impl RetryPlan {
    /// A plan for a request on a route.
    pub fn new(route: &Route, deadline: Millis) -> Self {
        Self {
            repeat: route.retry,
            attempts: route.attempts.max(1),
            target: route.target,
            stream: route.stream,
            deadline,
            fingerprint: None,
            ran: 0,
            sent: 0,
            tried: Vec::new(),
        }
    }

    /// Sets what the request asks for.
    pub const fn with_fingerprint(mut self, fingerprint: Fingerprint) -> Self {
        self.fingerprint = Some(fingerprint);
        self
    }

    /// What the request asks for, if that is known.
    pub const fn fingerprint(&self) -> Option<Fingerprint> {
        self.fingerprint
    }

    /// Whether a second run does no harm.
    pub const fn is_idempotent(&self) -> bool {
        self.repeat.is_idempotent()
    }

    /// Time within which a request that wasn't sent yet should be answered; none for streams,
    /// since engines share their time among all requests and queue by urgency.
    pub const fn queue_target(&self) -> Option<Millis> {
        match self.stream || self.sent > 0 {
            true => None,
            false => Some(self.target),
        }
    }

    /// When the wait ends.
    pub const fn deadline(&self) -> Millis {
        self.deadline
    }

    /// Attempts so far.
    pub const fn sent(&self) -> u32 {
        self.sent
    }

    /// Whether the request was sent to an endpoint.
    pub fn has_tried(&self, id: &InstanceId) -> bool {
        self.tried.contains(id)
    }

    /// How long this attempt may take to begin its answer.
    pub fn attempt_timeout(&self, now: Millis) -> Millis {
        let left = self.deadline.since(now);
        if !self.may_run_again() || !is_on(Mechanism::Stuck) {
            return left;
        }
        let stuck = Millis((self.target.0 as f64 * STUCK) as u64);
        left.min(stuck.max(STUCK_MIN))
    }

    /// Decides what follows from a failure; `spend` takes one repeat from the budget.
    pub fn record_failure(
        &mut self,
        endpoint: &InstanceId,
        fault: Fault,
        spend: impl FnOnce() -> bool,
        now: Millis,
    ) -> Next {
        self.sent += 1;
        self.tried.push(endpoint.clone());
        if fault.outcome() != Outcome::NotRun {
            self.ran += 1;
        }
        let late = self.deadline.since(now) < LEFT_MIN;
        if !late && self.may_repeat(fault) && (fault == Fault::NotSent || spend()) {
            return Next::Retry;
        }
        Next::GiveUp(self.refusal(late))
    }

    /// What to say when there is no endpoint to send to.
    pub fn refusal(&self, late: bool) -> Refusal {
        match (self.ran > 0, late) {
            (false, _) => Refusal::NotRun,
            (true, true) => Refusal::Timeout,
            (true, false) => Refusal::Unknown,
        }
    }

    /// What to say when no endpoint is to be sent the request for a while.
    pub fn quarantined(&self, wait: Millis) -> Refusal {
        match self.ran {
            0 => Refusal::Quarantined { wait },
            _ => Refusal::Unknown,
        }
    }

    fn may_repeat(&self, fault: Fault) -> bool {
        let harmless = fault.outcome() == Outcome::NotRun || self.repeat.is_idempotent();
        let unrun = self.sent - self.ran;
        harmless && self.ran < self.attempts && unrun <= UNRUN_MAX
    }

    /// Whether an attempt that is abandoned may be followed by another.
    pub const fn may_run_again(&self) -> bool {
        self.repeat.is_idempotent() && self.ran + 1 < self.attempts
    }
}
