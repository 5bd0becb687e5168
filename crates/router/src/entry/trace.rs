//! One line of log for each request, when it ends.

use std::sync::Arc;

use derive_more::Debug;
use medlarrill_core::clock::Millis;
use medlarrill_core::ids::PoolId;
use medlarrill_core::routing::attempt::Fault;
use medlarrill_core::routing::budget::State;
use medlarrill_core::routing::choose::Choice;
use medlarrill_core::routing::endpoint::InstanceId;
use medlarrill_core::routing::fingerprint::Fingerprint;
use medlarrill_core::routing::request::SharedPrefix;
use medlarrill_core::routing::view::Overload;
use medlarrill_net::now::now;
use medlarrill_platform::store::Kind;

use super::answer::Reason;
use super::order::Order;
use crate::metrics::{Metrics, seconds};
use crate::shared::Shared;

/// What happened to a request; logged when it is dropped.
#[derive(Debug)]
pub struct Trace {
    #[debug(skip)]
    shared: Arc<Shared>,
    arrived: Millis,
    request: String,
    route: String,
    account: String,
    fingerprint: Fingerprint,
    version: u64,
    endpoint: Option<InstanceId>,
    attempts: u32,
    first: Option<Millis>,
    bytes: u64,
    outcome: Option<&'static str>,
    status: u16,
}

impl Trace {
    /// The trace of a request whose head has arrived.
    pub fn new(shared: &Arc<Shared>, arrived: Millis) -> Self {
        shared.metrics.requests.inc();
        shared.metrics.in_flight.inc();
        Self {
            shared: Arc::clone(shared),
            arrived,
            request: String::new(),
            route: String::new(),
            account: String::new(),
            fingerprint: Fingerprint::default(),
            version: 0,
            endpoint: None,
            attempts: 0,
            first: None,
            bytes: 0,
            outcome: None,
            status: 0,
        }
    }

    /// Notes what was asked for.
    pub fn order(&mut self, order: &Order) {
        self.request.clone_from(&order.call.attempt);
        self.route.clone_from(&order.route.name);
        self.version = order.config.version.0;
        self.fingerprint = order.fingerprint;
        if let Some(account) = &order.account {
            account.id.as_str().clone_into(&mut self.account);
        }
    }

    /// Notes the request's id.
    pub fn request(&mut self, id: &str) {
        id.clone_into(&mut self.request);
    }

    /// Notes an attempt and logs why it goes where it goes.
    pub fn attempt(&mut self, choice: &Choice, shared: Option<&SharedPrefix>, left: Millis) {
        self.attempts += 1;
        self.endpoint = Some(choice.endpoint.id.clone());
        let list_age = self.shared.copies.age(Kind::Endpoints, now());
        log::info!(
            target: "entry", request = self.request, attempt = self.attempts, version = self.version,
            endpoint:% = choice.endpoint.id, why:% = choice.reason, load = choice.load,
            load_age = choice.load_age.map(|age| age.0), list_age = list_age.map(|age| age.0),
            bound = choice.bound, trial = choice.probe, left = left.0,
            prefix = shared.map_or(0, |shared| shared.key), tokens = shared.map_or(0, |shared| shared.tokens.0),
            source = choice.source.as_ref().map_or_else(String::new, |source| source.id.to_string());
            "entry: sent"
        );
    }

    /// Logs why a pool isn't given the request.
    pub fn overloaded(&self, overload: &Overload) {
        let Overload { choice, share, .. } = overload;
        log::info!(
            target: "entry", request = self.request, version = self.version,
            endpoint:% = choice.endpoint.id, load = choice.load,
            load_age = choice.load_age.map(|age| age.0), expected = overload.expected,
            share, wait = overload.wait.0;
            "entry: pool overloaded"
        );
    }

    /// Logs that no endpoint of a pool takes work.
    pub fn closed(&self, pool: &PoolId, wait: Millis) {
        log::info!(
            target: "entry", request = self.request, version = self.version, pool = pool.as_str(),
            wait = wait.0;
            "entry: pool takes no work"
        );
    }

    /// Logs a failed attempt.
    pub fn fault(&self, fault: Fault, cause: &str, again: bool, repeats: &State) {
        Metrics::count(&self.shared.metrics.faults, fault.code());
        if again {
            Metrics::count(&self.shared.metrics.retries, fault.code());
        }
        log::info!(
            target: "entry", request = self.request, attempt = self.attempts,
            endpoint = self.endpoint(), fingerprint:% = self.fingerprint,
            fault = fault.code(), cause, outcome:% = fault.outcome(), again, repeats:%,
            passed = now().since(self.arrived).0;
            "entry: attempt failed"
        );
    }

    /// The endpoint that was tried last; empty before the first.
    fn endpoint(&self) -> String {
        let last = self.endpoint.as_ref();
        last.map_or_else(String::new, InstanceId::to_string)
    }

    /// Notes the head of the answer.
    pub fn head(&mut self, status: u16) {
        let first = now().since(self.arrived);
        self.first = Some(first);
        self.status = status;
        self.shared.metrics.first.observe(seconds(first));
    }

    /// Notes bytes of the answer.
    pub fn bytes(&mut self, count: usize) {
        self.bytes += count as u64;
    }

    /// Notes that an endpoint's answer was handed on whole.
    pub fn answered(&mut self) {
        self.outcome = Some("answered");
        self.shared.metrics.answered.inc();
    }

    /// Notes that the entry answered itself.
    pub fn refused(&mut self, reason: Reason) {
        self.outcome = Some(reason.code());
        self.status = reason.status().as_u16();
        Metrics::count(&self.shared.metrics.refusals, reason.code());
    }

    /// Notes that a stream couldn't go on.
    pub fn broken(&mut self) {
        self.outcome = Some("broken-off");
        Metrics::count(&self.shared.metrics.refusals, "broken-off");
    }
}

impl Drop for Trace {
    fn drop(&mut self) {
        let whole = now().since(self.arrived);
        let metrics = &self.shared.metrics;
        metrics.in_flight.dec();
        metrics.whole.observe(seconds(whole));
        log::info!(
            target: "entry", request = self.request, route = self.route, account = self.account,
            fingerprint:% = self.fingerprint, version = self.version, endpoint = self.endpoint(),
            attempts = self.attempts, status = self.status, bytes = self.bytes,
            first = self.first.map_or(0, |first| first.0), whole = whole.0,
            outcome = self.outcome.unwrap_or("caller-left");
            "entry: ended"
        );
    }
}
