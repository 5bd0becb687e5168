//! Health tracking of endpoints, which decides whether each may get new work.
//!
//! A home keeps one [`EndpointStates`] for the endpoints that it admits work to.
//! It polls each about once a second, and admits work only on the answer to a
//! poll that was sent at most two seconds ago: an endpoint that is leaving or
//! can't be reached gets no new work after that. Consecutive failures open the
//! endpoint's circuit breaker before its last answer is too old. The endpoint is
//! then polled less and less often, and the breaker closes after consecutive
//! good answers. An endpoint that flaps returns more slowly each time: each
//! outage adds to a penalty that decays exponentially, as in route flap damping
//! (RFC 2439).

mod record;

use std::collections::BTreeMap;

use derive_more::Display;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::clock::Millis;
use crate::ids::EndpointId;

use record::Record;

/// Intervals and thresholds of health tracking.
#[derive(Clone, PartialEq, Debug)]
pub struct Settings {
    /// Maximum age of the last answer for new work.
    pub max_age: Millis,
    /// Time between two polls of an endpoint that answers.
    pub interval: Millis,
    /// Maximum time between two polls of an endpoint that doesn't answer.
    pub max_backoff: Millis,
    /// Consecutive failures that open the circuit breaker.
    pub failures: u32,
    /// Consecutive answers that close the circuit breaker again.
    pub answers: u32,
    /// Duration of the slow start after a first outage.
    pub slow_start: Millis,
    /// Maximum duration of a slow start.
    pub max_slow_start: Millis,
    /// Time in which the penalty for past outages decays to half.
    pub half_life: Millis,
    /// Penalty, in outages, from which an endpoint is suppressed.
    pub suppress: f64,
    /// Penalty at or below which a suppressed endpoint may return.
    pub reuse: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_age: Millis(2000),
            interval: Millis(1000),
            max_backoff: Millis(8000),
            failures: 3,
            answers: 2,
            slow_start: Millis(2000),
            max_slow_start: Millis(60_000),
            half_life: Millis(60_000),
            suppress: 4.0,
            reuse: 2.0,
        }
    }
}

/// The state of an endpoint.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
#[derive(Display)]
pub enum EndpointState {
    /// There is no recent answer.
    #[display("unknown")]
    Unknown,
    /// It accepts work.
    #[display("ready")]
    Ready,
    /// It will stop, as reported by itself or by the platform's list.
    #[display("leaving")]
    Leaving,
    /// An operator has drained it: it gets no new work.
    #[display("drained")]
    Drained,
    /// It has failed, or is suppressed because it flaps.
    #[display("unreachable")]
    Unreachable,
}

/// The state that an endpoint reports in its health response or load report.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Reported {
    /// It accepts work.
    Ready,
    /// It will stop.
    Leaving,
}

/// The state of an endpoint's VM in the platform's list.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub enum Listed {
    /// The list doesn't contain it. The list lags, so this alone doesn't stop new work.
    #[default]
    Absent,
    /// The VM is live.
    Live,
    /// The platform will remove the VM.
    Leaving,
}

/// An event for [`EndpointStates`].
#[derive(Clone, PartialEq, Debug)]
pub enum Event {
    /// Time has passed; due about every 100 ms.
    Tick,
    /// This daemon has become home to an endpoint, or its configuration has changed.
    Configured {
        /// The endpoint.
        endpoint: EndpointId,
        /// Whether an operator has drained it.
        drained: bool,
    },
    /// This daemon is no longer home to an endpoint.
    Removed(EndpointId),
    /// An endpoint has answered a poll.
    Answered {
        /// The endpoint.
        endpoint: EndpointId,
        /// When the poll was sent, which determines the age of the answer.
        sent: Millis,
        /// The reported state.
        state: Reported,
    },
    /// A poll of an endpoint has failed.
    Unanswered {
        /// The endpoint.
        endpoint: EndpointId,
        /// When the poll was sent.
        sent: Millis,
    },
    /// The state of an endpoint's VM in the platform's list.
    Listed {
        /// The endpoint.
        endpoint: EndpointId,
        /// The state.
        listed: Listed,
    },
    /// A request was sent to an endpoint.
    Dispatched {
        /// The endpoint.
        endpoint: EndpointId,
        /// Whether it reached the endpoint; a refusal for lack of capacity counts as reached.
        reached: bool,
    },
    /// This daemon was paused: earlier answers are no longer valid.
    Stale,
}

/// An action for the caller of [`EndpointStates`].
#[derive(Clone, PartialEq, Debug)]
pub enum Action {
    /// Poll the state of the endpoint.
    Poll(EndpointId),
    /// An endpoint's state has changed.
    Changed {
        /// The endpoint.
        endpoint: EndpointId,
        /// Its new state.
        state: EndpointState,
    },
}

/// Health of the endpoints that this daemon is home to.
#[derive(Clone, Debug)]
pub struct EndpointStates {
    settings: Settings,
    records: BTreeMap<EndpointId, Record>,
    rng: Pcg64Mcg,
}

impl EndpointStates {
    /// Creates an instance without endpoints; `seed` seeds the jitter of polls.
    pub fn new(seed: u64) -> Self {
        Self {
            settings: Settings::default(),
            records: BTreeMap::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Sets the intervals and thresholds.
    pub fn with_settings(mut self, settings: Settings) -> Self {
        self.settings = settings;
        self
    }

    /// Processes an event at `now` on the monotonic clock.
    pub fn handle(&mut self, event: Event, now: Millis) -> Vec<Action> {
        match event {
            Event::Tick => return self.tick(now),
            Event::Stale => self.records.values_mut().for_each(Record::discard_answer),
            Event::Removed(endpoint) => {
                self.records.remove(&endpoint);
            }
            Event::Configured { endpoint, drained } => {
                let record = self.records.entry(endpoint);
                record.or_insert_with(|| Record::new(now)).drained = drained;
            }
            Event::Answered {
                endpoint,
                sent,
                state,
            } => self.update(&endpoint, |r, s| r.answered(s, sent, state, now)),
            Event::Unanswered { endpoint, sent } => {
                self.update(&endpoint, |r, s| r.unanswered(s, sent, now));
            }
            Event::Listed { endpoint, listed } => {
                self.update(&endpoint, |r, s| r.listed(s, listed, now));
            }
            Event::Dispatched { endpoint, reached } => {
                self.update(&endpoint, |r, s| r.dispatched(s, reached, now));
            }
        }
        self.changes(now)
    }

    fn update(&mut self, endpoint: &EndpointId, change: impl FnOnce(&mut Record, &Settings)) {
        if let Some(record) = self.records.get_mut(endpoint) {
            change(record, &self.settings);
        }
    }

    fn tick(&mut self, now: Millis) -> Vec<Action> {
        let mut actions = self.changes(now);
        for (endpoint, record) in &mut self.records {
            // Jitter keeps homes from polling in lockstep.
            let jitter = self.rng.random_range(0.9..1.0);
            if record.poll_due(&self.settings, now, jitter) {
                actions.push(Action::Poll(endpoint.clone()));
            }
        }
        actions
    }

    fn changes(&mut self, now: Millis) -> Vec<Action> {
        let settings = &self.settings;
        let changed = self.records.iter_mut().filter_map(|(endpoint, record)| {
            let state = record.take_change(settings, now)?;
            let endpoint = endpoint.clone();
            Some(Action::Changed { endpoint, state })
        });
        changed.collect()
    }

    /// The state of an endpoint at `now`; `Unknown` if this daemon isn't its home.
    pub fn state(&self, endpoint: &EndpointId, now: Millis) -> EndpointState {
        let record = self.records.get(endpoint);
        record.map_or(EndpointState::Unknown, |r| r.state(&self.settings, now))
    }

    /// The share of its capacity that an endpoint may use at `now`, read just before dispatch.
    ///
    /// At zero it gets no new work; between zero and one it is in slow start.
    pub fn share(&self, endpoint: &EndpointId, now: Millis) -> f64 {
        let record = self.records.get(endpoint);
        record.map_or(0.0, |r| r.share(&self.settings, now))
    }

    /// All endpoints and their states, in the order of their names.
    pub fn states(&self, now: Millis) -> impl Iterator<Item = (&EndpointId, EndpointState)> {
        let state = move |r: &Record| r.state(&self.settings, now);
        self.records.iter().map(move |(e, r)| (e, state(r)))
    }
}
