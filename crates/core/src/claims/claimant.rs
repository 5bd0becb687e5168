//! The entry's side: from a caller's keyed request to its one run.
//!
//! Each claim asked for gets a fresh number. A number is dead as soon as it is
//! no longer asked for: a grant that comes later is ignored. So a process may
//! say "not run" of every number that is neither asked for nor was granted in
//! time, without any record.

mod event;
mod keys;
mod replies;

use std::collections::{BTreeSet, HashMap};

use derive_more::Debug;

use crate::claims::farewell::Account;
use crate::claims::hash::KeyHash;
use crate::claims::held::HeldAnswers;
use crate::claims::log::{Member, Verdict};
use crate::claims::table::ClaimId;
use crate::clock::Millis;
use crate::ids::{Incarnation, RequestId};
use crate::reason::Reason;
use crate::wire::{ClaimAnswer, ClaimRequest};

use keys::{Keys, Phase};

pub use event::{Action, ClaimantLimits, End, Event, KeyState, Start};

/// Keyed requests of one process.
#[derive(Debug)]
pub struct Claimant {
    me: Member,
    limits: ClaimantLimits,
    keys: Keys,
    held: HeldAnswers,
    /// Keys by the number that is asked for.
    asks: HashMap<u64, KeyHash>,
    /// Keys by the caller's request.
    requests: HashMap<RequestId, KeyHash>,
    /// When something is due, by key.
    timers: BTreeSet<(Millis, KeyHash)>,
    next: u64,
    stopped: bool,
    actions: Vec<Action>,
}

impl Claimant {
    /// A machine for one process.
    pub fn new(me: Member) -> Self {
        Self {
            me,
            limits: ClaimantLimits::default(),
            keys: Keys::default(),
            held: HeldAnswers::new(ClaimantLimits::default().held),
            asks: HashMap::new(),
            requests: HashMap::new(),
            timers: BTreeSet::new(),
            next: 1,
            stopped: false,
            actions: Vec::new(),
        }
    }

    /// Sets limits other than the usual ones.
    pub fn with_limits(mut self, limits: ClaimantLimits) -> Self {
        self.held = HeldAnswers::new(limits.held.clone());
        self.limits = limits;
        self
    }

    /// Takes an event at machine time `now` and returns what has to be done.
    pub fn handle(&mut self, event: Event, now: Millis) -> Vec<Action> {
        // Expiry goes first: what was given up must not be revived by a late answer.
        self.expire(now);
        match event {
            Event::Tick => {}
            Event::Start(start) => self.start(start, now),
            Event::Answer(answer) => self.answer(&answer, now),
            Event::AskLost { ask } => self.retry(ask, now),
            Event::KeyAsked { from, ask } => self.key_asked(from, &ask, now),
            Event::KeyAnswer(answer) => self.key_answer(answer, now),
            Event::KeyAskLost { ask } => self.read_farewell(ask),
            Event::Farewell { claimant, bytes } => self.farewell_read(claimant, bytes, now),
            Event::Ended { request, end } => self.ended(request, end, now),
            Event::Cancelled { request } => self.cancelled(request),
            Event::Stop => self.stop(),
        }
        std::mem::take(&mut self.actions)
    }

    /// When the next [`Event::Tick`] is wanted.
    pub fn wake(&self) -> Millis {
        self.timers.first().map_or(Millis::MAX, |(due, _)| *due)
    }

    /// Bytes of answers held for callers that ask again.
    pub const fn held_bytes(&self) -> u64 {
        self.held.bytes()
    }

    /// Keys that it knows of.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether it knows of no key.
    pub fn is_empty(&self) -> bool {
        self.keys.len() == 0
    }

    /// What became of its claims, for the object that it leaves; only after [`Event::Stop`].
    pub fn account(&self) -> Option<Account> {
        self.stopped.then(|| self.keys.account(self.next))
    }

    fn start(&mut self, start: Start, now: Millis) {
        let request = start.request;
        if self.stopped {
            return self.refuse(request, Reason::Stopping);
        }
        let Some(entry) = self.keys.get(&start.key) else {
            return self.begin(start, now);
        };
        if entry.start.digest != start.digest {
            return self.refuse(request, Reason::KeyReused);
        }
        let ask = entry.ask;
        match entry.phase {
            Phase::Asking | Phase::Waiting | Phase::Inquiring { .. } | Phase::Running => {
                self.refuse(request, Reason::KeyRunning);
            }
            Phase::Unknown => self.refuse(request, Reason::KeyUnknown),
            Phase::Ran => match self.held.get(ask, now).cloned() {
                Some(answer) => self.actions.push(Action::Replay { request, answer }),
                None => self.refuse(request, Reason::KeyRan),
            },
        }
    }

    fn begin(&mut self, start: Start, now: Millis) {
        let key = start.key;
        let until = now + self.limits.claim_wait;
        self.requests.insert(start.request, key);
        self.keys.insert(start, until);
        self.ask(&key, None);
    }

    /// Asks for the key under a fresh number.
    fn ask(&mut self, key: &KeyHash, given_up: Option<ClaimId>) {
        let Some(entry) = self.keys.get_mut(key) else {
            return;
        };
        let ask = self.next;
        self.next += 1;
        if entry.phase == Phase::Asking {
            self.asks.remove(&entry.ask);
        }
        self.timers.remove(&(entry.due, *key));
        entry.ask = ask;
        entry.due = entry.until;
        entry.phase = Phase::Asking;
        entry.given_up = given_up.or(entry.given_up);
        self.timers.insert((entry.due, *key));
        self.asks.insert(ask, *key);
        let given_up = entry.given_up.unwrap_or(ClaimId::NONE);
        self.actions.push(Action::Ask(ClaimRequest {
            ask,
            key: key.to_bytes(),
            digest: entry.start.digest.to_bytes(),
            claimant: self.me.incarnation.0,
            daemon: self.me.daemon.to_string(),
            lifetime: entry.start.lifetime.0,
            request: entry.start.request.to_bytes().to_vec().into(),
            abandoned_claimant: given_up.claimant.0,
            abandoned_ask: given_up.ask,
        }));
    }

    fn answer(&mut self, answer: &ClaimAnswer, now: Millis) {
        if answer.asker != self.me.incarnation.0 {
            return;
        }
        let Some(key) = self.asks.get(&answer.ask).copied() else {
            return;
        };
        match Verdict::from_code(answer.verdict) {
            Verdict::Granted => self.granted(&key, answer.ask),
            Verdict::Held => self.found_held(&key, answer),
            Verdict::Reused => self.finish(&key, Reason::KeyReused),
            Verdict::Unavailable => self.finish(&key, Reason::ClaimUnavailable),
            Verdict::NotOwner => self.retry(answer.ask, now),
        }
    }

    fn granted(&mut self, key: &KeyHash, ask: u64) {
        self.asks.remove(&ask);
        let Some(entry) = self.keys.get_mut(key) else {
            return;
        };
        self.timers.remove(&(entry.due, *key));
        entry.phase = Phase::Running;
        let request = entry.start.request;
        self.actions.push(Action::Dispatch { request });
    }

    fn found_held(&mut self, key: &KeyHash, answer: &ClaimAnswer) {
        let holder = ClaimId {
            claimant: Incarnation(answer.claimant),
            ask: answer.held,
        };
        if holder.claimant != self.me.incarnation {
            return self.inquire(key, holder, &answer.daemon);
        }
        // The key is not running here, so its claim is dead, unless what became of it was forgotten.
        if self.keys.is_forgotten(holder.ask) {
            self.finish(key, Reason::KeyUnknown);
        } else {
            self.ask(key, Some(holder));
        }
    }

    /// Gives up the present number and asks again a little later.
    fn retry(&mut self, ask: u64, now: Millis) {
        let Some(key) = self.asks.remove(&ask) else {
            return;
        };
        let Some(entry) = self.keys.get_mut(&key) else {
            return;
        };
        self.timers.remove(&(entry.due, key));
        entry.phase = Phase::Waiting;
        entry.due = entry.until.min(now + self.limits.retry_wait);
        self.timers.insert((entry.due, key));
    }

    fn refuse(&mut self, request: RequestId, reason: Reason) {
        self.actions.push(Action::Refuse { request, reason });
    }

    /// Forgets a request that was not dispatched, and says why.
    fn finish(&mut self, key: &KeyHash, reason: Reason) {
        if let Some(request) = self.drop_pending(key) {
            self.refuse(request, reason);
        }
    }

    /// Gives up a key that is not dispatched; returns its request.
    fn drop_pending(&mut self, key: &KeyHash) -> Option<RequestId> {
        let entry = self.keys.remove(key)?;
        if entry.phase == Phase::Asking {
            self.asks.remove(&entry.ask);
        }
        if let Phase::Inquiring { inquiry, .. } = entry.phase {
            self.asks.remove(&inquiry);
        }
        self.timers.remove(&(entry.due, *key));
        self.requests.remove(&entry.start.request);
        Some(entry.start.request)
    }

    fn expire(&mut self, now: Millis) {
        self.held.expire(now);
        self.keys.expire(now);
        while let Some((due, key)) = self.timers.first().copied()
            && due <= now
        {
            self.timers.pop_first();
            self.due(&key, now);
        }
    }

    fn due(&mut self, key: &KeyHash, now: Millis) {
        let Some(entry) = self.keys.get(key) else {
            return;
        };
        match entry.phase {
            Phase::Waiting if now < entry.until => self.ask(key, None),
            Phase::Inquiring { .. } => self.finish(key, Reason::KeyUnknown),
            Phase::Asking | Phase::Waiting => self.finish(key, Reason::ClaimUnavailable),
            Phase::Running | Phase::Ran | Phase::Unknown => {}
        }
    }

    fn cancelled(&mut self, request: RequestId) {
        let Some(key) = self.requests.get(&request).copied() else {
            return;
        };
        let is_running = |phase| matches!(phase, Phase::Running);
        if !self.keys.get(&key).is_some_and(|e| is_running(e.phase)) {
            self.drop_pending(&key);
        }
    }

    fn stop(&mut self) {
        self.stopped = true;
        for key in self.keys.pending() {
            self.finish(&key, Reason::Stopping);
        }
    }
}
