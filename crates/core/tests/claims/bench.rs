//! Several daemons' machines for one shard, with faults put in by hand.

use std::collections::VecDeque;

use bytes::Bytes;
use medlarrill_core::claims::{
    CallId, ClaimStatus, Digest, KeyHash, LogAction, LogEvent, LogLimits, ProcessId, Record, Reply,
    ShardLog, object_key,
};
use medlarrill_core::clock::Millis;
use medlarrill_core::ids::Incarnation;
use medlarrill_core::wire::{ClaimAnswer, ClaimRequest};

use crate::platform::{Platform, call_of};

/// Wall time at the start.
pub const WALL: Millis = Millis(1_700_000_000_000);

/// What happens to a call.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Fault {
    /// It takes effect, and the reply is lost.
    LoseReply,
    /// It never takes effect.
    LoseCall,
    /// It takes effect at [`Bench::release`].
    Late,
    /// It is sent at [`Bench::resume`].
    Pause,
}

/// Answer of an owner, as the test sees it.
#[derive(Clone, Debug)]
pub struct Told {
    pub ask: u64,
    pub verdict: ClaimStatus,
    pub answer: ClaimAnswer,
}

struct Paused {
    log: usize,
    call: CallId,
    action: LogAction,
}

/// The machines and their platform.
pub struct Bench {
    pub platform: Platform,
    pub logs: Vec<ShardLog>,
    pub now: Millis,
    pub told: Vec<Told>,
    /// Faults of the next writes, in order; reads and lists are not counted.
    pub faults: VecDeque<Fault>,
    /// Whether every call fails.
    pub down: bool,
    late: Vec<LogAction>,
    paused: Vec<Paused>,
}

pub fn member(number: usize) -> ProcessId {
    ProcessId {
        daemon: format!("d{number}").parse().expect("a name"),
        incarnation: Incarnation(100 + number as u64),
    }
}

pub fn key(number: u64) -> KeyHash {
    KeyHash::of(&"padkos".parse().expect("a name"), &number.to_be_bytes())
}

/// A question of claimant 500 about a key.
pub fn ask(key_number: u64, ask: u64) -> ClaimRequest {
    ClaimRequest {
        ask,
        key: key(key_number).to_bytes(),
        digest: Digest::of("POST", "/book", b"one").to_bytes(),
        claimant: 500,
        daemon: "entry".into(),
        lifetime: 3_600_000,
        request: Bytes::copy_from_slice(&[ask as u8; 16]),
        ..ClaimRequest::default()
    }
}

impl Bench {
    pub fn new(logs: usize) -> Self {
        let log = |n| ShardLog::new(3, member(n), 40 + n as u64, WALL, Millis::ZERO);
        Self {
            platform: Platform::default(),
            logs: (0..logs).map(log).collect(),
            now: Millis::ZERO,
            told: Vec::new(),
            faults: VecDeque::new(),
            down: false,
            late: Vec::new(),
            paused: Vec::new(),
        }
    }

    pub fn with_limits(mut self, limits: LogLimits) -> Self {
        let logs = std::mem::take(&mut self.logs).into_iter();
        self.logs = logs.map(|log| log.with_limits(limits.clone())).collect();
        self
    }

    pub fn own(&mut self, log: usize, wanted: bool) {
        self.event(log, LogEvent::Assign(wanted));
    }

    pub fn ask(&mut self, log: usize, ask: &ClaimRequest) {
        self.event(log, LogEvent::Request(ask.clone()));
    }

    /// Lets time pass in small steps.
    pub fn pass(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.now += Millis(10);
            for log in 0..self.logs.len() {
                let wall = WALL + self.now;
                self.event(log, LogEvent::Tick { wall });
            }
        }
    }

    /// Lets late writes take effect.
    pub fn release(&mut self) {
        for action in std::mem::take(&mut self.late) {
            self.platform.carry_out(&action);
        }
    }

    /// Sends the calls that were paused.
    pub fn resume(&mut self) {
        for Paused { log, call, action } in std::mem::take(&mut self.paused) {
            if let Some(reply) = self.platform.carry_out(&action) {
                self.event(log, LogEvent::Reply { call, reply });
            }
        }
    }

    /// The object of a number.
    pub fn record(&self, number: u64) -> Record {
        let object = &self.platform.objects[&object_key(3, number)];
        Record::read(object.bytes.clone()).expect("a record")
    }

    pub fn verdicts(&self) -> Vec<(u64, ClaimStatus)> {
        self.told
            .iter()
            .map(|told| (told.ask, told.verdict))
            .collect()
    }

    fn event(&mut self, log: usize, event: LogEvent) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            for action in self.logs[log].handle(event, self.now) {
                events.extend(self.carry_out(log, action));
            }
        }
    }

    fn carry_out(&mut self, log: usize, action: LogAction) -> Option<LogEvent> {
        if let LogAction::Answer { answer, .. } = action {
            self.told.push(Told {
                ask: answer.ask,
                verdict: ClaimStatus::from_code(answer.verdict),
                answer,
            });
            return None;
        }
        let call = call_of(&action)?;
        let is_write = matches!(action, LogAction::Create { .. });
        let fault = if is_write {
            self.faults.pop_front()
        } else {
            None
        };
        let reply = match fault {
            _ if self.down => Reply::Lost,
            None => self.platform.carry_out(&action)?,
            Some(Fault::LoseCall) => Reply::Lost,
            Some(Fault::LoseReply) => {
                self.platform.carry_out(&action)?;
                Reply::Lost
            }
            Some(Fault::Late) => {
                self.late.push(action);
                Reply::Lost
            }
            Some(Fault::Pause) => {
                self.paused.push(Paused { log, call, action });
                return None;
            }
        };
        Some(LogEvent::Reply { call, reply })
    }
}
