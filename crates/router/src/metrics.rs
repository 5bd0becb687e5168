//! Counters and latency histograms, exported as OpenMetrics text.

use derive_more::Debug;
use medlarrill_core::clock::Millis;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Upper ends of latency buckets, in seconds: from one hop to the longest timeouts.
const LATENCIES: [f64; 10] = [0.01, 0.03, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0];

/// Label of a reason.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
#[derive(EncodeLabelSet)]
pub struct ReasonLabel {
    /// Its stable code.
    pub reason: &'static str,
}

/// Everything that one daemon counts.
#[derive(Debug)]
pub struct Metrics {
    #[debug(skip)]
    registry: Registry,
    /// Requests taken from callers.
    pub requests: Counter,
    /// Answers of endpoints handed to callers.
    pub answered: Counter,
    /// Requests refused or ended without an endpoint's answer, by reason.
    pub refusals: Family<ReasonLabel, Counter>,
    /// Failed attempts at endpoints, by fault.
    pub faults: Family<ReasonLabel, Counter>,
    /// Attempts after the first, by the fault before.
    pub retries: Family<ReasonLabel, Counter>,
    /// Streams that went on at another endpoint.
    pub resumed: Counter,
    /// New connections to endpoints.
    pub connects: Counter,
    /// Calls to the platform.
    pub calls: Counter,
    /// Calls to the platform without a usable answer.
    pub failed_calls: Counter,
    /// Entries of the store that couldn't be read.
    pub unreadable: Counter,
    /// Headers of endpoints' answers that nothing reads.
    pub unread: Counter,
    /// Requests in flight.
    pub in_flight: Gauge,
    /// Callers' connections.
    pub connections: Gauge,
    /// Version of the configuration in force.
    pub version: Gauge,
    /// Endpoints known.
    pub endpoints: Gauge,
    /// Requests that are quarantined.
    pub quarantined: Gauge,
    /// Endpoints that are spared after a start.
    pub spared: Gauge,
    /// Data centres that are drained.
    pub drains: Gauge,
    /// Endpoints that want no requests now.
    pub pauses: Gauge,
    /// Log lines that were dropped.
    pub dropped: Gauge,
    /// Seconds from a request's head to the head of its answer.
    pub first: Histogram,
    /// Seconds from a request's head to the end of its answer.
    pub whole: Histogram,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Metrics at zero.
    pub fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("medlarrill"),
            requests: Counter::default(),
            answered: Counter::default(),
            refusals: Family::default(),
            faults: Family::default(),
            retries: Family::default(),
            resumed: Counter::default(),
            connects: Counter::default(),
            calls: Counter::default(),
            failed_calls: Counter::default(),
            unreadable: Counter::default(),
            unread: Counter::default(),
            in_flight: Gauge::default(),
            connections: Gauge::default(),
            version: Gauge::default(),
            endpoints: Gauge::default(),
            quarantined: Gauge::default(),
            spared: Gauge::default(),
            drains: Gauge::default(),
            pauses: Gauge::default(),
            dropped: Gauge::default(),
            first: Histogram::new(LATENCIES),
            whole: Histogram::new(LATENCIES),
        };
        metrics.register_counters();
        metrics.register_gauges();
        metrics
    }

    fn register_counters(&mut self) {
        let r = &mut self.registry;
        r.register("requests", "Requests taken", self.requests.clone());
        r.register("answered", "Answers handed on", self.answered.clone());
        r.register("refusals", "Requests refused", self.refusals.clone());
        r.register("faults", "Failed attempts", self.faults.clone());
        r.register("retries", "Attempts after the first", self.retries.clone());
        r.register("resumed", "Streams resumed", self.resumed.clone());
        r.register(
            "connects",
            "Connections to endpoints",
            self.connects.clone(),
        );
        r.register("calls", "Calls to the platform", self.calls.clone());
        let failed = self.failed_calls.clone();
        r.register("failed_calls", "Calls to the platform that failed", failed);
        let unreadable = self.unreadable.clone();
        r.register("unreadable", "Entries that can't be read", unreadable);
        let unread = self.unread.clone();
        r.register("unread_headers", "Headers that nothing reads", unread);
        let first = self.first.clone();
        r.register("first_seconds", "Time to the head of an answer", first);
        let whole = self.whole.clone();
        r.register("whole_seconds", "Time to the end of an answer", whole);
    }

    fn register_gauges(&mut self) {
        let r = &mut self.registry;
        r.register("in_flight", "Requests in flight", self.in_flight.clone());
        let connections = self.connections.clone();
        r.register("connections", "Callers' connections", connections);
        r.register("version", "Configuration in force", self.version.clone());
        r.register("endpoints", "Endpoints known", self.endpoints.clone());
        let quarantined = self.quarantined.clone();
        r.register("quarantined", "Requests that are sent nowhere", quarantined);
        let spared = self.spared.clone();
        r.register("slow_starts", "Endpoints that are spared", spared);
        r.register("drains", "Data centres drained", self.drains.clone());
        let pauses = self.pauses.clone();
        r.register("pauses", "Endpoints that want no requests", pauses);
        r.register("log_dropped", "Log lines dropped", self.dropped.clone());
    }

    /// Counts by reason.
    pub fn count(family: &Family<ReasonLabel, Counter>, reason: &'static str) {
        family.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// All metrics as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            log::error!(target: "metrics", "metrics: can't be written: {error}");
        }
        text
    }
}

/// A time as histograms take it.
pub fn seconds(span: Millis) -> f64 {
    span.as_secs_f64()
}
