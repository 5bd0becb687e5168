//! Counters, gauges and latency histograms, exported as OpenMetrics text.

mod accounts;

use derive_more::Debug;
use medlarrill_core::body_end::EndedBody;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::streams::lookup::Place;
use medlarrill_core::routing::work::ReadingTime;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use accounts::AccountRefusals;

/// Upper bounds of latency buckets, in seconds: from one hop to the longest timeouts.
const LATENCY_BUCKETS: [f64; 10] = [0.01, 0.03, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0];

/// Upper bounds of the buckets of ratios: from a tenth to ten times.
const RATIO_BUCKETS: [f64; 7] = [0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0];

/// Label of counters by reason.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
#[derive(EncodeLabelSet)]
pub struct ReasonLabel {
    /// Stable code of the reason.
    pub reason: &'static str,
}

/// Labels of the counter of ends of response bodies.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
#[derive(EncodeLabelSet)]
pub struct EndLabels {
    /// How the end was to be marked.
    pub framing: &'static str,
    /// How the body ended.
    pub end: &'static str,
}

/// Labels of the number of endpoints of a software version.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
#[derive(EncodeLabelSet)]
pub struct BuildLabels {
    /// The pool.
    pub pool: String,
    /// The software version.
    pub build: String,
}

/// All metrics of one daemon.
#[derive(Debug)]
pub struct Metrics {
    #[debug(skip)]
    registry: Registry,
    /// Requests received from callers.
    pub requests: Counter,
    /// Endpoints' responses that were forwarded completely to callers.
    pub answered: Counter,
    /// Requests that were refused or whose stream broke off, by reason.
    pub refusals: Family<ReasonLabel, Counter>,
    /// Requests to overloaded pools that were refused, by account and cause.
    pub account_refusals: AccountRefusals,
    /// Connections of callers that were closed unread, by what was short.
    pub unread: Family<ReasonLabel, Counter>,
    /// Failed attempts, by fault.
    pub faults: Family<ReasonLabel, Counter>,
    /// Attempts after the first, by the fault of the preceding one.
    pub retries: Family<ReasonLabel, Counter>,
    /// Failed attempts that weren't followed by another one, by the reason.
    pub obstacles: Family<ReasonLabel, Counter>,
    /// Requests whose endpoint was silent, by whether they were hedged, or why not.
    pub hedges: Family<ReasonLabel, Counter>,
    /// Streams that were resumed at another endpoint.
    pub resumed: Counter,
    /// Streams that callers took up, by who knew where they began, or why they were refused.
    pub take_ups: Family<ReasonLabel, Counter>,
    /// Streams whose first events waited for the platform's archive, by result.
    pub confirmations: Family<ReasonLabel, Counter>,
    /// Streams whose origin is remembered.
    pub streams: Gauge,
    /// Endpoints that aren't leaving, by pool and software version.
    pub builds: Family<BuildLabels, Gauge>,
    /// Response bodies of endpoints, by framing and end.
    pub ends: Family<EndLabels, Counter>,
    /// New connections to endpoints.
    pub connects: Counter,
    /// Other daemons that were asked to connect to an endpoint, by what came of it.
    pub tunnels: Family<ReasonLabel, Counter>,
    /// Calls to the platform.
    pub platform_calls: Counter,
    /// Calls to the platform without a usable response.
    pub failed_calls: Counter,
    /// Answers of the store that name an older era than an earlier one did.
    pub old_answers: Counter,
    /// Entries of the store that couldn't be decoded.
    pub unreadable: Counter,
    /// Datagrams to other daemons that couldn't be sent.
    pub unsent: Counter,
    /// Response headers of endpoints that nothing reads.
    pub unread_headers: Counter,
    /// Requests in flight.
    pub in_flight: Gauge,
    /// Open connections of callers.
    pub connections: Gauge,
    /// Version of the active configuration.
    pub config_version: Gauge,
    /// Era of the platform's store; 0 if it names none.
    pub store_era: Gauge,
    /// Known endpoints.
    pub endpoints: Gauge,
    /// Connections to endpoints that are carried for other daemons.
    pub helping: Gauge,
    /// Whether no endpoint can be reached directly: 0 or 1.
    pub cut_off: Gauge,
    /// Quarantined requests; those with one fingerprint count once.
    pub quarantined: Gauge,
    /// Requests and parts of prompts with losses that count against them.
    pub suspects: Gauge,
    /// Endpoints in slow start.
    pub slow_starts: Gauge,
    /// Drained data centres.
    pub drains: Gauge,
    /// Endpoints that currently ask for a pause without requests.
    pub pauses: Gauge,
    /// Endpoints that get no request that may run only once.
    pub outs: Gauge,
    /// Dropped log lines.
    pub log_dropped: Gauge,
    /// Seconds from a request's head to the head of its response.
    pub head_seconds: Histogram,
    /// Seconds from a request's head to the end of its response.
    pub total_seconds: Histogram,
    /// Seconds for which an endpoint with requests gave no sign of life, and then did.
    pub silence_seconds: Histogram,
    /// Time to the first output as a multiple of what was expected.
    pub reading_ratio: Histogram,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates and registers all metrics at zero.
    pub fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("medlarrill"),
            requests: Counter::default(),
            answered: Counter::default(),
            refusals: Family::default(),
            account_refusals: AccountRefusals::default(),
            unread: Family::default(),
            faults: Family::default(),
            retries: Family::default(),
            obstacles: Family::default(),
            hedges: Family::default(),
            resumed: Counter::default(),
            take_ups: Family::default(),
            confirmations: Family::default(),
            streams: Gauge::default(),
            builds: Family::default(),
            ends: Family::default(),
            connects: Counter::default(),
            tunnels: Family::default(),
            platform_calls: Counter::default(),
            failed_calls: Counter::default(),
            old_answers: Counter::default(),
            unreadable: Counter::default(),
            unsent: Counter::default(),
            unread_headers: Counter::default(),
            in_flight: Gauge::default(),
            connections: Gauge::default(),
            config_version: Gauge::default(),
            store_era: Gauge::default(),
            endpoints: Gauge::default(),
            helping: Gauge::default(),
            cut_off: Gauge::default(),
            quarantined: Gauge::default(),
            suspects: Gauge::default(),
            slow_starts: Gauge::default(),
            drains: Gauge::default(),
            pauses: Gauge::default(),
            outs: Gauge::default(),
            log_dropped: Gauge::default(),
            head_seconds: Histogram::new(LATENCY_BUCKETS),
            total_seconds: Histogram::new(LATENCY_BUCKETS),
            silence_seconds: Histogram::new(LATENCY_BUCKETS),
            reading_ratio: Histogram::new(RATIO_BUCKETS),
        };
        metrics.register_counters();
        metrics.register_platform();
        metrics.register_times();
        metrics.register_gauges();
        metrics
    }

    fn register_counters(&mut self) {
        let r = &mut self.registry;
        r.register("requests", "Requests taken", self.requests.clone());
        r.register("answered", "Answers handed on", self.answered.clone());
        r.register("refusals", "Requests refused", self.refusals.clone());
        r.register(
            "account_refusals",
            "Requests refused by overloaded pools",
            self.account_refusals.family.clone(),
        );
        r.register(
            "unread",
            "Callers' connections closed unread",
            self.unread.clone(),
        );
        r.register("faults", "Failed attempts", self.faults.clone());
        r.register("retries", "Attempts after the first", self.retries.clone());
        let obstacles = self.obstacles.clone();
        r.register("not_retried", "Failed attempts without another", obstacles);
        r.register(
            "hedges",
            "Requests hedged in a silence",
            self.hedges.clone(),
        );
        r.register("resumed", "Streams resumed", self.resumed.clone());
        let take_ups = self.take_ups.clone();
        r.register("take_ups", "Streams that callers took up", take_ups);
        let confirmations = self.confirmations.clone();
        r.register(
            "stream_confirmations",
            "Streams whose first events waited for the platform's archive",
            confirmations,
        );
        r.register("answer_ends", "Ends of answers", self.ends.clone());
        r.register(
            "connects",
            "Connections to endpoints",
            self.connects.clone(),
        );
        let tunnels = self.tunnels.clone();
        r.register("tunnels", "Daemons asked to connect", tunnels);
        let unsent = self.unsent.clone();
        r.register("unsent", "Datagrams that can't be sent", unsent);
        let unread_headers = self.unread_headers.clone();
        r.register(
            "unread_headers",
            "Headers that nothing reads",
            unread_headers,
        );
    }

    fn register_platform(&mut self) {
        let r = &mut self.registry;
        r.register(
            "calls",
            "Calls to the platform",
            self.platform_calls.clone(),
        );
        let failed = self.failed_calls.clone();
        r.register("failed_calls", "Calls to the platform that failed", failed);
        let old_answers = self.old_answers.clone();
        r.register(
            "old_answers",
            "Answers of an older era of the platform",
            old_answers,
        );
        let unreadable = self.unreadable.clone();
        r.register("unreadable", "Entries that can't be read", unreadable);
    }

    fn register_times(&mut self) {
        let r = &mut self.registry;
        let head_seconds = self.head_seconds.clone();
        r.register(
            "first_seconds",
            "Time to the head of an answer",
            head_seconds,
        );
        let total_seconds = self.total_seconds.clone();
        r.register(
            "whole_seconds",
            "Time to the end of an answer",
            total_seconds,
        );
        let silence_seconds = self.silence_seconds.clone();
        r.register(
            "silence_seconds",
            "Silences of endpoints that ended",
            silence_seconds,
        );
        let reading_ratio = self.reading_ratio.clone();
        r.register(
            "reading_ratio",
            "Time to the first output by what was expected",
            reading_ratio,
        );
    }

    fn register_gauges(&mut self) {
        let r = &mut self.registry;
        r.register("in_flight", "Requests in flight", self.in_flight.clone());
        let connections = self.connections.clone();
        r.register("connections", "Callers' connections", connections);
        r.register(
            "version",
            "Configuration in force",
            self.config_version.clone(),
        );
        let store_era = self.store_era.clone();
        r.register("store_era", "Restorations of the platform", store_era);
        r.register("endpoints", "Endpoints known", self.endpoints.clone());
        r.register("streams", "Streams remembered", self.streams.clone());
        let builds = self.builds.clone();
        r.register("builds", "Endpoints by software version", builds);
        let helping = self.helping.clone();
        r.register("helping", "Connections carried for others", helping);
        r.register("cut_off", "No endpoint is reached", self.cut_off.clone());
        let quarantined = self.quarantined.clone();
        r.register(
            "quarantined",
            "Requests and parts of prompts that are sent nowhere",
            quarantined,
        );
        let suspects = self.suspects.clone();
        r.register(
            "suspects",
            "Requests and parts of prompts that were lost with endpoints",
            suspects,
        );
        let slow_starts = self.slow_starts.clone();
        r.register("slow_starts", "Endpoints that are spared", slow_starts);
        r.register("drains", "Data centres drained", self.drains.clone());
        let pauses = self.pauses.clone();
        r.register("pauses", "Endpoints that want no requests", pauses);
        r.register("outs", "Endpoints that lose requests", self.outs.clone());
        r.register("log_dropped", "Log lines dropped", self.log_dropped.clone());
    }

    /// Increments the counter of a reason.
    pub fn count(family: &Family<ReasonLabel, Counter>, reason: &'static str) {
        family.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Increments the counter of bodies that ended like one.
    pub fn count_end(&self, ended: EndedBody) {
        let labels = EndLabels {
            framing: ended.framing.code(),
            end: ended.end.code(),
        };
        self.ends.get_or_create(&labels).inc();
    }

    /// Counts a silence of an endpoint that ended.
    pub fn observe_silence(&self, silence: Millis) {
        self.silence_seconds.observe(seconds(silence));
    }

    /// Counts how far the time to read a prompt was from what was expected.
    pub fn observe_reading(&self, time: ReadingTime) {
        let expected = time.expected.0.max(1) as f64;
        self.reading_ratio.observe(time.actual.0 as f64 / expected);
    }

    /// Sets the numbers of endpoints by pool and software version.
    pub fn set_builds(&self, counts: Vec<(Place, usize)>) {
        self.builds.clear();
        for (place, count) in counts {
            let labels = BuildLabels {
                pool: place.pool.as_str().to_owned(),
                build: place.build.as_str().to_owned(),
            };
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            self.builds.get_or_create(&labels).set(count);
        }
    }

    /// Encodes all metrics as OpenMetrics text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            log::error!(target: "metrics", "metrics: can't be encoded: {error}");
        }
        text
    }
}

/// Converts a time span to seconds, the unit of the histograms.
pub fn seconds(span: Millis) -> f64 {
    span.as_secs_f64()
}
