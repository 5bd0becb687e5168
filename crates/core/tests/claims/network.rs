//! What becomes of the machines' actions: calls, messages and runs.

use medlarrill_core::claims::{
    CachedAnswer, ClaimantAction, ClaimantEvent, LogAction, LogEvent, Reply, RunOutcome,
};
use medlarrill_core::clock::Millis;
use medlarrill_core::ids::{Incarnation, RequestId};
use medlarrill_core::wire::{ClaimRequest, KeyQuery};
use rand::RngExt;

use crate::fleet::Fleet;
use crate::platform::call_of;
use crate::steps::{Input, Item};

/// After this a driver gives up on a call.
const TIMEOUT: u64 = 60;

impl Fleet {
    pub fn log_action(&mut self, daemon: usize, action: LogAction) {
        if let LogAction::Answer {
            to,
            claimant,
            answer,
        } = action
        {
            self.oracle.answered(claimant, &answer);
            let event = ClaimantEvent::Answer(answer);
            return self.send(daemon, &to, Input::Claimant(event));
        }
        let process = self.daemons[daemon].member.incarnation;
        let call = call_of(&action).expect("a call");
        let is_write = matches!(action, LogAction::Create { .. } | LogAction::Delete { .. });
        let odds = self.odds;
        let mut reply = None;
        let at = if self.down {
            let happens = is_write && self.chance(30);
            happens.then(|| self.soon(5000))
        } else if is_write && self.chance(odds.lose_reply) {
            self.count("lost reply");
            Some(self.soon(5))
        } else if self.chance(odds.lose_call) {
            self.count("lost call");
            None
        } else if is_write && self.chance(odds.late) {
            self.count("late effect");
            Some(self.soon(12_000))
        } else {
            let effect = self.soon(6);
            reply = Some(effect + Millis(self.rng.random_range(1..6)));
            Some(effect)
        };
        if reply.is_none() {
            let at = self.now + Millis(TIMEOUT);
            let reply = Reply::Lost;
            self.push_input(daemon, at, Input::Log(LogEvent::Reply { call, reply }));
        }
        if let Some(at) = at {
            let effect = Item::Effect {
                daemon,
                process,
                action,
                reply,
            };
            self.push(at, effect);
        }
    }

    pub fn effect(
        &mut self,
        daemon: usize,
        process: Incarnation,
        action: &LogAction,
        at: Option<Millis>,
    ) {
        let reply = self.platform.carry_out(action).expect("a call");
        if reply == Reply::Deleted {
            self.counts.deletions += 1;
        }
        let call = call_of(action).expect("a call");
        if let Some(at) = at {
            let input = Input::Log(LogEvent::Reply { call, reply });
            let item = Item::Input {
                daemon,
                process: Some(process),
                input,
            };
            self.push(at, item);
        }
    }

    /// Sends a message to whichever process the daemon then is.
    fn send(&mut self, from: usize, to: &str, input: Input) {
        let to: usize = to[1..].parse().expect("a daemon");
        let is_cut = self.cuts.contains(&(from, to));
        if is_cut || self.chance(self.odds.lose_message) {
            self.count("lost message");
            return;
        }
        let most = if self.chance(10) { 3000 } else { 4 };
        let mut times = vec![self.soon(most)];
        if self.chance(self.odds.repeat_message) {
            self.count("repeated message");
            times.push(self.soon(2000));
        }
        for at in times {
            let item = Item::Input {
                daemon: to,
                process: None,
                input: input.clone(),
            };
            self.push(at, item);
        }
    }

    pub fn claimant_action(&mut self, daemon: usize, action: ClaimantAction) {
        self.oracle.decided(&action);
        match action {
            ClaimantAction::RequestClaim(ask) => self.send_ask(daemon, ask),
            ClaimantAction::Dispatch { request } => self.dispatch(daemon, request),
            ClaimantAction::Refuse { reason, .. } => {
                *self.counts.refusals.entry(reason.code()).or_default() += 1;
            }
            ClaimantAction::Replay { .. } => self.counts.replays += 1,
            ClaimantAction::QueryKey { to, query: ask } => self.ask_key(daemon, &to, ask),
            ClaimantAction::AnswerKey { to, answer } => {
                let event = ClaimantEvent::KeyAnswer(answer);
                self.send(daemon, &to, Input::Claimant(event));
            }
            ClaimantAction::ReadShutdownRecord { claimant } => {
                let bytes = self.shutdown_records.get(&claimant).cloned();
                let bytes = bytes.filter(|_| !self.down);
                let at = self.soon(10);
                let event = ClaimantEvent::ShutdownRecord { claimant, bytes };
                self.push_input(daemon, at, Input::Claimant(event));
            }
        }
    }

    fn send_ask(&mut self, daemon: usize, ask: ClaimRequest) {
        self.oracle.asked(&ask);
        let owner = format!("d{}", self.daemons[daemon].owner);
        if self.chance(5) {
            let at = self.soon(200);
            let event = ClaimantEvent::ClaimRequestLost { number: ask.ask };
            self.push_input(daemon, at, Input::Claimant(event));
        }
        self.send(daemon, &owner, Input::Ask(ask));
    }

    fn ask_key(&mut self, daemon: usize, to: &str, ask: KeyQuery) {
        if self.chance(10) {
            let at = self.soon(200);
            let event = ClaimantEvent::QueryLost { number: ask.ask };
            self.push_input(daemon, at, Input::Claimant(event));
        }
        let from = self.daemons[daemon].member.daemon.to_string();
        let event = ClaimantEvent::KeyQueried { from, query: ask };
        self.send(daemon, to, Input::Claimant(event));
    }

    fn dispatch(&mut self, daemon: usize, request: RequestId) {
        self.counts.dispatches += 1;
        let luck = self.rng.random_range(0..100);
        let is_sent = luck >= 25;
        self.oracle.dispatched(request, is_sent);
        self.daemons[daemon].running += 1;
        let end = match luck {
            0..25 => RunOutcome::NotRun,
            25..40 => RunOutcome::Unknown,
            40..50 => RunOutcome::Ran(None),
            _ => RunOutcome::Ran(Some(CachedAnswer {
                status: 200,
                headers: Vec::new(),
                body: self.oracle.body(request),
            })),
        };
        let at = self.soon(if luck % 3 == 0 { 4000 } else { 40 });
        let event = ClaimantEvent::Ended { request, end };
        self.push_input(daemon, at, Input::Claimant(event));
    }
}
