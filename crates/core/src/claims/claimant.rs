//! The entry's side: runs a caller's keyed request at most once.
//!
//! Each requested claim gets a new number. Once a process no longer waits for
//! the answer to a number, it ignores a later grant. It can therefore report
//! "not run" for every number that is neither pending nor was granted in time,
//! without any record.

mod event;
mod keys;
mod replies;

use std::collections::{BTreeSet, HashMap};

use derive_more::Debug;

use crate::claims::answer_cache::AnswerCache;
use crate::claims::hash::KeyHash;
use crate::claims::log::{ClaimStatus, ProcessId};
use crate::claims::shutdown::NumberOutcomes;
use crate::claims::table::ClaimId;
use crate::clock::Millis;
use crate::ids::{Incarnation, RequestId};
use crate::reason::Reason;
use crate::wire::{ClaimAnswer, ClaimRequest};

use keys::{Keys, Phase};

pub use event::{Action, ClaimantLimits, Event, KeyState, KeyedRequest, RunOutcome};

/// State machine for the keyed requests of one process.
#[derive(Debug)]
pub struct Claimant {
    me: ProcessId,
    limits: ClaimantLimits,
    keys: Keys,
    answers: AnswerCache,
    /// Keys by the number of a claim or query that is waiting for its answer.
    pending: HashMap<u64, KeyHash>,
    /// Keys by the identifier of the caller's request.
    requests: HashMap<RequestId, KeyHash>,
    /// Timers of the keys, earliest first.
    timers: BTreeSet<(Millis, KeyHash)>,
    next: u64,
    stopped: bool,
    actions: Vec<Action>,
}

impl Claimant {
    /// A claimant without requests, in process `me`.
    pub fn new(me: ProcessId) -> Self {
        Self {
            me,
            limits: ClaimantLimits::default(),
            keys: Keys::default(),
            answers: AnswerCache::new(ClaimantLimits::default().answers),
            pending: HashMap::new(),
            requests: HashMap::new(),
            timers: BTreeSet::new(),
            next: 1,
            stopped: false,
            actions: Vec::new(),
        }
    }

    /// Replaces the default limits.
    pub fn with_limits(mut self, limits: ClaimantLimits) -> Self {
        self.answers = AnswerCache::new(limits.answers.clone());
        self.limits = limits;
        self
    }

    /// Handles an event at machine time `now` and returns the actions to carry out.
    pub fn handle(&mut self, event: Event, now: Millis) -> Vec<Action> {
        // Expire first, so that a late answer can't revive a claim that was given up.
        self.expire(now);
        match event {
            Event::Tick => {}
            Event::Start(keyed) => self.request(keyed, now),
            Event::Answer(answer) => self.answer(&answer, now),
            Event::ClaimRequestLost { number } => self.retry(number, now),
            Event::KeyQueried { from, query } => self.answer_key(from, &query, now),
            Event::KeyAnswer(answer) => self.key_answer(answer, now),
            Event::QueryLost { number } => self.read_shutdown_record(number),
            Event::ShutdownRecord { claimant, bytes } => {
                self.apply_shutdown_record(claimant, bytes, now);
            }
            Event::Ended { request, end } => self.ended(request, end, now),
            Event::Cancelled { request } => self.cancelled(request),
            Event::Stop => self.stop(),
        }
        std::mem::take(&mut self.actions)
    }

    /// Machine time at which the next [`Event::Tick`] is due.
    pub fn wake(&self) -> Millis {
        self.timers.first().map_or(Millis::MAX, |(due, _)| *due)
    }

    /// Size of the cached answers, in bytes.
    pub const fn cached_bytes(&self) -> u64 {
        self.answers.bytes()
    }

    /// Number of keys, pending and ended.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether there are no keys.
    pub fn is_empty(&self) -> bool {
        self.keys.len() == 0
    }

    /// Outcomes of the claims, for the shutdown record; `None` before [`Event::Stop`].
    pub fn outcomes(&self) -> Option<NumberOutcomes> {
        self.stopped.then(|| self.keys.outcomes(self.next))
    }

    fn request(&mut self, keyed: KeyedRequest, now: Millis) {
        let request = keyed.request;
        if self.stopped {
            return self.refuse(request, Reason::Stopping);
        }
        let Some(entry) = self.keys.get(&keyed.key) else {
            return self.begin(keyed, now);
        };
        if entry.keyed.digest != keyed.digest {
            return self.refuse(request, Reason::KeyReused);
        }
        let number = entry.number;
        match entry.phase {
            Phase::Claiming | Phase::Waiting | Phase::Querying { .. } | Phase::Running => {
                self.refuse(request, Reason::KeyRunning);
            }
            Phase::Unknown => self.refuse(request, Reason::KeyUnknown),
            Phase::Ran => match self.answers.get(number, now).cloned() {
                Some(answer) => self.actions.push(Action::Replay { request, answer }),
                None => self.refuse(request, Reason::KeyRan),
            },
        }
    }

    fn begin(&mut self, keyed: KeyedRequest, now: Millis) {
        let key = keyed.key;
        let until = now + self.limits.claim_timeout;
        self.requests.insert(keyed.request, key);
        self.keys.insert(keyed, until);
        self.request_claim(&key, None);
    }

    /// Requests a claim of the key under a new number.
    fn request_claim(&mut self, key: &KeyHash, abandoned: Option<ClaimId>) {
        let Some(entry) = self.keys.get_mut(key) else {
            return;
        };
        let number = self.next;
        self.next += 1;
        if entry.phase == Phase::Claiming {
            self.pending.remove(&entry.number);
        }
        self.timers.remove(&(entry.due, *key));
        entry.number = number;
        entry.due = entry.until;
        entry.phase = Phase::Claiming;
        entry.abandoned = abandoned.or(entry.abandoned);
        self.timers.insert((entry.due, *key));
        self.pending.insert(number, *key);
        let abandoned = entry.abandoned.unwrap_or(ClaimId::NONE);
        self.actions.push(Action::RequestClaim(ClaimRequest {
            ask: number,
            key: key.to_bytes(),
            digest: entry.keyed.digest.to_bytes(),
            claimant: self.me.incarnation.0,
            daemon: self.me.daemon.to_string(),
            lifetime: entry.keyed.lifetime.0,
            request: entry.keyed.request.to_bytes().to_vec().into(),
            abandoned_claimant: abandoned.claimant.0,
            abandoned_ask: abandoned.number,
        }));
    }

    fn answer(&mut self, answer: &ClaimAnswer, now: Millis) {
        if answer.asker != self.me.incarnation.0 {
            return;
        }
        let Some(key) = self.pending.get(&answer.ask).copied() else {
            return;
        };
        match ClaimStatus::from_code(answer.verdict) {
            ClaimStatus::Granted => self.granted(&key, answer.ask),
            ClaimStatus::Held => self.key_held(&key, answer),
            ClaimStatus::Reused => self.refuse_key(&key, Reason::KeyReused),
            ClaimStatus::Unavailable => self.refuse_key(&key, Reason::ClaimUnavailable),
            ClaimStatus::NotOwner => self.retry(answer.ask, now),
        }
    }

    fn granted(&mut self, key: &KeyHash, number: u64) {
        self.pending.remove(&number);
        let Some(entry) = self.keys.get_mut(key) else {
            return;
        };
        self.timers.remove(&(entry.due, *key));
        entry.phase = Phase::Running;
        let request = entry.keyed.request;
        self.actions.push(Action::Dispatch { request });
    }

    fn key_held(&mut self, key: &KeyHash, answer: &ClaimAnswer) {
        let holder = ClaimId {
            claimant: Incarnation(answer.claimant),
            number: answer.held,
        };
        if holder.claimant != self.me.incarnation {
            return self.query_holder(key, holder, &answer.daemon);
        }
        // The key isn't running here, so its claim is dead, unless its outcome was forgotten.
        if self.keys.is_forgotten(holder.number) {
            self.refuse_key(key, Reason::KeyUnknown);
        } else {
            self.request_claim(key, Some(holder));
        }
    }

    /// Gives up the current number and requests the claim again after a delay.
    fn retry(&mut self, number: u64, now: Millis) {
        let Some(key) = self.pending.remove(&number) else {
            return;
        };
        let Some(entry) = self.keys.get_mut(&key) else {
            return;
        };
        self.timers.remove(&(entry.due, key));
        entry.phase = Phase::Waiting;
        entry.due = entry.until.min(now + self.limits.retry_delay);
        self.timers.insert((entry.due, key));
    }

    fn refuse(&mut self, request: RequestId, reason: Reason) {
        self.actions.push(Action::Refuse { request, reason });
    }

    /// Removes a key that is not dispatched and refuses its request.
    fn refuse_key(&mut self, key: &KeyHash, reason: Reason) {
        if let Some(request) = self.remove_undispatched(key) {
            self.refuse(request, reason);
        }
    }

    /// Removes a key that is not dispatched; returns its request.
    fn remove_undispatched(&mut self, key: &KeyHash) -> Option<RequestId> {
        let entry = self.keys.remove(key)?;
        if entry.phase == Phase::Claiming {
            self.pending.remove(&entry.number);
        }
        if let Phase::Querying { query, .. } = entry.phase {
            self.pending.remove(&query);
        }
        self.timers.remove(&(entry.due, *key));
        self.requests.remove(&entry.keyed.request);
        Some(entry.keyed.request)
    }

    fn expire(&mut self, now: Millis) {
        self.answers.expire(now);
        self.keys.expire(now);
        while let Some((due, key)) = self.timers.first().copied()
            && due <= now
        {
            self.timers.pop_first();
            self.timer_due(&key, now);
        }
    }

    fn timer_due(&mut self, key: &KeyHash, now: Millis) {
        let Some(entry) = self.keys.get(key) else {
            return;
        };
        match entry.phase {
            Phase::Waiting if now < entry.until => self.request_claim(key, None),
            Phase::Querying { .. } => self.refuse_key(key, Reason::KeyUnknown),
            Phase::Claiming | Phase::Waiting => self.refuse_key(key, Reason::ClaimUnavailable),
            Phase::Running | Phase::Ran | Phase::Unknown => {}
        }
    }

    fn cancelled(&mut self, request: RequestId) {
        let Some(key) = self.requests.get(&request).copied() else {
            return;
        };
        let is_running = |phase| matches!(phase, Phase::Running);
        if !self.keys.get(&key).is_some_and(|e| is_running(e.phase)) {
            self.remove_undispatched(&key);
        }
    }

    fn stop(&mut self) {
        self.stopped = true;
        for key in self.keys.undispatched() {
            self.refuse_key(&key, Reason::Stopping);
        }
    }
}
