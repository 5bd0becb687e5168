//! Reads a chain up to its last object.
//!
//! The last object contains the number of the latest checkpoint, which in turn
//! lists the earlier checkpoints that it retains. Other objects before the
//! latest checkpoint are obsolete and are not read.

use std::collections::{BTreeMap, HashMap, VecDeque};

use derive_more::Debug;

use crate::claims::chain::Chain;
use crate::claims::log::calls::Calls;
use crate::claims::log::event::{CallId, ListedObject, Reply};
use crate::claims::record::{Body, Record, object_number};
use crate::clock::Millis;

/// Objects listed by one call.
const LIST_LIMIT: usize = 1000;

/// Largest number of concurrent reads.
const WINDOW: usize = 8;

/// A read of a chain in progress.
#[derive(Debug)]
pub(super) struct Reader {
    /// Number up to which objects were listed.
    listed: u64,
    step: Step,
    chain: Chain,
    /// Numbers of objects still to be requested.
    to_read: VecDeque<u64>,
    /// Numbers of objects to apply to the chain, in order.
    to_apply: VecDeque<u64>,
    records: BTreeMap<u64, Record>,
    pending: HashMap<CallId, u64>,
    next_call: Millis,
}

#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
enum Step {
    List,
    Listing(CallId),
    /// Reads the last object, then the latest checkpoint.
    LastAndBase,
    /// Reads the remaining objects of the chain.
    Remaining {
        base: u64,
    },
}

/// Progress of a reader.
#[derive(Debug)]
pub(super) enum Progress {
    Pending,
    Done(Chain),
    /// Objects were deleted meanwhile: the read has to start over.
    Restart,
    /// An object can't be decoded.
    Unreadable,
}

impl Reader {
    /// A reader that sends its first call at machine time `at`.
    pub(super) fn new(at: Millis) -> Self {
        Self {
            listed: 0,
            step: Step::List,
            chain: Chain::new(),
            to_read: VecDeque::new(),
            to_apply: VecDeque::new(),
            records: BTreeMap::new(),
            pending: HashMap::new(),
            next_call: at,
        }
    }

    pub(super) fn wake(&self) -> Millis {
        if self.step == Step::List || !self.to_read.is_empty() {
            self.next_call
        } else {
            Millis::MAX
        }
    }

    /// Sends the calls that are due.
    pub(super) fn tick(&mut self, calls: &mut Calls, now: Millis) {
        if self.next_call > now {
            return;
        }
        if self.step == Step::List {
            self.step = Step::Listing(calls.list(self.listed, LIST_LIMIT));
        }
        while self.pending.len() < WINDOW {
            let Some(number) = self.to_read.pop_front() else {
                break;
            };
            self.pending.insert(calls.read(number), number);
        }
    }

    pub(super) fn reply(
        &mut self,
        call: CallId,
        reply: Reply,
        calls: &mut Calls,
        now: Millis,
    ) -> Progress {
        if self.step == Step::Listing(call) {
            return self.reply_list(reply, calls, now);
        }
        let Some(number) = self.pending.remove(&call) else {
            return Progress::Pending;
        };
        match reply {
            Reply::Found(bytes) => {
                calls.record_success();
                let Ok(record) = Record::read(bytes) else {
                    return Progress::Unreadable;
                };
                self.records.insert(number, record);
                self.proceed()
            }
            Reply::NotFound => Progress::Restart,
            _ => {
                self.to_read.push_front(number);
                self.next_call = calls.record_failure(now);
                Progress::Pending
            }
        }
    }

    fn reply_list(&mut self, reply: Reply, calls: &mut Calls, now: Millis) -> Progress {
        let Reply::Listed { objects, more } = reply else {
            self.step = Step::List;
            self.next_call = calls.record_failure(now);
            return Progress::Pending;
        };
        calls.record_success();
        let number = |listed: &ListedObject| object_number(calls.shard(), &listed.key);
        if let Some(last) = objects.iter().filter_map(number).max() {
            self.listed = last;
        }
        if more {
            self.step = Step::List;
            return Progress::Pending;
        }
        if self.listed == 0 {
            return Progress::Done(std::mem::take(&mut self.chain));
        }
        self.step = Step::LastAndBase;
        self.to_read.push_back(self.listed);
        Progress::Pending
    }

    fn proceed(&mut self) -> Progress {
        if self.step == Step::LastAndBase && !self.plan_reads() {
            return Progress::Restart;
        }
        let Step::Remaining { base } = self.step else {
            return Progress::Pending;
        };
        while let Some(number) = self.to_apply.front().copied() {
            let Some(record) = self.records.remove(&number) else {
                return Progress::Pending;
            };
            self.to_apply.pop_front();
            let applied = if number < base {
                self.chain.apply_retained(number, &record)
            } else {
                self.chain.apply(number, &record)
            };
            if applied.is_err() {
                return Progress::Restart;
            }
        }
        Progress::Done(std::mem::take(&mut self.chain))
    }

    /// Determines which objects to read; `false` if the object at `base` is not a checkpoint.
    fn plan_reads(&mut self) -> bool {
        let Some(last) = self.records.get(&self.listed) else {
            return true;
        };
        let base = last.base;
        let mut numbers = Vec::new();
        if base != 0 {
            let Some(record) = self.records.get(&base) else {
                self.to_read.push_back(base);
                return true;
            };
            let Some(Body::Checkpoint(checkpoint)) = &record.body else {
                return false;
            };
            numbers.extend(&checkpoint.keep);
            numbers.push(base);
        }
        numbers.extend(base + 1..=self.listed);
        let missing = numbers.iter().filter(|n| !self.records.contains_key(n));
        self.to_read.extend(missing);
        self.to_apply = numbers.into();
        self.step = Step::Remaining { base };
        true
    }
}
