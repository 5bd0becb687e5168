//! What is known of endpoints, and whether each may be given new work.
//!
//! A home keeps one [`EndpointStates`] for the endpoints that it admits for.
//! It asks each for its state about once a second, and admits to one only on
//! an answer that was asked for less than two seconds ago: an endpoint that
//! leaves, or that can't be asked, gets no new work after that. Consecutive
//! failures close an endpoint before its evidence is too old; it is then asked
//! less and less often, and reopened by its own answers. One that comes and
//! goes comes back more slowly each time.

mod record;

use std::collections::BTreeMap;

use derive_more::Display;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::clock::Millis;
use crate::ids::EndpointId;

use record::Record;

/// Times and counts of endpoint states.
#[derive(Clone, PartialEq, Debug)]
pub struct Settings {
    /// Oldest evidence that work is dispatched on.
    pub max_age: Millis,
    /// Between two questions to an endpoint that answers.
    pub interval: Millis,
    /// Longest time between two questions to one that doesn't.
    pub backoff: Millis,
    /// Consecutive failures that close an endpoint.
    pub failures: u32,
    /// Consecutive good answers that reopen it.
    pub answers: u32,
    /// How long the first return takes to its whole share of work.
    pub ramp: Millis,
    /// Longest return.
    pub max_ramp: Millis,
    /// How long it takes until half of past closings are forgiven.
    pub half_life: Millis,
    /// Closings, less those forgiven, above which an endpoint is held back.
    pub hold: f64,
    /// Closings, less those forgiven, at which it may return.
    pub release: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_age: Millis(2000),
            interval: Millis(1000),
            backoff: Millis(8000),
            failures: 3,
            answers: 2,
            ramp: Millis(2000),
            max_ramp: Millis(60_000),
            half_life: Millis(60_000),
            hold: 4.0,
            release: 2.0,
        }
    }
}

/// The state of an endpoint.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
#[derive(Display)]
pub enum EndpointState {
    /// There is no recent evidence.
    #[display("unknown")]
    Unknown,
    /// It takes work.
    #[display("ready")]
    Ready,
    /// It will stop; said by itself or by the platform's list.
    #[display("leaving")]
    Leaving,
    /// An operator wants no new work there.
    #[display("drained")]
    Drained,
    /// It has failed, or has come and gone too often.
    #[display("unreachable")]
    Unreachable,
}

/// What an endpoint says of itself, in its health answer or load report.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Reported {
    /// It takes work.
    Ready,
    /// It will stop.
    Leaving,
}

/// What the platform's list says of an endpoint's VM.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub enum Listed {
    /// Nothing; the list lags, so this alone closes nothing.
    #[default]
    Absent,
    /// It is live.
    Live,
    /// It will be taken away.
    Leaving,
}

/// What the machine is told.
#[derive(Clone, PartialEq, Debug)]
pub enum Event {
    /// Time has passed; due every 100 ms or so.
    Tick,
    /// This daemon has become home to an endpoint, or its configuration has changed.
    Configured {
        /// The endpoint.
        endpoint: EndpointId,
        /// Whether an operator wants no new work there.
        drained: bool,
    },
    /// This daemon is no longer home to an endpoint.
    Removed(EndpointId),
    /// An endpoint has answered a question for its state.
    Answered {
        /// The endpoint.
        endpoint: EndpointId,
        /// When the question was sent; the answer is no younger evidence than that.
        asked: Millis,
        /// What it said.
        state: Reported,
    },
    /// A question for its state has failed.
    Unanswered {
        /// The endpoint.
        endpoint: EndpointId,
        /// When the question was sent.
        asked: Millis,
    },
    /// The platform's list of an endpoint's VM.
    Listed {
        /// The endpoint.
        endpoint: EndpointId,
        /// What it says.
        listed: Listed,
    },
    /// Work sent to an endpoint has reached it, or has failed at it.
    Dispatched {
        /// The endpoint.
        endpoint: EndpointId,
        /// Whether it was reached; a refusal for lack of room counts as reached.
        reached: bool,
    },
    /// This daemon was paused: no evidence from before counts.
    Stale,
}

/// What the machine asks for, or tells.
#[derive(Clone, PartialEq, Debug)]
pub enum Action {
    /// Ask the endpoint for its state.
    Ask(EndpointId),
    /// An endpoint's state has changed.
    Changed {
        /// The endpoint.
        endpoint: EndpointId,
        /// Its new state.
        state: EndpointState,
    },
}

/// The endpoints that this daemon is home to.
#[derive(Clone, Debug)]
pub struct EndpointStates {
    settings: Settings,
    records: BTreeMap<EndpointId, Record>,
    rng: Pcg64Mcg,
}

impl EndpointStates {
    /// No endpoints yet.
    pub fn new(seed: u64) -> Self {
        Self {
            settings: Settings::default(),
            records: BTreeMap::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// The same with other times.
    pub fn with_settings(mut self, settings: Settings) -> Self {
        self.settings = settings;
        self
    }

    /// Takes an event at `now` on the monotonic clock.
    pub fn handle(&mut self, event: Event, now: Millis) -> Vec<Action> {
        match event {
            Event::Tick => return self.tick(now),
            Event::Stale => self.records.values_mut().for_each(Record::forget_evidence),
            Event::Removed(endpoint) => {
                self.records.remove(&endpoint);
            }
            Event::Configured { endpoint, drained } => {
                let record = self.records.entry(endpoint);
                record.or_insert_with(|| Record::new(now)).drained = drained;
            }
            Event::Answered {
                endpoint,
                asked,
                state,
            } => self.with(&endpoint, |r, s| r.answered(s, asked, state, now)),
            Event::Unanswered { endpoint, asked } => {
                self.with(&endpoint, |r, s| r.unanswered(s, asked, now));
            }
            Event::Listed { endpoint, listed } => {
                self.with(&endpoint, |r, s| r.listed(s, listed, now));
            }
            Event::Dispatched { endpoint, reached } => {
                self.with(&endpoint, |r, s| r.dispatched(s, reached, now));
            }
        }
        self.changes(now)
    }

    fn with(&mut self, endpoint: &EndpointId, change: impl FnOnce(&mut Record, &Settings)) {
        if let Some(record) = self.records.get_mut(endpoint) {
            change(record, &self.settings);
        }
    }

    fn tick(&mut self, now: Millis) -> Vec<Action> {
        let mut actions = self.changes(now);
        for (endpoint, record) in &mut self.records {
            // Questions are spread out, so that homes don't ask in step.
            let jitter = self.rng.random_range(0.9..1.0);
            if record.is_due(&self.settings, now, jitter) {
                actions.push(Action::Ask(endpoint.clone()));
            }
        }
        actions
    }

    fn changes(&mut self, now: Millis) -> Vec<Action> {
        let settings = &self.settings;
        let changed = self.records.iter_mut().filter_map(|(endpoint, record)| {
            let state = record.shown_changed(settings, now)?;
            let endpoint = endpoint.clone();
            Some(Action::Changed { endpoint, state })
        });
        changed.collect()
    }

    /// The state of an endpoint at `now`; unknown if this daemon isn't home to it.
    pub fn state(&self, endpoint: &EndpointId, now: Millis) -> EndpointState {
        let record = self.records.get(endpoint);
        record.map_or(EndpointState::Unknown, |r| r.state(&self.settings, now))
    }

    /// The share of its room that an endpoint may be given at `now`, read just before dispatch.
    ///
    /// Zero forbids new work; less than one is an endpoint on its way back.
    pub fn share(&self, endpoint: &EndpointId, now: Millis) -> f64 {
        let record = self.records.get(endpoint);
        record.map_or(0.0, |r| r.share(&self.settings, now))
    }

    /// The endpoints and their states, in the order of their names.
    pub fn states(&self, now: Millis) -> impl Iterator<Item = (&EndpointId, EndpointState)> {
        let state = move |r: &Record| r.state(&self.settings, now);
        self.records.iter().map(move |(e, r)| (e, state(r)))
    }
}
