//! Health of one endpoint: last answer, circuit breaker and flap damping.

use crate::clock::Millis;

use super::{EndpointState, Listed, Reported, Settings};

/// Share of its capacity at which an endpoint begins its slow start.
const INITIAL_SHARE: f64 = 0.1;

/// The latest answer of an endpoint.
#[derive(Clone, Copy, PartialEq, Debug)]
struct Answer {
    /// When the poll was sent.
    sent: Millis,
    state: Reported,
}

/// Circuit breaker: open means that the endpoint gets no work.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Circuit {
    Closed,
    /// Open, with the number of answers since the last failure.
    Open(u32),
}

/// Health of one endpoint.
#[derive(Clone, PartialEq, Debug)]
pub(super) struct Record {
    pub drained: bool,
    listed: Listed,
    answer: Option<Answer>,
    /// When the latest completed poll was sent, whether answered or failed.
    latest_sent: Millis,
    circuit: Circuit,
    /// Consecutive failed polls.
    failed_polls: u32,
    /// Consecutive failed requests; answered polls don't reset it.
    failed_requests: u32,
    /// Decaying number of outages, as of `penalty_at`.
    penalty: f64,
    penalty_at: Millis,
    /// Whether it gets no work until its penalty has decayed.
    suppressed: bool,
    /// When its latest slow start began.
    returned_at: Option<Millis>,
    next_poll: Millis,
    /// Time between polls while they fail, zero otherwise.
    backoff: Millis,
    /// The state that was last reported as changed.
    reported: EndpointState,
}

impl Record {
    pub const fn new(now: Millis) -> Self {
        Self {
            drained: false,
            listed: Listed::Absent,
            answer: None,
            latest_sent: Millis::ZERO,
            circuit: Circuit::Closed,
            failed_polls: 0,
            failed_requests: 0,
            penalty: 0.0,
            penalty_at: now,
            suppressed: false,
            returned_at: None,
            next_poll: now,
            backoff: Millis::ZERO,
            reported: EndpointState::Unknown,
        }
    }

    /// Discards the answer, since it is from before a pause of this daemon, and polls at once.
    pub const fn discard_answer(&mut self) {
        self.answer = None;
        self.next_poll = Millis::ZERO;
    }

    pub fn listed(&mut self, settings: &Settings, listed: Listed, now: Millis) {
        if listed != Listed::Live && listed != self.listed {
            self.next_poll = now;
        }
        if self.listed == Listed::Leaving && listed != Listed::Leaving {
            self.penalise(settings, now);
            self.returned_at = Some(now);
        }
        self.listed = listed;
    }

    /// Records an answer; one to an earlier poll than the latest completed one is ignored.
    pub fn answered(&mut self, settings: &Settings, sent: Millis, state: Reported, now: Millis) {
        if sent < self.latest_sent {
            return;
        }
        let was_leaving = self.answer.is_some_and(|a| a.state == Reported::Leaving);
        self.latest_sent = sent;
        self.answer = Some(Answer { sent, state });
        self.failed_polls = 0;
        if self.backoff > Millis::ZERO {
            // The endpoint answers again, so the next poll doesn't wait for the backoff.
            self.backoff = Millis::ZERO;
            self.next_poll = self.next_poll.min(now + settings.interval);
        }
        if was_leaving && state == Reported::Ready {
            self.penalise(settings, now);
            self.returned_at = Some(now);
        }
        let Circuit::Open(answers) = self.circuit else {
            return;
        };
        self.circuit = Circuit::Open(answers + 1);
        if answers + 1 >= settings.answers {
            self.circuit = Circuit::Closed;
            self.returned_at = Some(now);
            // One more failed request opens it again.
            self.failed_requests = settings.failures.saturating_sub(1);
        }
    }

    /// Records a failed poll; one earlier than the latest completed poll is ignored.
    pub fn unanswered(&mut self, settings: &Settings, sent: Millis, now: Millis) {
        if sent < self.latest_sent {
            return;
        }
        self.latest_sent = sent;
        let doubled = Millis(self.backoff.0 * 2).max(settings.interval);
        self.backoff = doubled.min(settings.max_backoff);
        self.next_poll = self.next_poll.max(now + self.backoff);
        self.failed_polls += 1;
        self.fail(settings, self.failed_polls, now);
    }

    /// Records whether a request reached the endpoint.
    pub fn dispatched(&mut self, settings: &Settings, reached: bool, now: Millis) {
        if !reached {
            self.failed_requests += 1;
            self.fail(settings, self.failed_requests, now);
        } else if self.circuit == Circuit::Closed {
            self.failed_requests = 0;
        }
    }

    /// Opens the circuit breaker after enough `consecutive` failures.
    fn fail(&mut self, settings: &Settings, consecutive: u32, now: Millis) {
        match self.circuit {
            Circuit::Open(_) => self.circuit = Circuit::Open(0),
            Circuit::Closed if consecutive >= settings.failures => {
                self.circuit = Circuit::Open(0);
                self.penalise(settings, now);
            }
            Circuit::Closed => {}
        }
    }

    /// Adds an outage to the penalty.
    fn penalise(&mut self, settings: &Settings, now: Millis) {
        self.penalty = self.penalty(settings, now) + 1.0;
        self.penalty_at = now;
        self.suppressed = self.suppressed || self.penalty >= settings.suppress;
    }

    /// The penalty, decayed up to `now`.
    fn penalty(&self, settings: &Settings, now: Millis) -> f64 {
        self.penalty * now.since(self.penalty_at).decay_factor(settings.half_life)
    }

    pub fn state(&self, settings: &Settings, now: Millis) -> EndpointState {
        let reported = self.answer.map(|a| a.state);
        if self.drained {
            return EndpointState::Drained;
        }
        if self.listed == Listed::Leaving || reported == Some(Reported::Leaving) {
            return EndpointState::Leaving;
        }
        if self.circuit != Circuit::Closed || self.suppressed {
            return EndpointState::Unreachable;
        }
        let recent = |sent| now.since(sent) <= settings.max_age;
        match self.answer.is_some_and(|a| recent(a.sent)) {
            true => EndpointState::Ready,
            false => EndpointState::Unknown,
        }
    }

    /// The share of its capacity that it may use.
    pub fn share(&self, settings: &Settings, now: Millis) -> f64 {
        if self.state(settings, now) != EndpointState::Ready {
            return 0.0;
        }
        let Some(returned_at) = self.returned_at else {
            return 1.0;
        };
        let past = (self.penalty - 1.0).max(0.0);
        let ramp =
            (settings.slow_start.0 as f64 * past.exp2()).min(settings.max_slow_start.0 as f64);
        let done = now.since(returned_at).0 as f64 / ramp;
        (INITIAL_SHARE + (1.0 - INITIAL_SHARE) * done).min(1.0)
    }

    /// Whether a poll is due; if so, schedules the next one. Also ends a suppression whose penalty has decayed.
    pub fn poll_due(&mut self, settings: &Settings, now: Millis, jitter: f64) -> bool {
        if self.suppressed && self.penalty(settings, now) <= settings.reuse {
            self.suppressed = false;
            self.returned_at = Some(now);
        }
        if now < self.next_poll {
            return false;
        }
        let interval = self.backoff.max(settings.interval);
        self.next_poll = now + Millis((interval.0 as f64 * jitter) as u64);
        true
    }

    /// The state, if it differs from the one last reported.
    pub fn take_change(&mut self, settings: &Settings, now: Millis) -> Option<EndpointState> {
        let state = self.state(settings, now);
        let changed = state != self.reported;
        self.reported = state;
        changed.then_some(state)
    }
}
