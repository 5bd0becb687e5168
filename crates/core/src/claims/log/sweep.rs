//! Deletes objects that a checkpoint has made superfluous, a few a second.
//!
//! Deleting needs the version, so each pass lists what is still there. Only a
//! pass in which every deletion was confirmed ends the work.

use std::collections::VecDeque;

use derive_more::Debug;

use crate::claims::log::calls::Calls;
use crate::claims::log::event::{CallId, Reply};
use crate::claims::record::{Span, object_number};
use crate::clock::Millis;

/// Objects listed by one call.
const LIST_LIMIT: usize = 100;

/// Delay after a failed call.
const RETRY: Millis = Millis::from_secs(5);

#[derive(Default)]
#[derive(Debug)]
pub(super) struct Sweep {
    spans: Vec<Span>,
    step: Step,
    /// Number up to which objects were listed.
    listed: u64,
    more: bool,
    found: VecDeque<Found>,
    /// Whether a deletion of this pass failed.
    failed: bool,
}

#[derive(Debug)]
struct Found {
    number: u64,
    version: u64,
}

#[derive(Default)]
#[derive(Debug)]
enum Step {
    #[default]
    Done,
    Resting(Millis),
    Listing(CallId),
    Deleting(CallId),
}

impl Sweep {
    /// Sets what is to be deleted and starts a pass.
    pub(super) fn start(&mut self, spans: Vec<Span>, now: Millis) {
        self.step = if spans.is_empty() {
            Step::Done
        } else {
            Step::Resting(now)
        };
        self.spans = spans;
        self.restart();
    }

    fn restart(&mut self) {
        let first = self.spans.iter().map(|span| span.first).min();
        self.listed = first.unwrap_or(1).saturating_sub(1);
        self.more = true;
        self.found.clear();
        self.failed = false;
    }

    pub(super) const fn wake(&self) -> Millis {
        match self.step {
            Step::Resting(until) => until,
            _ => Millis::MAX,
        }
    }

    /// Sends the next call if it is due.
    pub(super) fn tick(&mut self, calls: &mut Calls, now: Millis) {
        let Step::Resting(until) = self.step else {
            return;
        };
        if until > now {
            return;
        }
        self.step = match self.found.pop_front() {
            Some(found) => Step::Deleting(calls.delete(found.number, found.version)),
            None => Step::Listing(calls.list(self.listed, LIST_LIMIT)),
        };
    }

    /// Whether the reply is to one of its calls.
    pub(super) const fn is_waiting(&self, call: CallId) -> bool {
        match self.step {
            Step::Listing(asked) | Step::Deleting(asked) => asked.0 == call.0,
            _ => false,
        }
    }

    /// Takes a reply; `true` once all is known to be deleted.
    pub(super) fn reply(&mut self, reply: &Reply, shard: u16, pace: Millis, now: Millis) -> bool {
        let wait = match reply {
            Reply::Listed { objects, more } => {
                self.more = *more;
                for listed in objects {
                    self.note(object_number(shard, &listed.key), listed.version);
                }
                Millis::ZERO
            }
            Reply::Deleted | Reply::NotFound => pace,
            _ => {
                self.failed = true;
                RETRY
            }
        };
        let is_over = self.is_over();
        if is_over && !self.failed {
            self.step = Step::Done;
            return true;
        }
        if is_over {
            self.restart();
        }
        self.step = Step::Resting(now + wait);
        false
    }

    fn note(&mut self, number: Option<u64>, version: u64) {
        let Some(number) = number else {
            return;
        };
        self.listed = self.listed.max(number);
        if self.spans.iter().any(|span| span.contains(number)) {
            self.found.push_back(Found { number, version });
        }
    }

    /// Whether nothing is left to delete in this pass.
    fn is_over(&self) -> bool {
        let last = self.spans.iter().map(|span| span.last).max();
        self.found.is_empty() && (!self.more || last.is_none_or(|last| self.listed >= last))
    }
}
