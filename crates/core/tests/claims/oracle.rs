//! What must hold of every schedule, checked as it runs.

use std::collections::{HashMap, HashSet};

use bytes::Bytes;
use medlarrill_core::claims::{
    CachedAnswer, Claim, ClaimId, ClaimStatus, ClaimantAction, Digest, KeyHash, KeyState, Table,
};
use medlarrill_core::ids::{Incarnation, RequestId};
use medlarrill_core::outcome::Outcome;
use medlarrill_core::reason::Reason;
use medlarrill_core::wire::{ClaimAnswer, ClaimRequest, KeyAnswer, KeyQuery};

/// A caller's request.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    pub key: KeyHash,
    pub digest: Digest,
    pub incarnation: Incarnation,
}

/// A dispatched request, until it is known not to have run.
#[derive(Clone, Copy, Debug)]
struct Dispatched {
    id: ClaimId,
    request: RequestId,
    sent: bool,
}

/// Sees every message and decision of all processes.
#[derive(Default)]
pub struct Oracle {
    pub violations: Vec<String>,
    requests: HashMap<RequestId, Request>,
    told: HashMap<RequestId, Outcome>,
    asked: HashMap<ClaimId, RequestId>,
    latest: HashMap<RequestId, ClaimId>,
    granted: HashMap<ClaimId, KeyHash>,
    given_up: HashSet<ClaimId>,
    dispatched: HashMap<KeyHash, Dispatched>,
    crashed: HashSet<Incarnation>,
}

impl Oracle {
    pub fn requested(&mut self, id: RequestId, request: Request) {
        self.requests.insert(id, request);
    }

    pub fn crashed(&mut self, incarnation: Incarnation) {
        self.crashed.insert(incarnation);
    }

    pub fn asked(&mut self, ask: &ClaimRequest) {
        let id = ClaimId {
            claimant: Incarnation(ask.claimant),
            number: ask.ask,
        };
        let request = RequestId::from_bytes(&ask.request).expect("a request");
        self.asked.insert(id, request);
        self.latest.insert(request, id);
        self.given_up.insert(ClaimId {
            claimant: Incarnation(ask.abandoned_claimant),
            number: ask.abandoned_ask,
        });
    }

    /// An owner's answer, as it is sent.
    pub fn answered(&mut self, claimant: Incarnation, answer: &ClaimAnswer) {
        if ClaimStatus::from_code(answer.verdict) != ClaimStatus::Granted {
            return;
        }
        let number = answer.ask;
        let id = ClaimId { claimant, number };
        let request = self.requests[&self.asked[&id]];
        self.granted.insert(id, request.key);
    }

    /// A request is dispatched; `sent` if it reaches an endpoint.
    pub fn dispatched(&mut self, request: RequestId, sent: bool) {
        let Request { key, .. } = self.requests[&request];
        let id = self.latest[&request];
        if let Some(told) = self.told.get(&request) {
            self.fail(format!("{request} dispatched after {told} was told"));
        }
        if let Some(earlier) = self.dispatched.get(&key) {
            let earlier = *earlier;
            self.fail(format!("{key} dispatched twice: {earlier:?} and {id:?}"));
        }
        if self.given_up.contains(&id) {
            self.fail(format!("{id:?} dispatched after it was given up"));
        }
        let dispatched = Dispatched { id, request, sent };
        self.dispatched.insert(key, dispatched);
    }

    /// The claimant was told that its dispatched request did not run.
    pub fn ended_not_run(&mut self, request: RequestId) {
        let Request { key, .. } = self.requests[&request];
        self.dispatched.remove(&key);
    }

    /// The body that a request's run answers.
    pub fn body(&self, request: RequestId) -> Bytes {
        let digest = self.requests[&request].digest;
        format!("{digest} by {request}").into()
    }

    /// Checks what callers and other claimants are told.
    pub fn decided(&mut self, action: &ClaimantAction) {
        match action {
            ClaimantAction::Refuse { request, reason } => self.refused(*request, *reason),
            ClaimantAction::Replay { request, answer } => self.replayed(*request, answer),
            _ => {}
        }
    }

    fn refused(&mut self, request: RequestId, reason: Reason) {
        self.tell(request, reason.outcome());
        let Request { key, .. } = self.requests[&request];
        let ran = self.dispatched.get(&key).copied();
        let is_mine = ran.is_some_and(|ran| ran.request == request);
        if reason.outcome() == Outcome::NotRun && is_mine {
            self.fail(format!("{request} told not-run, but was dispatched"));
        }
        if reason == Reason::KeyRan && !ran.is_some_and(|ran| ran.sent) {
            self.fail(format!("{request} told that its key ran, but it did not"));
        }
    }

    fn replayed(&mut self, request: RequestId, answer: &CachedAnswer) {
        self.tell(request, Outcome::Ran);
        let Request { key, digest, .. } = self.requests[&request];
        let Some(ran) = self.dispatched.get(&key).filter(|ran| ran.sent) else {
            return self.fail(format!("{request} got an answer of a key that did not run"));
        };
        let whole = self.body(ran.request);
        let is_same = digest == self.requests[&ran.request].digest;
        if answer.body != whole || !is_same {
            self.fail(format!("{request} got a foreign answer"));
        }
    }

    fn tell(&mut self, request: RequestId, outcome: Outcome) {
        if self.told.insert(request, outcome).is_some() {
            self.fail(format!("{request} answered twice"));
        }
    }

    /// A claimant's word on a key.
    pub fn key_told(&mut self, ask: &KeyQuery, answer: &KeyAnswer) {
        if KeyState::from_code(answer.state) != KeyState::NotRun {
            return;
        }
        let key = KeyHash::from_bytes(&ask.key).expect("a key");
        let id = ClaimId {
            claimant: Incarnation(ask.claimant),
            number: ask.held,
        };
        if self.dispatched.get(&key).is_some_and(|d| d.id == id) {
            self.fail(format!("{id:?} said to be not run, but was dispatched"));
        }
    }

    /// Checks a new owner's table: no granted claim may be missing.
    pub fn audit(&mut self, table: &Table) {
        let holds = |key: &KeyHash, id: &ClaimId| {
            table.get(key).is_some_and(|claim: &Claim| claim.id == *id)
        };
        let lost: Vec<_> = self
            .granted
            .iter()
            .filter(|(id, key)| !self.given_up.contains(*id) && !holds(key, id))
            .map(|(id, _)| *id)
            .collect();
        for id in lost {
            self.fail(format!("the grant {id:?} was lost"));
        }
    }

    /// Checks that every request of processes that live was answered.
    pub fn finish(&mut self) {
        let processes: HashSet<_> = self.requests.values().map(|r| r.incarnation).collect();
        for process in processes {
            if !self.crashed.contains(&process) {
                self.check_answered(process);
            }
        }
    }

    /// Checks that every request of a process was answered.
    pub fn check_answered(&mut self, process: Incarnation) {
        let is_open = |id: &RequestId| !self.told.contains_key(id);
        let open: Vec<_> = self
            .requests
            .iter()
            .filter(|(id, request)| request.incarnation == process && is_open(id))
            .map(|(id, _)| *id)
            .collect();
        for id in open {
            self.fail(format!("{id} was never answered"));
        }
    }

    /// Marks a request as answered by its own run.
    pub fn ended(&mut self, request: RequestId, outcome: Outcome) {
        self.tell(request, outcome);
    }

    pub fn fail(&mut self, violation: String) {
        self.violations.push(violation);
    }
}
