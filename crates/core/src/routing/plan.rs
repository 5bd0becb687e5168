//! Decides whether a failed attempt is followed by a retry or by the final response.

mod obstacle;
mod refusal;

use derive_more::Debug;

use crate::clock::Millis;
use crate::ids::AccountId;
use crate::outcome::Outcome;
use crate::routing::ablation::{Mechanism, is_on};
use crate::routing::attempt::Fault;
use crate::routing::causes::Causes;
use crate::routing::config::{Priority, RetryPolicy, Route};
use crate::routing::endpoint::{Build, InstanceId};
use crate::routing::fingerprint::Fingerprint;
use crate::routing::room::Caller;
use crate::routing::work::cost::PromptSize;

pub use obstacle::Obstacle;
pub use refusal::Refusal;

/// Maximum number of retries after attempts that certainly didn't run; these don't count towards
/// the route's limit.
const MAX_UNRUN: u32 = 2;
/// The same for attempts that weren't sent: they cost the endpoint nothing, and a request that may run
/// only once finds out by a new connection that an endpoint has ended.
const MAX_UNSENT: u32 = 3;
/// Minimum time left for a retry to be useful: about a round trip and a short run.
const MIN_TIME_LEFT: Millis = Millis(40);
/// Multiple of the target after which a request that may be retried is hedged. Response
/// times of healthy but busy endpoints stay below it under the highest load measured.
const STUCK_FACTOR: f64 = 2.0;
/// Shortest time after which a request is hedged.
const MIN_STUCK_TIME: Millis = Millis(600);

/// What to do after a failed attempt.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub enum Next {
    /// Send the request again, to an endpoint that wasn't tried.
    Retry,
    /// Answer the caller with a refusal.
    GiveUp(Refusal),
}

/// An endpoint whose response is awaited.
#[derive(Clone)]
#[derive(Debug)]
struct InFlight {
    endpoint: InstanceId,
    /// Whether it counts as having run the request for an earlier attempt.
    ran_before: bool,
}

/// The attempts of one request so far, and its limits on further ones.
#[derive(Clone)]
#[derive(Debug)]
pub struct RetryPlan {
    retry: RetryPolicy,
    max_attempts: u32,
    target: Millis,
    stream: bool,
    /// When the caller's or the route's timeout expires.
    deadline: Millis,
    /// Who sends it, where callers are told apart.
    caller: Option<Caller>,
    /// What in the request may crash an endpoint.
    causes: Causes,
    /// Size of its prompt, if engines with caches run it.
    prompt: PromptSize,
    /// Endpoints that ran it, or may have, those included where it runs now.
    possibly_run: u32,
    sent: u32,
    /// Attempts that weren't sent.
    unsent: u32,
    tried: Vec<InstanceId>,
    in_flight: Vec<InFlight>,
    /// One of those that count as having run it, to which it may be sent again: its response was no
    /// longer needed.
    spare: Option<InstanceId>,
    /// The only software version at which it may run, once that is fixed.
    build: Option<Build>,
    /// Whether processes are asked that may not be the ones that are listed.
    confirms: bool,
}

impl RetryPlan {
    /// A plan for a request on a route.
    pub fn new(route: &Route, deadline: Millis) -> Self {
        Self {
            retry: route.retry,
            max_attempts: route.attempts.max(1),
            target: route.target,
            stream: route.stream,
            deadline,
            caller: None,
            causes: Causes::default(),
            prompt: PromptSize::default(),
            possibly_run: 0,
            sent: 0,
            unsent: 0,
            tried: Vec::new(),
            in_flight: Vec::new(),
            spare: None,
            build: None,
            confirms: false,
        }
    }

    /// Has processes asked, before it is sent, that may not be the ones that are listed.
    pub fn with_confirmation(self) -> Self {
        let confirms = true;
        Self { confirms, ..self }
    }

    /// Whether it may be sent to an instance in doubt once that is confirmed.
    pub const fn confirms(&self) -> bool {
        self.confirms
    }

    /// Sets the fingerprint of the request.
    pub fn with_fingerprint(self, fingerprint: Fingerprint) -> Self {
        self.with_causes(Causes::of_request(fingerprint))
    }

    /// Sets what in the request may crash an endpoint.
    pub fn with_causes(self, causes: Causes) -> Self {
        Self { causes, ..self }
    }

    /// Sets who sends the request, for pools that are asked for more than they can run.
    pub fn with_caller(self, account: Option<&AccountId>, priority: Priority) -> Self {
        let caller = Some(Caller::new(account, priority));
        Self { caller, ..self }
    }

    /// Who sends it, where callers are told apart.
    pub const fn caller(&self) -> Option<Caller> {
        self.caller
    }

    /// Sets the size of the request's prompt.
    pub fn with_prompt(self, prompt: PromptSize) -> Self {
        Self { prompt, ..self }
    }

    /// Size of the request's prompt.
    pub const fn prompt(&self) -> PromptSize {
        self.prompt
    }

    /// Restricts further attempts to a software version.
    pub fn bind(&mut self, build: Build) {
        self.build = Some(build);
    }

    /// The only software version at which it may run, once that is fixed.
    pub const fn build(&self) -> Option<&Build> {
        self.build.as_ref()
    }

    /// Whether it may run at a software version.
    pub fn accepts(&self, build: &Build) -> bool {
        self.build.as_ref().is_none_or(|only| only == build)
    }

    /// Whether its first event will decide where its stream may go on.
    pub fn begins_resumable(&self) -> bool {
        self.retry == RetryPolicy::Resume && self.build.is_none()
    }

    /// What in the request may crash an endpoint.
    pub const fn causes(&self) -> &Causes {
        &self.causes
    }

    /// Whether running the request twice does no harm.
    pub const fn is_idempotent(&self) -> bool {
        self.retry.is_idempotent()
    }

    /// Latency target of the request.
    pub const fn target(&self) -> Millis {
        self.target
    }

    /// Latency target of a request that wasn't sent yet; none for streams, since engines share
    /// their time among all requests and queue by priority.
    pub const fn queue_target(&self) -> Option<Millis> {
        match self.stream || self.sent > 0 {
            true => None,
            false => Some(self.target),
        }
    }

    /// When the caller stops waiting.
    pub const fn deadline(&self) -> Millis {
        self.deadline
    }

    /// Whether the request can't be sent to an endpoint, since it was before, or since it may go to no
    /// more endpoints than it went to.
    pub fn has_tried(&self, id: &InstanceId) -> bool {
        match &self.spare {
            Some(spare) if self.possibly_run >= self.max_attempts => spare != id,
            _ => self.tried.contains(id),
        }
    }

    /// Records that the request is sent to an endpoint.
    pub fn begin(&mut self, endpoint: &InstanceId) {
        self.sent += 1;
        let ran_before = self.spare.as_ref() == Some(endpoint);
        if ran_before {
            self.spare = None;
        } else {
            self.possibly_run += 1;
        }
        self.in_flight.push(InFlight {
            endpoint: endpoint.clone(),
            ran_before,
        });
        if !self.tried.contains(endpoint) {
            self.tried.push(endpoint.clone());
        }
    }

    /// Records that the response of an endpoint isn't needed any more.
    pub fn abandon(&mut self, endpoint: &InstanceId) {
        self.take_in_flight(endpoint);
        self.tried.retain(|id| id != endpoint);
        self.spare = Some(endpoint.clone());
    }

    /// Records that all responses but an endpoint's aren't needed any more; returns whose.
    pub fn abandon_others(&mut self, endpoint: &InstanceId) -> Vec<InstanceId> {
        let ids = self.in_flight.iter().map(|awaited| &awaited.endpoint);
        let others: Vec<InstanceId> = ids.filter(|id| *id != endpoint).cloned().collect();
        others.iter().for_each(|id| self.abandon(id));
        others
    }

    fn take_in_flight(&mut self, endpoint: &InstanceId) -> Option<InFlight> {
        let mut awaited = self.in_flight.iter();
        let index = awaited.position(|awaited| awaited.endpoint == *endpoint)?;
        Some(self.in_flight.swap_remove(index))
    }

    /// Why the request isn't hedged while an endpoint is silent, as far as it tells.
    pub fn hedge_obstacle(&self, now: Millis) -> Option<Obstacle> {
        let has_time = self.deadline.since(now) >= MIN_TIME_LEFT;
        match (self.retry.is_idempotent(), self.has_attempt(), has_time) {
            (false, _, _) => Some(Obstacle::NotIdempotent),
            (true, false, _) => Some(Obstacle::Attempts),
            (true, true, false) => Some(Obstacle::Deadline),
            (true, true, true) => None,
        }
    }

    /// Time after which the request is hedged if the response to an attempt that starts now hasn't
    /// begun.
    pub fn attempt_timeout(&self, now: Millis) -> Millis {
        let left = self.deadline.since(now);
        if !self.may_run_again() || !is_on(Mechanism::Stuck) {
            return left;
        }
        let stuck = Millis((self.target.0 as f64 * STUCK_FACTOR) as u64);
        left.min(stuck.max(MIN_STUCK_TIME))
    }

    /// Records a failed attempt and decides what to do next; `spend` takes a retry from the budget,
    /// and returns false if none is left.
    pub fn record_failure(
        &mut self,
        endpoint: &InstanceId,
        fault: Fault,
        spend: impl FnOnce() -> bool,
        now: Millis,
    ) -> Next {
        self.record_end(endpoint, fault);
        let late = self.deadline.since(now) < MIN_TIME_LEFT;
        if !late && self.may_retry(fault) && (fault.is_unsent() || spend()) {
            return Next::Retry;
        }
        Next::GiveUp(self.refusal(late))
    }

    /// Records the end of a failed attempt, if others are still in flight.
    pub fn record_end(&mut self, endpoint: &InstanceId, fault: Fault) {
        let awaited = self.take_in_flight(endpoint).or_else(|| {
            self.begin(endpoint);
            self.take_in_flight(endpoint)
        });
        let ran_before = awaited.is_some_and(|awaited| awaited.ran_before);
        self.unsent += u32::from(fault.is_unsent() && !ran_before);
        if fault.outcome() == Outcome::NotRun && !ran_before {
            self.possibly_run -= 1;
        }
    }

    /// The refusal if there is no endpoint to send the request to; `late` if the deadline is over.
    pub fn refusal(&self, late: bool) -> Refusal {
        match (self.possibly_run > 0, late) {
            (false, _) if self.build.is_some() => Refusal::NotResumable,
            (false, _) => Refusal::NotRun,
            (true, true) => Refusal::Timeout,
            (true, false) => Refusal::Unknown,
        }
    }

    /// The refusal if the request is quarantined.
    pub fn quarantined(&self, wait: Millis) -> Refusal {
        match self.possibly_run {
            0 => Refusal::Quarantined { wait },
            _ => Refusal::Unknown,
        }
    }

    /// Why the request isn't retried after a fault that was recorded, but for the reasons that
    /// `spend` knows.
    pub fn obstacle(&self, fault: Fault, now: Millis) -> Obstacle {
        let is_safe = fault.outcome() == Outcome::NotRun || self.retry.is_idempotent();
        match (is_safe, self.deadline.since(now) < MIN_TIME_LEFT) {
            (false, _) => Obstacle::NotIdempotent,
            (true, true) => Obstacle::Deadline,
            (true, false) => Obstacle::Attempts,
        }
    }

    fn may_retry(&self, fault: Fault) -> bool {
        if fault == Fault::CutOff {
            // Another endpoint would be as far away.
            return false;
        }
        let is_safe = fault.outcome() == Outcome::NotRun || self.retry.is_idempotent();
        is_safe && self.has_attempt()
    }

    /// Whether the route allows another attempt.
    const fn has_attempt(&self) -> bool {
        let unrun = (self.sent - self.possibly_run).saturating_sub(self.unsent);
        let has_endpoint = self.possibly_run < self.max_attempts || self.spare.is_some();
        has_endpoint && unrun <= MAX_UNRUN && self.unsent <= MAX_UNSENT
    }

    /// Whether the next attempt may be followed by another while it is silent.
    const fn may_run_again(&self) -> bool {
        self.retry.is_idempotent() && self.possibly_run + 1 < self.max_attempts
    }
}
