//! Commits one change to the configuration with optimistic concurrency control.
//!
//! The change is applied to the current head, new parts are stored, and the
//! head is written on condition that its version is unchanged. If another change
//! was accepted meanwhile, this one is applied again to the new head, unless both
//! concern the same part, which is a conflict.
//!
//! A write of the head whose response is lost may still take effect later. The
//! identical write is retried until the head is read at another version, after
//! which it can't take effect any more. The outcome therefore says that nothing
//! was changed only if nothing can be changed later either, and is unknown
//! otherwise.
//!
//! A retried change may be in progress at another daemon. It is refused only
//! together with a record in the head that prevents the other daemon from
//! committing it.

mod event;
mod plan;

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use self::plan::{HeadSnapshot, Next, Plan, Task};
use super::digest::Digest;
use super::head::Head;
use crate::clock::Millis;
use crate::ids::{ChangeId, Generation};
use crate::operator::Change;

pub use event::{Accepted, Action, Conflict, Event, Outcome, Stored};

/// Pause after the first failed call; doubled with each further failure.
const INITIAL_PAUSE: Millis = Millis(50);
/// Upper bound of the pause after a failed call.
const MAX_PAUSE: Millis = Millis(2000);

/// State machine that commits one change.
#[derive(Clone, Debug)]
pub struct Committer {
    task: Task,
    started: Millis,
    wall: Millis,
    deadline: Millis,
    /// Whether the base generation is set: by the operator, or from the first head read.
    has_base: bool,
    step: Step,
    snapshot: Option<HeadSnapshot>,
    parts: BTreeMap<Digest, Bytes>,
    created: BTreeSet<Digest>,
    plan: Option<Plan>,
    /// Whether a head write with unknown result may still take effect.
    write_pending: bool,
    failures: u32,
    rng: Pcg64Mcg,
}

/// What the committer waits for.
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
    /// A change that starts at `now`, wall-clock time `wall`, with the default deadline.
    pub fn new(change: ChangeId, changes: Vec<Change>, now: Millis, wall: Millis) -> Self {
        Self {
            task: Task {
                change,
                changes,
                base: Generation(0),
                is_retry: false,
            },
            started: now,
            wall,
            deadline: now + crate::operator::answer::DEFAULT_TIMEOUT,
            has_base: false,
            step: Step::Start,
            snapshot: None,
            parts: BTreeMap::new(),
            created: BTreeSet::new(),
            plan: None,
            write_pending: false,
            failures: 0,
            rng: Pcg64Mcg::seed_from_u64(change.0 as u64),
        }
    }

    /// Sets the deadline.
    pub const fn with_deadline(mut self, deadline: Millis) -> Self {
        self.deadline = deadline;
        self
    }

    /// Sets the generation that the operator based the change on.
    pub const fn with_base(mut self, base: Generation) -> Self {
        self.task.base = base;
        self.has_base = true;
        self
    }

    /// Marks the change as requested before.
    pub const fn with_retry(mut self) -> Self {
        self.task.is_retry = true;
        self
    }

    /// Supplies parts that the daemon already has, so that they aren't read.
    pub fn with_parts(mut self, parts: impl IntoIterator<Item = Bytes>) -> Self {
        let parts = parts.into_iter();
        self.parts = parts.map(|bytes| (Digest::of(&bytes), bytes)).collect();
        self
    }

    /// The deadline; a `Timer` event is due then.
    pub const fn deadline(&self) -> Millis {
        self.deadline
    }

    /// Handles an event and returns what to do next.
    ///
    /// At most one step is in progress: a response that arrives after its call
    /// was reported as failed must be dropped.
    pub fn handle(&mut self, event: Event, now: Millis) -> Vec<Action> {
        if self.step == Step::Done {
            return Vec::new();
        }
        if now >= self.deadline && !self.is_conclusive(&event) {
            return self.time_out(&event);
        }
        match event {
            Event::Start => self.read_head(),
            Event::Timer => self.resume(now),
            Event::Head(stored) => self.head_read(stored, now),
            Event::Part(digest, bytes) => self.part_read(digest, bytes, now),
            Event::Created(digest) => self.part_created(digest),
            Event::Written => self.head_written(),
            Event::VersionMismatch => self.read_head(),
            Event::WriteUnknown => {
                self.write_pending = true;
                self.pause(now)
            }
            Event::HeadFailed | Event::PartFailed | Event::CreateUnknown | Event::WriteFailed => {
                self.pause(now)
            }
        }
    }

    /// Whether an event decides the outcome even after the deadline.
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

    fn time_out(&mut self, event: &Event) -> Vec<Action> {
        let not_applied = matches!(event, Event::VersionMismatch | Event::WriteFailed);
        let in_flight = self.step == Step::Writing && !not_applied;
        if in_flight || self.write_pending || self.task.is_retry {
            return self.finish(Outcome::Unknown);
        }
        let message = "the platform's object API didn't answer in time";
        self.finish(Outcome::Unavailable(message.into()))
    }

    fn pause(&mut self, now: Millis) -> Vec<Action> {
        let doubled = INITIAL_PAUSE.0 << self.failures.min(10);
        self.failures += 1;
        let longest = doubled.min(MAX_PAUSE.0);
        let pause = self.rng.random_range(longest / 2..=longest);
        let until = (now + Millis(pause)).min(self.deadline);
        self.step = Step::Pausing(until);
        vec![Action::Wait(until)]
    }

    fn resume(&mut self, now: Millis) -> Vec<Action> {
        match self.step {
            Step::Pausing(until) if now < until => vec![Action::Wait(until)],
            Step::Pausing(_) => self.read_head(),
            _ => Vec::new(),
        }
    }

    fn read_head(&mut self) -> Vec<Action> {
        self.step = Step::Reading;
        vec![Action::ReadHead]
    }

    fn head_read(&mut self, stored: Option<Stored>, now: Millis) -> Vec<Action> {
        if self.step != Step::Reading {
            return Vec::new();
        }
        let version = stored.as_ref().map(|stored| stored.version);
        let bytes = stored.map(|stored| stored.bytes);
        let head = match bytes.as_ref().map(|bytes| Head::read(bytes)) {
            None => Head::default(),
            Some(Ok(head)) => head,
            Some(Err(error)) => return self.finish_unavailable(error.to_string()),
        };
        if let Some(record) = head.record(self.task.change).copied() {
            let accepted = Accepted::read(record.generation, bytes.unwrap_or_default());
            return self.finish_recorded(record.void, accepted);
        }
        if self.write_pending && self.plan.as_ref().is_some_and(|p| p.version == version) {
            return self.write_head();
        }
        let previous = self.plan.as_ref().map_or(head.generation, |p| p.previous);
        if self.write_pending && !head.has_records_since(previous) {
            return self.finish(Outcome::Unknown);
        }
        // The head changed without this change, so an earlier write can't take effect any more.
        self.write_pending = false;
        if !self.has_base {
            self.has_base = true;
            self.task.base = head.generation;
        }
        self.snapshot = Some(HeadSnapshot { version, head });
        self.fetch_parts(now)
    }

    /// Finishes with the outcome that the head records for the change.
    fn finish_recorded(&mut self, void: bool, accepted: Accepted) -> Vec<Action> {
        if !void {
            return self.finish(Outcome::Accepted(accepted));
        }
        match self.plan.take().map(|plan| plan.outcome) {
            Some(outcome) if !matches!(outcome, Outcome::Accepted(_)) => self.finish(outcome),
            _ => self.finish(Outcome::Withdrawn),
        }
    }

    /// Finishes as unavailable if the change can't take effect any more, else as unknown.
    fn finish_unavailable(&mut self, message: String) -> Vec<Action> {
        if self.write_pending || self.task.is_retry {
            return self.finish(Outcome::Unknown);
        }
        self.finish(Outcome::Unavailable(message))
    }

    fn missing(&self) -> BTreeSet<Digest> {
        let head = self
            .snapshot
            .iter()
            .flat_map(|snapshot| snapshot.head.parts.values());
        let digests = head.map(|part| part.digest);
        digests
            .filter(|digest| !self.parts.contains_key(digest))
            .collect()
    }

    fn fetch_parts(&mut self, now: Millis) -> Vec<Action> {
        let missing = self.missing();
        if missing.is_empty() {
            return self.plan(now);
        }
        self.step = Step::Fetching;
        missing.into_iter().map(Action::ReadPart).collect()
    }

    fn part_read(&mut self, digest: Digest, bytes: Option<Bytes>, now: Millis) -> Vec<Action> {
        let intact = bytes.filter(|bytes| Digest::of(bytes) == digest);
        let found = intact.map(|bytes| self.parts.insert(digest, bytes));
        if self.step != Step::Fetching {
            return Vec::new();
        }
        if found.is_none() {
            // The part was swept since the head was read, or is damaged.
            return self.pause(now);
        }
        if self.missing().is_empty() {
            return self.plan(now);
        }
        Vec::new()
    }

    fn plan(&mut self, now: Millis) -> Vec<Action> {
        let Some(snapshot) = self.snapshot.as_ref() else {
            return self.read_head();
        };
        let wall = self.wall + now.since(self.started);
        match plan::plan(&self.task, snapshot, &self.parts, wall) {
            Next::Finish(Outcome::Unavailable(message)) => self.finish_unavailable(message),
            Next::Finish(outcome) => self.finish(outcome),
            Next::Write(plan) => {
                self.plan = Some(plan);
                self.create_parts()
            }
        }
    }

    fn create_parts(&mut self) -> Vec<Action> {
        let parts = self.plan.iter().flat_map(|plan| &plan.parts);
        let wanted = parts.filter(|(digest, _)| !self.created.contains(digest));
        let actions: Vec<_> = wanted
            .map(|(digest, bytes)| Action::CreatePart(*digest, bytes.clone()))
            .collect();
        if actions.is_empty() {
            return self.write_head();
        }
        self.step = Step::Creating;
        actions
    }

    fn part_created(&mut self, digest: Digest) -> Vec<Action> {
        self.created.insert(digest);
        let parts = self.plan.iter().flat_map(|plan| plan.parts.keys());
        let mut parts = parts.filter(|part| !self.created.contains(part));
        if self.step == Step::Creating && parts.next().is_none() {
            return self.write_head();
        }
        Vec::new()
    }

    fn write_head(&mut self) -> Vec<Action> {
        let Some(plan) = &self.plan else {
            return self.read_head();
        };
        self.step = Step::Writing;
        vec![Action::WriteHead {
            version: plan.version,
            bytes: plan.bytes.clone(),
        }]
    }

    fn head_written(&mut self) -> Vec<Action> {
        match self.plan.take() {
            Some(plan) => self.finish(plan.outcome),
            None => self.finish(Outcome::Unknown),
        }
    }
}
