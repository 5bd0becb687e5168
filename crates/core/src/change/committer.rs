//! One change on its way to being accepted.
//!
//! The change is worked out on the head as it is, new parts are stored, and the
//! head is written on condition that it hasn't changed. If it has, the change
//! is worked out again on the new head, unless both concern the same part.
//!
//! A write of the head whose answer is lost may take effect at any later time.
//! Until the head is seen at another version, the very same write is sent
//! again; after that it can have no effect any more. So what the machine says
//! at the end is true: that nothing was changed, only if nothing can be any
//! more; otherwise that it is not known.
//!
//! A change that was asked for before may be under way at another daemon. It is
//! refused only together with a record in the head that keeps the other from
//! bringing it about.

mod event;
mod plan;

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use self::plan::{Next, Plan, Seen, Task};
use super::digest::Digest;
use super::head::Head;
use crate::clock::Millis;
use crate::ids::{ChangeId, Generation};
use crate::operator::Change;

pub use event::{Accepted, Action, Conflict, Event, Outcome, Stored};

/// First pause after a failed call.
const FIRST_PAUSE: Millis = Millis(50);
/// Longest pause after failed calls.
const LAST_PAUSE: Millis = Millis(2000);

/// A change being made.
#[derive(Clone, Debug)]
pub struct Committer {
    task: Task,
    started: Millis,
    wall: Millis,
    deadline: Millis,
    /// Whether the operator's base or the first head read has been taken.
    based: bool,
    step: Step,
    seen: Option<Seen>,
    parts: BTreeMap<Digest, Bytes>,
    created: BTreeSet<Digest>,
    plan: Option<Plan>,
    /// Whether the plan was sent and may still take effect.
    unsettled: bool,
    failures: u32,
    rng: Pcg64Mcg,
}

/// What the machine waits for.
#[derive(Clone, PartialEq, Eq, Debug)]
enum Step {
    Start,
    Reading,
    Fetching,
    Creating,
    Writing,
    Pausing(Millis),
    Done,
}

impl Committer {
    /// A change that starts now, with the wall clock's time, and ends by the deadline.
    pub fn new(change: ChangeId, changes: Vec<Change>, now: Millis, wall: Millis) -> Self {
        Self {
            task: Task {
                change,
                changes,
                base: Generation(0),
                repeat: false,
            },
            started: now,
            wall,
            deadline: now + crate::operator::answer::DEFAULT_TIMEOUT,
            based: false,
            step: Step::Start,
            seen: None,
            parts: BTreeMap::new(),
            created: BTreeSet::new(),
            plan: None,
            unsettled: false,
            failures: 0,
            rng: Pcg64Mcg::seed_from_u64(change.0 as u64),
        }
    }

    /// Sets when it has to end.
    pub const fn with_deadline(mut self, deadline: Millis) -> Self {
        self.deadline = deadline;
        self
    }

    /// Sets the generation that the operator has seen.
    pub const fn with_base(mut self, base: Generation) -> Self {
        self.task.base = base;
        self.based = true;
        self
    }

    /// Says that the change was asked for before.
    pub const fn with_retry(mut self) -> Self {
        self.task.repeat = true;
        self
    }

    /// Gives parts that are held already.
    pub fn with_parts(mut self, parts: impl IntoIterator<Item = Bytes>) -> Self {
        let parts = parts.into_iter();
        self.parts = parts.map(|bytes| (Digest::of(&bytes), bytes)).collect();
        self
    }

    /// When it has to end; a `Timer` is due then.
    pub const fn deadline(&self) -> Millis {
        self.deadline
    }

    /// Takes an event and says what to do next.
    ///
    /// At most one step is under way: an answer that comes after its call was
    /// reported lost must be dropped.
    pub fn handle(&mut self, event: Event, now: Millis) -> Vec<Action> {
        if self.step == Step::Done {
            return Vec::new();
        }
        if now >= self.deadline && !self.is_conclusive(&event) {
            return self.give_up(&event);
        }
        match event {
            Event::Start => self.read(),
            Event::Timer => self.resume(now),
            Event::Head(stored) => self.head(stored, now),
            Event::Part(digest, bytes) => self.part(digest, bytes, now),
            Event::Created(digest) => self.part_created(digest),
            Event::Written => self.written(),
            Event::VersionMismatch => self.read(),
            Event::WriteUnknown => {
                self.unsettled = true;
                self.pause(now)
            }
            Event::HeadFailed | Event::PartFailed | Event::CreateUnknown | Event::WriteFailed => {
                self.pause(now)
            }
        }
    }

    /// Whether an event settles the change whatever the time.
    fn is_conclusive(&self, event: &Event) -> bool {
        match event {
            Event::Written => true,
            Event::Head(Some(stored)) => {
                let head = Head::read(&stored.bytes);
                head.is_ok_and(|head| head.record(self.task.change).is_some())
            }
            _ => false,
        }
    }

    fn finish(&mut self, outcome: Outcome) -> Vec<Action> {
        self.step = Step::Done;
        vec![Action::Finish(outcome)]
    }

    fn give_up(&mut self, event: &Event) -> Vec<Action> {
        let surely_not = matches!(event, Event::VersionMismatch | Event::WriteFailed);
        let sent = self.step == Step::Writing && !surely_not;
        if sent || self.unsettled || self.task.repeat {
            return self.finish(Outcome::Unknown);
        }
        let message = "the platform's object API didn't answer in time";
        self.finish(Outcome::Unavailable(message.into()))
    }

    fn pause(&mut self, now: Millis) -> Vec<Action> {
        let doubled = FIRST_PAUSE.0 << self.failures.min(10);
        self.failures += 1;
        let longest = doubled.min(LAST_PAUSE.0);
        let pause = self.rng.random_range(longest / 2..=longest);
        let until = (now + Millis(pause)).min(self.deadline);
        self.step = Step::Pausing(until);
        vec![Action::Wait(until)]
    }

    fn resume(&mut self, now: Millis) -> Vec<Action> {
        match self.step {
            Step::Pausing(until) if now < until => vec![Action::Wait(until)],
            Step::Pausing(_) => self.read(),
            _ => Vec::new(),
        }
    }

    fn read(&mut self) -> Vec<Action> {
        self.step = Step::Reading;
        vec![Action::ReadHead]
    }

    fn head(&mut self, stored: Option<Stored>, now: Millis) -> Vec<Action> {
        if self.step != Step::Reading {
            return Vec::new();
        }
        let version = stored.as_ref().map(|stored| stored.version);
        let bytes = stored.map(|stored| stored.bytes);
        let head = match bytes.as_ref().map(|bytes| Head::read(bytes)) {
            None => Head::default(),
            Some(Ok(head)) => head,
            Some(Err(error)) => return self.fail(error.to_string()),
        };
        if let Some(record) = head.record(self.task.change).copied() {
            let accepted = Accepted::read(record.generation, bytes.unwrap_or_default());
            return self.recorded(record.void, accepted);
        }
        if self.unsettled && self.plan.as_ref().is_some_and(|p| p.version == version) {
            return self.write();
        }
        let before = self.plan.as_ref().map_or(head.generation, |p| p.before);
        if self.unsettled && !head.remembers_since(before) {
            return self.finish(Outcome::Unknown);
        }
        // The head has moved on without the change: what was sent can't take effect.
        self.unsettled = false;
        if !self.based {
            self.based = true;
            self.task.base = head.generation;
        }
        self.seen = Some(Seen { version, head });
        self.fetch(now)
    }

    /// Ends with what the head says of the change.
    fn recorded(&mut self, void: bool, accepted: Accepted) -> Vec<Action> {
        if !void {
            return self.finish(Outcome::Accepted(accepted));
        }
        match self.plan.take().map(|plan| plan.outcome) {
            Some(outcome) if !matches!(outcome, Outcome::Accepted(_)) => self.finish(outcome),
            _ => self.finish(Outcome::Withdrawn),
        }
    }

    /// Ends without a change, if that is certain.
    fn fail(&mut self, message: String) -> Vec<Action> {
        if self.unsettled || self.task.repeat {
            return self.finish(Outcome::Unknown);
        }
        self.finish(Outcome::Unavailable(message))
    }

    fn missing(&self) -> BTreeSet<Digest> {
        let head = self.seen.iter().flat_map(|seen| seen.head.parts.values());
        let digests = head.map(|part| part.digest);
        digests
            .filter(|digest| !self.parts.contains_key(digest))
            .collect()
    }

    fn fetch(&mut self, now: Millis) -> Vec<Action> {
        let missing = self.missing();
        if missing.is_empty() {
            return self.plan(now);
        }
        self.step = Step::Fetching;
        missing.into_iter().map(Action::ReadPart).collect()
    }

    fn part(&mut self, digest: Digest, bytes: Option<Bytes>, now: Millis) -> Vec<Action> {
        let whole = bytes.filter(|bytes| Digest::of(bytes) == digest);
        let found = whole.map(|bytes| self.parts.insert(digest, bytes));
        if self.step != Step::Fetching {
            return Vec::new();
        }
        if found.is_none() {
            // It was swept since the head was read, or is damaged.
            return self.pause(now);
        }
        if self.missing().is_empty() {
            return self.plan(now);
        }
        Vec::new()
    }

    fn plan(&mut self, now: Millis) -> Vec<Action> {
        let Some(seen) = self.seen.as_ref() else {
            return self.read();
        };
        let wall = self.wall + now.since(self.started);
        match plan::plan(&self.task, seen, &self.parts, wall) {
            Next::Finish(Outcome::Unavailable(message)) => self.fail(message),
            Next::Finish(outcome) => self.finish(outcome),
            Next::Write(plan) => {
                self.plan = Some(plan);
                self.create()
            }
        }
    }

    fn create(&mut self) -> Vec<Action> {
        let parts = self.plan.iter().flat_map(|plan| &plan.parts);
        let wanted = parts.filter(|(digest, _)| !self.created.contains(digest));
        let actions: Vec<_> = wanted
            .map(|(digest, bytes)| Action::CreatePart(*digest, bytes.clone()))
            .collect();
        if actions.is_empty() {
            return self.write();
        }
        self.step = Step::Creating;
        actions
    }

    fn part_created(&mut self, digest: Digest) -> Vec<Action> {
        self.created.insert(digest);
        let parts = self.plan.iter().flat_map(|plan| plan.parts.keys());
        let mut parts = parts.filter(|part| !self.created.contains(part));
        if self.step == Step::Creating && parts.next().is_none() {
            return self.write();
        }
        Vec::new()
    }

    fn write(&mut self) -> Vec<Action> {
        let Some(plan) = &self.plan else {
            return self.read();
        };
        self.step = Step::Writing;
        vec![Action::WriteHead {
            version: plan.version,
            bytes: plan.bytes.clone(),
        }]
    }

    fn written(&mut self) -> Vec<Action> {
        match self.plan.take() {
            Some(plan) => self.finish(plan.outcome),
            None => self.finish(Outcome::Unknown),
        }
    }
}
