//! Daemons, their network and their platform, driven by one seeded schedule.

use std::collections::BTreeMap;

use bytes::Bytes;
use medlarrill_core::claims::{
    Claimant, ClaimantAction, ClaimantEvent, ClaimantLimits, Digest, KeyedRequest, LogEvent,
    LogLimits, LogState, ProcessId, RunOutcome, ShardLog, ShutdownRecord,
};
use medlarrill_core::clock::Millis;
use medlarrill_core::ids::{Incarnation, RequestId};
use medlarrill_core::outcome::Outcome;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::bench::{WALL, key};
use crate::counts::Counts;
use crate::oracle::{Oracle, Request};
use crate::platform::Platform;
use crate::steps::{Input, Item, Odds, Step};

/// The one shard.
pub const SHARD: u16 = 3;

pub struct Daemon {
    pub member: ProcessId,
    pub log: ShardLog,
    pub claimant: Claimant,
    /// Which daemon it takes for the owner.
    pub owner: usize,
    pub paused: bool,
    /// Whether it takes in what came while it was paused.
    resuming: bool,
    stopping: bool,
    /// What came while it was paused.
    held: Vec<Input>,
    wake: Millis,
    /// How far its wall clock is off.
    skew: Millis,
    pub running: u32,
}

/// All of it.
pub struct Fleet {
    pub oracle: Oracle,
    pub counts: Counts,
    pub now: Millis,
    pub quiet: bool,
    pub platform: Platform,
    pub shutdown_records: BTreeMap<Incarnation, Bytes>,
    pub daemons: Vec<Daemon>,
    items: BTreeMap<(Millis, u64), Item>,
    pub cuts: Vec<(usize, usize)>,
    /// The owner by the latest placement.
    owner: usize,
    pub down: bool,
    pub odds: Odds,
    limits: LogLimits,
    pub rng: Pcg64,
    next: u64,
}

impl Fleet {
    pub fn new(seed: u64, daemons: usize, odds: Odds) -> Self {
        let mut rng = Pcg64::seed_from_u64(seed);
        let limits = LogLimits {
            batch_interval: Millis(20),
            checkpoint_objects: rng.random_range(2..12),
            segment_claims: rng.random_range(1..6),
            delete_interval: Millis(rng.random_range(1..60)),
            takeover_min: Millis(rng.random_range(1..500)),
            takeover_max: Millis::from_secs(5),
            ..LogLimits::default()
        };
        let mut fleet = Self {
            oracle: Oracle::default(),
            counts: Counts::default(),
            now: Millis::ZERO,
            quiet: false,
            platform: Platform::default(),
            shutdown_records: BTreeMap::new(),
            daemons: Vec::new(),
            items: BTreeMap::new(),
            cuts: Vec::new(),
            owner: 0,
            down: false,
            odds,
            limits,
            rng,
            next: 1,
        };
        for number in 0..daemons {
            let daemon = fleet.process(number);
            fleet.daemons.push(daemon);
        }
        fleet
    }

    fn process(&mut self, number: usize) -> Daemon {
        self.next += 1;
        let member = ProcessId {
            daemon: format!("d{number}").parse().expect("a name"),
            incarnation: Incarnation(1000 * self.next + number as u64),
        };
        let skew = Millis(self.rng.random_range(0..2000));
        let wall = WALL + self.now + skew;
        let log = ShardLog::new(SHARD, member.clone(), self.rng.random(), wall, self.now);
        let limits = ClaimantLimits {
            max_keys: self.rng.random_range(2..20),
            claim_timeout: Millis(self.rng.random_range(500..4000)),
            ..ClaimantLimits::default()
        };
        Daemon {
            log: log.with_limits(self.limits.clone()),
            claimant: Claimant::new(member.clone()).with_limits(limits),
            member,
            owner: 0,
            paused: false,
            resuming: false,
            stopping: false,
            held: Vec::new(),
            wake: Millis::MAX,
            skew,
            running: 0,
        }
    }

    pub fn step_at(&mut self, at: Millis, step: Step) {
        self.push(at, Item::Step(step));
    }

    pub fn push(&mut self, at: Millis, item: Item) {
        self.next += 1;
        self.items.insert((at, self.next), item);
    }

    pub fn count(&mut self, fault: &'static str) {
        *self.counts.faults.entry(fault).or_default() += 1;
    }

    pub fn chance(&mut self, percent: u32) -> bool {
        !self.quiet && self.rng.random_range(0..100) < percent
    }

    pub fn soon(&mut self, most: u64) -> Millis {
        self.now + Millis(self.rng.random_range(1..=most))
    }

    /// Runs until `end`.
    pub fn run(&mut self, end: Millis) {
        while let Some(entry) = self.items.first_entry()
            && entry.key().0 <= end
        {
            let ((at, _), item) = entry.remove_entry();
            self.now = self.now.max(at);
            match item {
                Item::Step(step) => self.step(step),
                Item::Input {
                    daemon,
                    process,
                    input,
                } => self.deliver(daemon, process, input),
                Item::Effect {
                    daemon,
                    process,
                    action,
                    reply,
                } => self.effect(daemon, process, &action, reply),
            }
        }
        self.now = end;
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Request { daemon, key, body } => self.request(daemon, key, body),
            Step::Crash(daemon) => self.replace(daemon, "crash"),
            Step::Pause(daemon) => {
                self.count("pause");
                self.daemons[daemon].paused = true;
            }
            Step::Resume(daemon) => self.resume(daemon),
            Step::Place(owner) => self.place(owner),
            Step::Outage(down) => {
                if down {
                    self.count("outage");
                }
                self.down = down;
            }
            Step::Cut { from, to, on: true } => {
                self.count("cut");
                self.cuts.push((from, to));
            }
            Step::Cut { from, to, .. } => self.cuts.retain(|cut| *cut != (from, to)),
            Step::Stop(daemon) => {
                self.count("stop");
                self.daemons[daemon].stopping = true;
                self.push_input(daemon, self.now, Input::Log(LogEvent::Assign(false)));
                let stop = Input::Claimant(ClaimantEvent::Stop);
                self.push_input(daemon, self.now, stop);
            }
            Step::Audit => self.audit(),
        }
    }

    pub fn push_input(&mut self, daemon: usize, at: Millis, input: Input) {
        let process = Some(self.daemons[daemon].member.incarnation);
        let item = Item::Input {
            daemon,
            process,
            input,
        };
        self.push(at, item);
    }

    pub fn request(&mut self, daemon: usize, number: u64, body: u8) {
        self.counts.requests += 1;
        self.next += 1;
        let request = RequestId(u128::from(self.next));
        let start = KeyedRequest {
            request,
            key: key(number),
            digest: Digest::of("POST", "/book", &[body]),
            lifetime: Millis::from_secs(3600),
        };
        let seen = Request {
            key: start.key,
            digest: start.digest,
            incarnation: self.daemons[daemon].member.incarnation,
        };
        self.oracle.requested(request, seen);
        let input = Input::Claimant(ClaimantEvent::Start(start));
        self.deliver(daemon, None, input);
    }

    pub fn place(&mut self, owner: usize) {
        self.count("placement");
        self.owner = owner;
        for daemon in 0..self.daemons.len() {
            let item = Item::Input {
                daemon,
                process: None,
                input: Input::Placement(owner),
            };
            let at = self.soon(1500);
            self.push(at, item);
        }
    }

    /// Starts a new process in place of one that is gone.
    fn replace(&mut self, number: usize, why: &'static str) {
        self.count(why);
        let owner = self.owner;
        let gone = self.daemons[number].member.incarnation;
        self.oracle.crashed(gone);
        self.count_process(number);
        self.daemons[number] = self.process(number);
        let at = self.soon(500);
        self.push_input(number, at, Input::Placement(owner));
    }

    pub fn resume(&mut self, daemon: usize) {
        self.daemons[daemon].paused = false;
        let mut held = std::mem::take(&mut self.daemons[daemon].held);
        if self.rng.random() {
            held.push(Input::Wake);
        } else {
            held.insert(0, Input::Wake);
        }
        self.daemons[daemon].resuming = true;
        for input in held {
            self.handle(daemon, input);
        }
        self.daemons[daemon].resuming = false;
        self.finish_stop(daemon);
    }

    fn deliver(&mut self, daemon: usize, process: Option<Incarnation>, input: Input) {
        let target = &mut self.daemons[daemon];
        if process.is_some_and(|process| process != target.member.incarnation) {
            return;
        }
        if !target.paused {
            return self.handle(daemon, input);
        }
        if !matches!(input, Input::Wake) {
            target.held.push(input);
        }
    }

    fn handle(&mut self, daemon: usize, input: Input) {
        let now = self.now;
        let target = &mut self.daemons[daemon];
        let wall = WALL + now + target.skew;
        let mut log_events = Vec::new();
        let mut claimant_events = Vec::new();
        match input {
            Input::Log(event) => log_events.push(event),
            Input::Ask(ask) => log_events.push(LogEvent::Request(ask)),
            Input::Claimant(event) => claimant_events.push(event),
            Input::Placement(owner) => {
                // A view that a new process takes over must not undo the last one.
                let owner = if self.quiet { self.owner } else { owner };
                target.owner = owner;
                let wanted = owner == daemon && !target.stopping;
                log_events.push(LogEvent::Assign(wanted));
            }
            Input::Wake => {
                target.wake = Millis::MAX;
                log_events.push(LogEvent::Tick { wall });
                claimant_events.push(ClaimantEvent::Tick);
            }
        }
        for event in log_events {
            for action in self.daemons[daemon].log.handle(event, now) {
                self.log_action(daemon, action);
            }
        }
        for event in claimant_events {
            self.note(daemon, &event);
            for action in self.daemons[daemon].claimant.handle(event.clone(), now) {
                if let (
                    ClaimantEvent::KeyQueried { query: ask, .. },
                    ClaimantAction::AnswerKey { answer, .. },
                ) = (&event, &action)
                {
                    self.oracle.key_told(ask, answer);
                }
                self.claimant_action(daemon, action);
            }
        }
        self.schedule_wake(daemon);
        self.finish_stop(daemon);
    }

    /// Notes what a daemon learns of the end of a run, and tells its caller.
    fn note(&mut self, daemon: usize, event: &ClaimantEvent) {
        let ClaimantEvent::Ended { request, end } = event else {
            return;
        };
        self.daemons[daemon].running -= 1;
        let outcome = match end {
            RunOutcome::Ran(_) => Outcome::Ran,
            RunOutcome::Unknown => Outcome::Unknown,
            RunOutcome::NotRun => Outcome::NotRun,
        };
        if outcome == Outcome::NotRun {
            self.oracle.ended_not_run(*request);
        }
        self.oracle.ended(*request, outcome);
    }

    fn schedule_wake(&mut self, daemon: usize) {
        let target = &self.daemons[daemon];
        let wake = target.log.wake().min(target.claimant.wake());
        let wake = wake.max(self.now + Millis(1));
        if wake < target.wake {
            self.daemons[daemon].wake = wake;
            self.push_input(daemon, wake, Input::Wake);
        }
    }

    /// Ends a process that stops in order once nothing is left to do.
    fn finish_stop(&mut self, daemon: usize) {
        let target = &self.daemons[daemon];
        let state = target.log.state();
        let is_idle = matches!(state, LogState::Idle | LogState::Fenced);
        if !target.stopping || target.resuming || target.running > 0 || !is_idle {
            return;
        }
        let Some(outcomes) = target.claimant.outcomes() else {
            return;
        };
        let process = target.member.incarnation;
        let record = ShutdownRecord::new(process, Some(outcomes), None, Millis::MAX);
        self.oracle.check_answered(process);
        if !self.down {
            self.shutdown_records.insert(process, record.to_bytes());
        }
        self.replace(daemon, "restart");
    }
}
