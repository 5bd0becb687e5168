//! Talk between claimants: what became of a key that another process holds.

use bytes::Bytes;

use crate::claims::claimant::Claimant;
use crate::claims::claimant::event::{Action, End, KeyState};
use crate::claims::claimant::keys::Phase;
use crate::claims::farewell::Farewell;
use crate::claims::hash::KeyHash;
use crate::claims::held::HeldAnswer;
use crate::claims::table::ClaimId;
use crate::clock::Millis;
use crate::ids::{Incarnation, RequestId};
use crate::outcome::Outcome;
use crate::reason::Reason;
use crate::wire::{KeyAnswer, KeyQuery};

impl Claimant {
    /// Asks the process that holds a key.
    pub(super) fn inquire(&mut self, key: &KeyHash, holder: ClaimId, daemon: &str) {
        let Some(entry) = self.keys.get_mut(key) else {
            return;
        };
        let inquiry = self.next;
        self.next += 1;
        self.asks.remove(&entry.ask);
        self.asks.insert(inquiry, *key);
        entry.phase = Phase::Inquiring {
            inquiry,
            holder,
            is_reading: false,
        };
        self.actions.push(Action::AskKey {
            to: daemon.into(),
            ask: KeyQuery {
                ask: inquiry,
                key: key.to_bytes(),
                claimant: holder.claimant.0,
                held: holder.ask,
                asker: self.me.incarnation.0,
            },
        });
    }

    pub(super) fn key_answer(&mut self, answer: KeyAnswer, now: Millis) {
        if answer.asker != self.me.incarnation.0 {
            return;
        }
        let Some((key, holder)) = self.inquiry(answer.ask) else {
            return;
        };
        match KeyState::from_code(answer.state) {
            KeyState::Running => self.finish(&key, Reason::KeyRunning),
            KeyState::Ran => self.finish(&key, Reason::KeyRan),
            KeyState::NotRun => self.ask_instead(&key, holder, now),
            KeyState::Unknown => self.read_farewell(answer.ask),
            KeyState::Held => {
                let Some(request) = self.drop_pending(&key) else {
                    return;
                };
                let answer = HeldAnswer {
                    status: u16::try_from(answer.status).unwrap_or(0),
                    headers: answer.headers,
                    body: answer.body,
                };
                self.actions.push(Action::Replay { request, answer });
            }
        }
    }

    /// Key and holder of a question to another claimant.
    fn inquiry(&self, ask: u64) -> Option<(KeyHash, ClaimId)> {
        let key = self.asks.get(&ask)?;
        match self.keys.get(key)?.phase {
            Phase::Inquiring {
                inquiry, holder, ..
            } if inquiry == ask => Some((*key, holder)),
            _ => None,
        }
    }

    /// Asks for a key whose holder never runs it.
    fn ask_instead(&mut self, key: &KeyHash, holder: ClaimId, now: Millis) {
        let is_late = self.keys.get(key).is_none_or(|entry| entry.until <= now);
        if is_late {
            return self.finish(key, Reason::ClaimUnavailable);
        }
        self.asks.retain(|_, asked| asked != key);
        self.ask(key, Some(holder));
    }

    /// Looks for the last word of a holder that can't say what became of the key.
    pub(super) fn read_farewell(&mut self, ask: u64) {
        let Some((key, holder)) = self.inquiry(ask) else {
            return;
        };
        if let Some(entry) = self.keys.get_mut(&key) {
            entry.phase = Phase::Inquiring {
                inquiry: ask,
                holder,
                is_reading: true,
            };
        }
        let claimant = holder.claimant;
        self.actions.push(Action::ReadFarewell { claimant });
    }

    pub(super) fn farewell_read(
        &mut self,
        claimant: Incarnation,
        bytes: Option<Bytes>,
        now: Millis,
    ) {
        let farewell = bytes.and_then(|bytes| Farewell::read(bytes).ok());
        let farewell = farewell.filter(|f| f.writer == claimant.0);
        for key in self.keys.pending() {
            let Some(Phase::Inquiring {
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
            let outcome = farewell.as_ref().map(|f| f.claim(holder.ask));
            match outcome.unwrap_or(Outcome::Unknown) {
                Outcome::Ran => self.finish(&key, Reason::KeyRan),
                Outcome::NotRun => self.ask_instead(&key, holder, now),
                Outcome::Unknown => self.finish(&key, Reason::KeyUnknown),
            }
        }
    }

    /// Answers another daemon; "not run" only of a number that this process can't dispatch any more.
    pub(super) fn key_asked(&mut self, from: String, ask: &KeyQuery, now: Millis) {
        let mut answer = KeyAnswer {
            ask: ask.ask,
            asker: ask.asker,
            ..KeyAnswer::default()
        };
        let state = self.key_state(ask);
        let number = KeyHash::from_bytes(&ask.key)
            .ok()
            .and_then(|key| self.keys.get(&key))
            .map_or(0, |entry| entry.ask);
        // The answer of a later claim may be to another request.
        let is_same = number == ask.held && state == KeyState::Ran;
        let held = self.held.get(number, now).filter(|_| is_same);
        answer.state = held.map_or(state, |_| KeyState::Held).code();
        if let Some(held) = held {
            answer.status = u32::from(held.status);
            answer.headers.clone_from(&held.headers);
            answer.body = held.body.clone();
        }
        self.actions.push(Action::TellKey { to: from, answer });
    }

    fn key_state(&self, ask: &KeyQuery) -> KeyState {
        let Ok(key) = KeyHash::from_bytes(&ask.key) else {
            return KeyState::Unknown;
        };
        if ask.claimant != self.me.incarnation.0 || ask.held >= self.next {
            return KeyState::Unknown;
        }
        match self.keys.get(&key).map(|entry| entry.phase) {
            Some(Phase::Ran) => KeyState::Ran,
            Some(Phase::Unknown) => KeyState::Unknown,
            Some(_) => KeyState::Running,
            None if self.keys.is_forgotten(ask.held) => KeyState::Unknown,
            None => KeyState::NotRun,
        }
    }

    pub(super) fn ended(&mut self, request: RequestId, end: End, now: Millis) {
        let Some(key) = self.requests.get(&request).copied() else {
            return;
        };
        let running = self.keys.get(&key).filter(|e| e.phase == Phase::Running);
        let Some(entry) = running else {
            return;
        };
        let ask = entry.ask;
        let until = now + entry.start.lifetime;
        let most = self.limits.keys;
        self.requests.remove(&request);
        match end {
            End::NotRun => {
                self.keys.remove(&key);
            }
            End::Unknown => self.keys.end(&key, Phase::Unknown, until, most),
            End::Ran(answer) => {
                if let Some(answer) = answer {
                    self.held.put(ask, answer, now);
                }
                self.keys.end(&key, Phase::Ran, until, most);
            }
        }
    }
}
