//! One endpoint: its evidence, its circuit and its damping.

use crate::clock::Millis;

use super::{EndpointState, Listed, Reported, Settings};

/// Share of its room that a returning endpoint begins with.
const FIRST_SHARE: f64 = 0.1;

/// The latest answer of an endpoint.
#[derive(Clone, Copy, PartialEq, Debug)]
struct Evidence {
    asked: Millis,
    state: Reported,
}

/// Whether failures have closed an endpoint.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Circuit {
    Closed,
    /// Open; how many good answers have come since the last failure.
    Open(u32),
}

/// What is known of one endpoint.
#[derive(Clone, PartialEq, Debug)]
pub(super) struct Record {
    pub drained: bool,
    listed: Listed,
    evidence: Option<Evidence>,
    /// When the latest question that is settled was sent, answered or not.
    settled: Millis,
    circuit: Circuit,
    /// Questions that have failed one after another.
    missed: u32,
    /// Work that has failed one after another; good answers don't excuse it.
    failures: u32,
    /// Closings less those forgiven, as of `scored`.
    score: f64,
    scored: Millis,
    /// Whether it is held back until its score has fallen.
    held: bool,
    /// When its present return began.
    returned: Option<Millis>,
    next: Millis,
    wait: Millis,
    shown: EndpointState,
}

impl Record {
    pub const fn new(now: Millis) -> Self {
        Self {
            drained: false,
            listed: Listed::Absent,
            evidence: None,
            settled: Millis::ZERO,
            circuit: Circuit::Closed,
            missed: 0,
            failures: 0,
            score: 0.0,
            scored: now,
            held: false,
            returned: None,
            next: now,
            wait: Millis::ZERO,
            shown: EndpointState::Unknown,
        }
    }

    /// Drops what was learnt before a pause.
    pub const fn forget_evidence(&mut self) {
        self.evidence = None;
        self.next = Millis::ZERO;
    }

    pub fn listed(&mut self, settings: &Settings, listed: Listed, now: Millis) {
        if listed != Listed::Live && listed != self.listed {
            self.next = now;
        }
        if self.listed == Listed::Leaving && listed != Listed::Leaving {
            self.closed(settings, now);
            self.returned = Some(now);
        }
        self.listed = listed;
    }

    /// Takes an answer; one to an older question than the latest settled says nothing.
    pub fn answered(&mut self, settings: &Settings, asked: Millis, state: Reported, now: Millis) {
        if asked < self.settled {
            return;
        }
        let left = self.evidence.is_some_and(|e| e.state == Reported::Leaving);
        self.settled = asked;
        self.evidence = Some(Evidence { asked, state });
        self.missed = 0;
        if self.wait > Millis::ZERO {
            // The next question doesn't wait as long as one to a silent endpoint would.
            self.wait = Millis::ZERO;
            self.next = self.next.min(now + settings.interval);
        }
        if left && state == Reported::Ready {
            self.closed(settings, now);
            self.returned = Some(now);
        }
        let Circuit::Open(answers) = self.circuit else {
            return;
        };
        self.circuit = Circuit::Open(answers + 1);
        if answers + 1 >= settings.answers {
            self.circuit = Circuit::Closed;
            self.returned = Some(now);
            // A first failure of work closes it again.
            self.failures = settings.failures.saturating_sub(1);
        }
    }

    pub fn unanswered(&mut self, settings: &Settings, asked: Millis, now: Millis) {
        if asked < self.settled {
            return;
        }
        self.settled = asked;
        let doubled = Millis(self.wait.0 * 2).max(settings.interval);
        self.wait = doubled.min(settings.backoff);
        self.next = self.next.max(now + self.wait);
        self.missed += 1;
        self.fail(settings, self.missed, now);
    }

    pub fn dispatched(&mut self, settings: &Settings, reached: bool, now: Millis) {
        if !reached {
            self.failures += 1;
            self.fail(settings, self.failures, now);
        } else if self.circuit == Circuit::Closed {
            self.failures = 0;
        }
    }

    /// Opens the circuit after enough failures in a row.
    fn fail(&mut self, settings: &Settings, row: u32, now: Millis) {
        match self.circuit {
            Circuit::Open(_) => self.circuit = Circuit::Open(0),
            Circuit::Closed if row >= settings.failures => {
                self.circuit = Circuit::Open(0);
                self.closed(settings, now);
            }
            Circuit::Closed => {}
        }
    }

    /// Counts a closing.
    fn closed(&mut self, settings: &Settings, now: Millis) {
        self.score = self.score_at(settings, now) + 1.0;
        self.scored = now;
        self.held = self.held || self.score >= settings.hold;
    }

    fn score_at(&self, settings: &Settings, now: Millis) -> f64 {
        self.score * now.since(self.scored).decay_factor(settings.half_life)
    }

    pub fn state(&self, settings: &Settings, now: Millis) -> EndpointState {
        let said = self.evidence.map(|e| e.state);
        if self.drained {
            return EndpointState::Drained;
        }
        if self.listed == Listed::Leaving || said == Some(Reported::Leaving) {
            return EndpointState::Leaving;
        }
        if self.circuit != Circuit::Closed || self.held {
            return EndpointState::Unreachable;
        }
        let recent = |asked| now.since(asked) <= settings.max_age;
        match self.evidence.is_some_and(|e| recent(e.asked)) {
            true => EndpointState::Ready,
            false => EndpointState::Unknown,
        }
    }

    /// The share of its room that it may be given.
    pub fn share(&self, settings: &Settings, now: Millis) -> f64 {
        if self.state(settings, now) != EndpointState::Ready {
            return 0.0;
        }
        let Some(returned) = self.returned else {
            return 1.0;
        };
        let past = (self.score - 1.0).max(0.0);
        let ramp = (settings.ramp.0 as f64 * past.exp2()).min(settings.max_ramp.0 as f64);
        let done = now.since(returned).0 as f64 / ramp;
        (FIRST_SHARE + (1.0 - FIRST_SHARE) * done).min(1.0)
    }

    /// Whether a question is due; if so, the next one is set.
    pub fn is_due(&mut self, settings: &Settings, now: Millis, jitter: f64) -> bool {
        if self.held && self.score_at(settings, now) <= settings.release {
            self.held = false;
            self.returned = Some(now);
        }
        if now < self.next {
            return false;
        }
        let wait = self.wait.max(settings.interval);
        self.next = now + Millis((wait.0 as f64 * jitter) as u64);
        true
    }

    /// The state, if it is another than was told last.
    pub fn shown_changed(&mut self, settings: &Settings, now: Millis) -> Option<EndpointState> {
        let state = self.state(settings, now);
        let changed = state != self.shown;
        self.shown = state;
        changed.then_some(state)
    }
}
