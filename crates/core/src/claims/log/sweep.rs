//! Deletion of objects that a checkpoint has made obsolete, a few per second.
//!
//! Deleting an object needs its version, so each pass lists the objects that
//! still exist. The sweep ends after a pass in which every deletion succeeded.

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

/// Deletes the objects in some ranges of numbers.
#[derive(Default)]
#[derive(Debug)]
pub(super) struct Sweep {
    spans: Vec<Span>,
    step: Step,
    /// Number up to which objects were listed.
    listed: u64,
    more: bool,
    to_delete: VecDeque<FoundObject>,
    /// Whether a call of this pass failed.
    failed: bool,
}

#[derive(Debug)]
struct FoundObject {
    number: u64,
    version: u64,
}

#[derive(Default)]
#[derive(Debug)]
enum Step {
    #[default]
    Done,
    Waiting(Millis),
    Listing(CallId),
    Deleting(CallId),
}

impl Sweep {
    /// Sets the ranges to delete and starts a pass.
    pub(super) fn start(&mut self, spans: Vec<Span>, now: Millis) {
        self.step = if spans.is_empty() {
            Step::Done
        } else {
            Step::Waiting(now)
        };
        self.spans = spans;
        self.restart();
    }

    fn restart(&mut self) {
        let first = self.spans.iter().map(|span| span.first).min();
        self.listed = first.unwrap_or(1).saturating_sub(1);
        self.more = true;
        self.to_delete.clear();
        self.failed = false;
    }

    pub(super) const fn wake(&self) -> Millis {
        match self.step {
            Step::Waiting(until) => until,
            _ => Millis::MAX,
        }
    }

    /// Sends the next call if it is due.
    pub(super) fn tick(&mut self, calls: &mut Calls, now: Millis) {
        let Step::Waiting(until) = self.step else {
            return;
        };
        if until > now {
            return;
        }
        self.step = match self.to_delete.pop_front() {
            Some(found) => Step::Deleting(calls.delete(found.number, found.version)),
            None => Step::Listing(calls.list(self.listed, LIST_LIMIT)),
        };
    }

    /// Whether `call` is the call in flight.
    pub(super) const fn is_own_call(&self, call: CallId) -> bool {
        match self.step {
            Step::Listing(pending) | Step::Deleting(pending) => pending.0 == call.0,
            _ => false,
        }
    }

    /// Handles a reply; `true` once all objects are known to be deleted.
    pub(super) fn reply(
        &mut self,
        reply: &Reply,
        shard: u16,
        interval: Millis,
        now: Millis,
    ) -> bool {
        let wait = match reply {
            Reply::Listed { objects, more } => {
                self.more = *more;
                for listed in objects {
                    self.add_listed(object_number(shard, &listed.key), listed.version);
                }
                Millis::ZERO
            }
            Reply::Deleted | Reply::NotFound => interval,
            _ => {
                self.failed = true;
                RETRY
            }
        };
        let is_pass_done = self.is_pass_done();
        if is_pass_done && !self.failed {
            self.step = Step::Done;
            return true;
        }
        if is_pass_done {
            self.restart();
        }
        self.step = Step::Waiting(now + wait);
        false
    }

    fn add_listed(&mut self, number: Option<u64>, version: u64) {
        let Some(number) = number else {
            return;
        };
        self.listed = self.listed.max(number);
        if self.spans.iter().any(|span| span.contains(number)) {
            self.to_delete.push_back(FoundObject { number, version });
        }
    }

    /// Whether nothing is left to delete in this pass.
    fn is_pass_done(&self) -> bool {
        let last = self.spans.iter().map(|span| span.last).max();
        self.to_delete.is_empty() && (!self.more || last.is_none_or(|last| self.listed >= last))
    }
}
