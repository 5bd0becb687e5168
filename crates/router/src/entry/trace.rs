//! Logs and counts what happens to a request, with a final line when it ends.

use std::sync::Arc;

use derive_more::Debug;
use medlarrill_core::body_end::EndedBody;
use medlarrill_core::clock::Millis;
use medlarrill_core::ids::PoolId;
use medlarrill_core::routing::attempt::Fault;
use medlarrill_core::routing::budget::State;
use medlarrill_core::routing::choose::Choice;
use medlarrill_core::routing::endpoint::InstanceId;
use medlarrill_core::routing::fingerprint::Fingerprint;
use medlarrill_core::routing::plan::Obstacle;
use medlarrill_core::routing::request::{RequestHead, SharedPrefix};
use medlarrill_core::routing::revision::Era;
use medlarrill_core::routing::silence::SeenSilence;
use medlarrill_core::routing::streams::lookup::LookupError;
use medlarrill_core::routing::view::Overload;
use medlarrill_net::now::now;
use medlarrill_platform::store::Kind;

use super::answer::Reason;
use super::request::RoutedRequest;
use crate::endpoints::PathTaken;
use crate::metrics::{Metrics, seconds};
use crate::shared::Shared;
use crate::streams::Found;

/// Number of prompt parts in a line of the log.
const LOGGED_PARTS: usize = 16;

/// What happened to a request. Dropping it logs the final line.
#[derive(Debug)]
pub struct Trace {
    #[debug(skip)]
    shared: Arc<Shared>,
    arrived: Millis,
    request: String,
    route: String,
    account: String,
    fingerprint: Fingerprint,
    /// Ids of the prompt parts that other requests may have too.
    parts: String,
    version: u64,
    endpoint: Option<InstanceId>,
    attempts: u32,
    head_time: Option<Millis>,
    bytes: u64,
    /// How the body of the last response ended.
    ended: Option<EndedBody>,
    /// The silence of the last attempt's endpoint when the attempt failed.
    silence: Option<SeenSilence>,
    /// Why the request wasn't hedged when that was last tried.
    not_hedged: Option<Obstacle>,
    outcome: Option<&'static str>,
    status: u16,
}

impl Trace {
    /// Starts the trace of a request whose head arrived at `arrived`.
    pub fn new(shared: &Arc<Shared>, arrived: Millis) -> Self {
        shared.metrics.requests.inc();
        Self {
            shared: Arc::clone(shared),
            arrived,
            request: String::new(),
            route: String::new(),
            account: String::new(),
            fingerprint: Fingerprint::default(),
            parts: String::new(),
            version: 0,
            endpoint: None,
            attempts: 0,
            head_time: None,
            bytes: 0,
            ended: None,
            silence: None,
            not_hedged: None,
            outcome: None,
            status: 0,
        }
    }

    /// Records the request's route, account and fingerprint.
    pub fn set_request(&mut self, routed: &RoutedRequest) {
        self.request.clone_from(&routed.call.attempt);
        self.route.clone_from(&routed.route.name);
        self.version = routed.config.version.0;
        self.fingerprint = routed.fingerprint;
        self.parts = part_ids(&routed.call);
        if let Some(account) = &routed.account {
            account.id.as_str().clone_into(&mut self.account);
        }
    }

    /// Records the request's id.
    pub fn set_id(&mut self, id: &str) {
        id.clone_into(&mut self.request);
    }

    /// Counts an attempt and logs why its endpoint was chosen. `left` is the time to the deadline.
    pub fn log_attempt(
        &mut self,
        choice: &Choice,
        shared_prefix: Option<&SharedPrefix>,
        left: Millis,
    ) {
        self.attempts += 1;
        self.ended = None;
        self.silence = None;
        self.endpoint = Some(choice.endpoint.id.clone());
        let list_age = self.shared.copies.age(Kind::Endpoints, now());
        let era = self.shared.copies.eras().latest();
        log::info!(
            target: "entry", request = self.request, attempt = self.attempts, version = self.version,
            era = era.map(Era::count), endpoint:% = choice.endpoint.id, build = choice.endpoint.build.as_str(), why:% = choice.reason, load = choice.load,
            load_age = choice.load_age.map(|age| age.0), list_age = list_age.map(|age| age.0),
            wait = choice.outlook.wait.round(), pace = choice.outlook.pace, uncached = choice.cost.tokens().0,
            bound = choice.bound, trial = choice.probe, left = left.0,
            prefix = shared_prefix.map_or(0, |prefix| prefix.key), tokens = shared_prefix.map_or(0, |prefix| prefix.tokens.0),
            source = choice.source.as_ref().map_or_else(String::new, |source| source.id.to_string());
            "entry: sent"
        );
    }

    /// Logs where a stream that the caller takes up goes on, and who knew it, or why it can't.
    pub fn log_take_up(&self, call: &RequestHead, found: &Result<Found, LookupError>) {
        let place = found.as_ref().ok().map(|found| &found.place);
        log::info!(
            target: "entry", request = self.request, resumes = call.resumes.as_deref(),
            last = call.last_event, pool = place.map(|place| place.pool.as_str()),
            build = place.map(|place| place.build.as_str()),
            source = found.as_ref().ok().map(|found| found.source.code()),
            refused = found.as_ref().err().map(|error| error.code()),
            doubt = found.as_ref().err().and_then(|error| error.doubt()).map(|doubt| doubt.code()),
            passed = now().since(self.arrived).0;
            "entry: stream taken up"
        );
    }

    /// Logs that the pool is overloaded, and on what that is based.
    pub fn log_overload(&self, overload: &Overload) {
        let Overload { choice, share, .. } = overload;
        let refused = overload.refused.as_ref();
        let cause = refused.map_or("load", |refused| refused.cause.code());
        let refusals = &self.shared.metrics.account_refusals;
        refusals.count(&self.account, cause);
        log::info!(
            target: "entry", request = self.request, version = self.version, account = self.account,
            cause,
            demand = refused.map(|refused| refused.demand),
            capacity = refused.map(|refused| refused.capacity),
            endpoint:% = choice.endpoint.id, load = choice.load,
            load_age = choice.load_age.map(|age| age.0), expected = overload.expected,
            share, wait = overload.wait.0;
            "entry: pool overloaded"
        );
    }

    /// Logs what in the request is quarantined, and for how long; `part` is the part of its prompt,
    /// `None` if it is the whole request.
    pub fn log_quarantined(&self, cause: Fingerprint, part: Option<u64>, wait: Millis) {
        log::info!(
            target: "entry", request = self.request, cause:%, part = part.map(|id| format!("{id:x}")),
            wait = wait.0;
            "entry: quarantined"
        );
    }

    /// Logs that no endpoint of a pool takes work, and for how long.
    pub fn log_closed_pool(&self, pool: &PoolId, wait: Millis) {
        log::info!(
            target: "entry", request = self.request, version = self.version, pool = pool.as_str(),
            wait = wait.0;
            "entry: pool takes no work"
        );
    }

    /// Logs that an attempt goes through another daemon, and on what that is based.
    pub fn log_tunnel(&self, path_taken: Option<&PathTaken>) {
        let Some(PathTaken {
            helper: Some(helper),
            silence,
            ..
        }) = path_taken
        else {
            return;
        };
        log::info!(
            target: "entry", request = self.request, attempt = self.attempts,
            endpoint = self.endpoint(), helper:%, path = path_taken.map(PathTaken::name),
            silence = silence.0;
            "entry: through another daemon"
        );
    }

    /// Counts how the body of a response ended, if it was read.
    pub fn record_end(&mut self, ended: Option<EndedBody>) {
        self.ended = ended;
        if let Some(ended) = ended {
            self.shared.metrics.count_end(ended);
        }
    }

    /// Records that an endpoint's response goes on, or has failed, though others were tried since.
    pub fn return_to(&mut self, endpoint: &InstanceId) {
        self.endpoint = Some(endpoint.clone());
    }

    /// Logs that a request is hedged since its endpoint is silent, or why not if that reason is new.
    pub fn log_hedge(
        &mut self,
        endpoint: &InstanceId,
        silence: Option<SeenSilence>,
        obstacle: Option<Obstacle>,
    ) {
        if obstacle.is_some() && self.not_hedged == obstacle {
            return;
        }
        self.not_hedged = obstacle;
        let code = obstacle.map_or("sent", Obstacle::code);
        Metrics::count(&self.shared.metrics.hedges, code);
        log::info!(
            target: "entry", request = self.request, attempt = self.attempts, endpoint:%,
            endpoint_silence = silence.map(|seen| seen.lasted.0), others_silent = silence.map(|seen| seen.others.silent),
            others_heard = silence.map(|seen| seen.others.heard), hedged = obstacle.is_none(), why_not = obstacle.map(Obstacle::code),
            passed = now().since(self.arrived).0;
            "entry: endpoint silent"
        );
    }

    /// Logs that a response was left for that of another endpoint; `broken` if it broke off meanwhile.
    pub fn log_left(
        &self,
        endpoint: &InstanceId,
        silence: Option<SeenSilence>,
        broken: Option<&str>,
    ) {
        log::info!(
            target: "entry", request = self.request, endpoint:%, next = self.endpoint(), broken,
            endpoint_silence = silence.map(|seen| seen.lasted.0), passed = now().since(self.arrived).0;
            "entry: left for another endpoint"
        );
    }

    /// Records the silence of an endpoint when an attempt failed.
    pub fn record_silence(&mut self, silence: Option<SeenSilence>) {
        self.silence = silence;
    }

    fn framing(&self) -> Option<&'static str> {
        self.ended.map(|ended| ended.framing.code())
    }

    fn end(&self) -> Option<&'static str> {
        self.ended.map(|ended| ended.end.code())
    }

    /// Counts and logs a failed attempt. `ran` is the time since the head of its response, if there
    /// was one, `obstacle` why it isn't followed by another one.
    pub fn log_fault(
        &self,
        fault: Fault,
        cause: &str,
        ran: Option<Millis>,
        obstacle: Option<Obstacle>,
        budget: &State,
        path_taken: Option<&PathTaken>,
    ) {
        Metrics::count(&self.shared.metrics.faults, fault.code());
        match obstacle {
            None => Metrics::count(&self.shared.metrics.retries, fault.code()),
            Some(obstacle) => Metrics::count(&self.shared.metrics.obstacles, obstacle.code()),
        }
        let silence = self.silence;
        log::info!(
            target: "entry", request = self.request, attempt = self.attempts,
            endpoint = self.endpoint(), fingerprint:% = self.fingerprint, parts = self.parts,
            ran = ran.map(|ran| ran.0), fault = fault.code(), cause, framing = self.framing(), end = self.end(),
            outcome:% = fault.outcome(), again = obstacle.is_none(), why_not = obstacle.map(Obstacle::code),
            endpoint_silence = silence.map(|seen| seen.lasted.0), others_silent = silence.map(|seen| seen.others.silent),
            others_heard = silence.map(|seen| seen.others.heard), repeats:% = budget,
            path = path_taken.map(PathTaken::name), silence = self.shared.connections.paths().silence().0,
            passed = now().since(self.arrived).0;
            "entry: attempt failed"
        );
    }

    /// The endpoint of the last attempt; empty before the first.
    fn endpoint(&self) -> String {
        let last = self.endpoint.as_ref();
        last.map_or_else(String::new, InstanceId::to_string)
    }

    /// Records the head of the response.
    pub fn record_head(&mut self, status: u16) {
        let head_time = now().since(self.arrived);
        self.head_time = Some(head_time);
        self.status = status;
        self.shared.metrics.head_seconds.observe(seconds(head_time));
    }

    /// Counts forwarded bytes of the response.
    pub fn add_bytes(&mut self, count: usize) {
        self.bytes += count as u64;
    }

    /// Records that an endpoint's response was forwarded completely.
    pub fn record_answered(&mut self) {
        self.outcome = Some("answered");
        self.shared.metrics.answered.inc();
    }

    /// Records that the entry refused the request.
    pub fn record_refused(&mut self, reason: Reason) {
        self.outcome = Some(reason.code());
        self.status = reason.status().as_u16();
        Metrics::count(&self.shared.metrics.refusals, reason.code());
    }

    /// Records that a stream broke off and couldn't be resumed.
    pub fn record_broken(&mut self) {
        self.outcome = Some("broken-off");
        Metrics::count(&self.shared.metrics.refusals, "broken-off");
    }
}

/// The shared parts of a request's prompt, for the log: the first [`LOGGED_PARTS`].
fn part_ids(call: &RequestHead) -> String {
    let ids = call.shared_parts().iter().take(LOGGED_PARTS);
    let ids: Vec<String> = ids.map(|part| format!("{:x}", part.id)).collect();
    ids.join(",")
}

impl Drop for Trace {
    fn drop(&mut self) {
        let total_time = now().since(self.arrived);
        let metrics = &self.shared.metrics;
        metrics.total_seconds.observe(seconds(total_time));
        log::info!(
            target: "entry", request = self.request, route = self.route, account = self.account,
            fingerprint:% = self.fingerprint, parts = self.parts, version = self.version,
            endpoint = self.endpoint(), attempts = self.attempts, status = self.status, bytes = self.bytes,
            first = self.head_time.map_or(0, |time| time.0), whole = total_time.0,
            framing = self.framing(), end = self.end(),
            outcome = self.outcome.unwrap_or("caller-left");
            "entry: ended"
        );
    }
}
