//! Queries between claimants about the outcome of a key that another process holds.

use bytes::Bytes;

use crate::claims::answer_cache::CachedAnswer;
use crate::claims::claimant::Claimant;
use crate::claims::claimant::event::{Action, KeyState, RunOutcome};
use crate::claims::claimant::keys::Phase;
use crate::claims::hash::KeyHash;
use crate::claims::shutdown::ShutdownRecord;
use crate::claims::table::ClaimId;
use crate::clock::Millis;
use crate::ids::{Incarnation, RequestId};
use crate::outcome::Outcome;
use crate::reason::Reason;
use crate::wire::{KeyAnswer, KeyQuery};

impl Claimant {
    /// Queries the process that holds a key.
    pub(super) fn query_holder(&mut self, key: &KeyHash, holder: ClaimId, daemon: &str) {
        let Some(entry) = self.keys.get_mut(key) else {
            return;
        };
        let query = self.next;
        self.next += 1;
        self.pending.remove(&entry.number);
        self.pending.insert(query, *key);
        entry.phase = Phase::Querying {
            query,
            holder,
            is_reading: false,
        };
        self.actions.push(Action::QueryKey {
            to: daemon.into(),
            query: KeyQuery {
                ask: query,
                key: key.to_bytes(),
                claimant: holder.claimant.0,
                held: holder.number,
                asker: self.me.incarnation.0,
            },
        });
    }

    pub(super) fn key_answer(&mut self, answer: KeyAnswer, now: Millis) {
        if answer.asker != self.me.incarnation.0 {
            return;
        }
        let Some((key, holder)) = self.pending_query(answer.ask) else {
            return;
        };
        match KeyState::from_code(answer.state) {
            KeyState::Running => self.refuse_key(&key, Reason::KeyRunning),
            KeyState::Ran => self.refuse_key(&key, Reason::KeyRan),
            KeyState::NotRun => self.claim_again(&key, holder, now),
            KeyState::Unknown => self.read_shutdown_record(answer.ask),
            KeyState::Held => {
                let Some(request) = self.remove_undispatched(&key) else {
                    return;
                };
                let answer = CachedAnswer {
                    status: u16::try_from(answer.status).unwrap_or(0),
                    headers: answer.headers,
                    body: answer.body,
                };
                self.actions.push(Action::Replay { request, answer });
            }
        }
    }

    /// Key and holder of a query to another claimant.
    fn pending_query(&self, number: u64) -> Option<(KeyHash, ClaimId)> {
        let key = self.pending.get(&number)?;
        match self.keys.get(key)?.phase {
            Phase::Querying { query, holder, .. } if query == number => Some((*key, holder)),
            _ => None,
        }
    }

    /// Requests a claim of a key again, because its holder never runs it.
    fn claim_again(&mut self, key: &KeyHash, holder: ClaimId, now: Millis) {
        let is_late = self.keys.get(key).is_none_or(|entry| entry.until <= now);
        if is_late {
            return self.refuse_key(key, Reason::ClaimUnavailable);
        }
        self.pending.retain(|_, asked| asked != key);
        self.request_claim(key, Some(holder));
    }

    /// Reads the shutdown record of a holder that can't report the outcome of the key.
    pub(super) fn read_shutdown_record(&mut self, number: u64) {
        let Some((key, holder)) = self.pending_query(number) else {
            return;
        };
        if let Some(entry) = self.keys.get_mut(&key) {
            entry.phase = Phase::Querying {
                query: number,
                holder,
                is_reading: true,
            };
        }
        let claimant = holder.claimant;
        self.actions.push(Action::ReadShutdownRecord { claimant });
    }

    pub(super) fn apply_shutdown_record(
        &mut self,
        claimant: Incarnation,
        bytes: Option<Bytes>,
        now: Millis,
    ) {
        let record = bytes.and_then(|bytes| ShutdownRecord::read(bytes).ok());
        let record = record.filter(|record| record.writer == claimant.0);
        for key in self.keys.undispatched() {
            let Some(Phase::Querying {
                holder,
                is_reading: true,
                ..
            }) = self.keys.get(&key).map(|entry| entry.phase)
            else {
                continue;
            };
            if holder.claimant != claimant {
                continue;
            }
            let outcome = record.as_ref().map(|record| record.claim(holder.number));
            match outcome.unwrap_or(Outcome::Unknown) {
                Outcome::Ran => self.refuse_key(&key, Reason::KeyRan),
                Outcome::NotRun => self.claim_again(&key, holder, now),
                Outcome::Unknown => self.refuse_key(&key, Reason::KeyUnknown),
            }
        }
    }

    /// Answers a query; reports "not run" only if this process can no longer dispatch the number.
    pub(super) fn answer_key(&mut self, from: String, query: &KeyQuery, now: Millis) {
        let mut answer = KeyAnswer {
            ask: query.ask,
            asker: query.asker,
            ..KeyAnswer::default()
        };
        let state = self.key_state(query);
        let number = KeyHash::from_bytes(&query.key)
            .ok()
            .and_then(|key| self.keys.get(&key))
            .map_or(0, |entry| entry.number);
        // The cached answer of a later claim may belong to another request.
        let is_same = number == query.held && state == KeyState::Ran;
        let held = self.answers.get(number, now).filter(|_| is_same);
        answer.state = held.map_or(state, |_| KeyState::Held).code();
        if let Some(held) = held {
            answer.status = u32::from(held.status);
            answer.headers.clone_from(&held.headers);
            answer.body = held.body.clone();
        }
        self.actions.push(Action::AnswerKey { to: from, answer });
    }

    fn key_state(&self, query: &KeyQuery) -> KeyState {
        let Ok(key) = KeyHash::from_bytes(&query.key) else {
            return KeyState::Unknown;
        };
        if query.claimant != self.me.incarnation.0 || query.held >= self.next {
            return KeyState::Unknown;
        }
        match self.keys.get(&key).map(|entry| entry.phase) {
            Some(Phase::Ran) => KeyState::Ran,
            Some(Phase::Unknown) => KeyState::Unknown,
            Some(_) => KeyState::Running,
            None if self.keys.is_forgotten(query.held) => KeyState::Unknown,
            None => KeyState::NotRun,
        }
    }

    pub(super) fn ended(&mut self, request: RequestId, end: RunOutcome, now: Millis) {
        let Some(key) = self.requests.get(&request).copied() else {
            return;
        };
        let running = self.keys.get(&key).filter(|e| e.phase == Phase::Running);
        let Some(entry) = running else {
            return;
        };
        let number = entry.number;
        let until = now + entry.keyed.lifetime;
        let max_keys = self.limits.max_keys;
        self.requests.remove(&request);
        match end {
            RunOutcome::NotRun => {
                self.keys.remove(&key);
            }
            RunOutcome::Unknown => self.keys.record_end(&key, Phase::Unknown, until, max_keys),
            RunOutcome::Ran(answer) => {
                if let Some(answer) = answer {
                    self.answers.put(number, answer, now);
                }
                self.keys.record_end(&key, Phase::Ran, until, max_keys);
            }
        }
    }
}
