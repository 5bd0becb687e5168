//! Counters and gauges, exported as OpenMetrics text.

mod control;

use std::sync::{Arc, OnceLock};

use medlarrill_core::operator::answer::Verdict;
use medlarrill_core::reason::Reason;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use self::control::ControlCollector;
pub use self::control::ControlSources;

/// Label of a reason.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
#[derive(EncodeLabelSet)]
pub struct ReasonLabel {
    /// Stable code of the reason.
    pub reason: &'static str,
}

/// Label of a kind of message.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
#[derive(EncodeLabelSet)]
pub struct KindLabel {
    /// Kind of the message.
    pub kind: &'static str,
}

/// Label of the verdict on an operator's statement.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
#[derive(EncodeLabelSet)]
pub struct VerdictLabel {
    /// Text of the verdict.
    pub verdict: String,
}

/// Counters and gauges of one daemon.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests taken from callers.
    pub requests: Counter,
    /// Requests answered completely.
    pub answered: Counter,
    /// Requests refused or aborted.
    pub refusals: Family<ReasonLabel, Counter>,
    /// Attempts after the first.
    pub retries: Family<ReasonLabel, Counter>,
    /// Streams resumed after a loss.
    pub resumed: Counter,
    /// Frames for an attempt unknown here.
    pub stray: Family<KindLabel, Counter>,
    /// Callers' connections.
    pub connections: Gauge,
    /// Callers' connections that brought no request.
    pub unserved: Family<ReasonLabel, Counter>,
    /// Requests in flight at this entry.
    pub in_flight: Gauge,
    /// Bytes of answers buffered for callers that haven't read them.
    pub buffered: Gauge,
    /// Daemons eligible for roles, as seen here.
    pub daemons: Gauge,
    /// Endpoints whose home is this daemon.
    pub homes: Gauge,
    /// Endpoints on probation: no load report since this daemon became their home.
    pub probation: Gauge,
    /// Directory entries transferred to other daemons.
    pub moved_chats: Counter,
    /// Requests sent to endpoints.
    pub dispatched: Counter,
    /// Polls of endpoints for their load.
    pub polls: Counter,
    /// Prompt tokens sent to endpoints.
    pub prompt_tokens: Counter,
    /// Prompt tokens that endpoints served from their cache.
    pub cached_tokens: Counter,
    /// Configurations put in force.
    pub applied: Counter,
    /// Invalid heads and parts of a configuration.
    pub rejected_parts: Counter,
    /// Operators' requests without a valid key.
    pub unauthorised: Counter,
    /// Operators' statements, by verdict.
    pub statements: Family<VerdictLabel, Counter>,
    control: Arc<OnceLock<ControlSources>>,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates and registers all metrics, at zero.
    pub fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("medlarrill"),
            requests: Counter::default(),
            answered: Counter::default(),
            refusals: Family::default(),
            retries: Family::default(),
            resumed: Counter::default(),
            stray: Family::default(),
            connections: Gauge::default(),
            unserved: Family::default(),
            in_flight: Gauge::default(),
            buffered: Gauge::default(),
            daemons: Gauge::default(),
            homes: Gauge::default(),
            probation: Gauge::default(),
            moved_chats: Counter::default(),
            dispatched: Counter::default(),
            polls: Counter::default(),
            prompt_tokens: Counter::default(),
            cached_tokens: Counter::default(),
            applied: Counter::default(),
            rejected_parts: Counter::default(),
            unauthorised: Counter::default(),
            statements: Family::default(),
            control: Arc::default(),
        };
        metrics.register_control();
        metrics.register_entry();
        metrics.register_home();
        metrics
    }

    fn register_entry(&mut self) {
        let r = &mut self.registry;
        r.register(
            "requests",
            "Requests taken from callers",
            self.requests.clone(),
        );
        r.register("answered", "Requests answered whole", self.answered.clone());
        r.register(
            "refusals",
            "Requests refused or broken off",
            self.refusals.clone(),
        );
        r.register("retries", "Tries after the first", self.retries.clone());
        r.register("resumed", "Streams taken up again", self.resumed.clone());
        r.register(
            "stray_frames",
            "Frames for no held attempt",
            self.stray.clone(),
        );
        r.register(
            "connections",
            "Callers' connections",
            self.connections.clone(),
        );
        r.register(
            "connections_unserved",
            "Callers' connections without a request",
            self.unserved.clone(),
        );
        r.register(
            "in_flight",
            "Requests in flight here",
            self.in_flight.clone(),
        );
        r.register(
            "buffered_bytes",
            "Bytes of answers held for callers",
            self.buffered.clone(),
        );
    }

    fn register_home(&mut self) {
        let r = &mut self.registry;
        r.register(
            "daemons",
            "Daemons on which roles are placed",
            self.daemons.clone(),
        );
        r.register("homes", "Endpoints homed here", self.homes.clone());
        r.register(
            "homes_on_probation",
            "Homes without a report yet",
            self.probation.clone(),
        );
        r.register(
            "moved_chats",
            "Directory entries handed to other daemons",
            self.moved_chats.clone(),
        );
        r.register(
            "dispatched",
            "Requests sent to endpoints",
            self.dispatched.clone(),
        );
        r.register(
            "prompt_tokens",
            "Prompt tokens sent",
            self.prompt_tokens.clone(),
        );
        r.register(
            "cached_tokens",
            "Prompt tokens cached",
            self.cached_tokens.clone(),
        );
    }

    fn register_control(&mut self) {
        let r = &mut self.registry;
        r.register(
            "endpoint_polls",
            "Endpoints asked for their load",
            self.polls.clone(),
        );
        r.register(
            "config_applied",
            "Configurations put in force",
            self.applied.clone(),
        );
        r.register(
            "config_rejected",
            "Unusable heads and parts",
            self.rejected_parts.clone(),
        );
        r.register(
            "operator_refusals",
            "Operators' requests without a known key",
            self.unauthorised.clone(),
        );
        r.register(
            "operator_statements",
            "Operators' statements",
            self.statements.clone(),
        );
        let control = ControlCollector {
            sources: Arc::clone(&self.control),
        };
        r.register_collector(Box::new(control));
    }

    /// Sets the sources of control traffic; only the first call has an effect.
    pub fn set_control_sources(&self, sources: ControlSources) {
        let _ = self.control.set(sources);
    }

    /// Counts a statement by its verdict.
    pub fn record_statement(&self, verdict: Verdict) {
        let verdict = verdict.to_string();
        self.statements
            .get_or_create(&VerdictLabel { verdict })
            .inc();
    }

    /// Counts an invalid head or part.
    pub fn record_rejected_part(&self) {
        self.rejected_parts.inc();
    }

    /// Counts a refusal.
    pub fn record_refusal(&self, reason: Reason) {
        let label = ReasonLabel {
            reason: reason.code(),
        };
        self.refusals.get_or_create(&label).inc();
    }

    /// Counts a connection that brought no request.
    pub fn record_unserved(&self, reason: &'static str) {
        self.unserved.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts a retry by the reason of the failure.
    pub fn record_retry(&self, reason: Reason) {
        let label = ReasonLabel {
            reason: reason.code(),
        };
        self.retries.get_or_create(&label).inc();
    }

    /// Counts a frame that no attempt waits for.
    pub fn record_stray(&self, kind: &'static str) {
        self.stray.get_or_create(&KindLabel { kind }).inc();
    }

    /// All metrics as OpenMetrics text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string can't fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
