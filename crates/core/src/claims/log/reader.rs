//! Reads a chain to its end.
//!
//! The last object listed names the latest checkpoint; that one names the
//! earlier checkpoints that it keeps. Objects in between may be left over
//! from before and are not read.

use std::collections::{BTreeMap, HashMap, VecDeque};

use derive_more::Debug;

use crate::claims::chain::Chain;
use crate::claims::log::calls::Calls;
use crate::claims::log::event::{CallId, ListedObject, Reply};
use crate::claims::record::{Body, Record, object_number};
use crate::clock::Millis;

/// Objects listed by one call.
const LIST_LIMIT: usize = 1000;

/// Reads on their way at once.
const WINDOW: usize = 8;

#[derive(Debug)]
pub(super) struct Reader {
    /// Number up to which objects were listed.
    listed: u64,
    step: Step,
    chain: Chain,
    /// Numbers to ask for.
    wanted: VecDeque<u64>,
    /// Numbers to apply, in order.
    order: VecDeque<u64>,
    found: BTreeMap<u64, Record>,
    pending: HashMap<CallId, u64>,
    retry: Millis,
}

#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
enum Step {
    List,
    Listing(CallId),
    /// Reads the last object, then the checkpoint that it names.
    Ends,
    /// Reads all that the chain consists of.
    Bulk {
        base: u64,
    },
}

/// How far a reader is.
#[derive(Debug)]
pub(super) enum Progress {
    Pending,
    Done(Chain),
    /// Objects went away meanwhile.
    Restart,
    /// An object can't be understood.
    Unreadable,
}

impl Reader {
    /// Starts at machine time `at`.
    pub(super) fn new(at: Millis) -> Self {
        Self {
            listed: 0,
            step: Step::List,
            chain: Chain::new(),
            wanted: VecDeque::new(),
            order: VecDeque::new(),
            found: BTreeMap::new(),
            pending: HashMap::new(),
            retry: at,
        }
    }

    pub(super) fn wake(&self) -> Millis {
        if self.step == Step::List || !self.wanted.is_empty() {
            self.retry
        } else {
            Millis::MAX
        }
    }

    /// Sends the calls that are due.
    pub(super) fn tick(&mut self, calls: &mut Calls, now: Millis) {
        if self.retry > now {
            return;
        }
        if self.step == Step::List {
            self.step = Step::Listing(calls.list(self.listed, LIST_LIMIT));
        }
        while self.pending.len() < WINDOW {
            let Some(number) = self.wanted.pop_front() else {
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
                self.found.insert(number, record);
                self.proceed()
            }
            Reply::NotFound => Progress::Restart,
            _ => {
                self.wanted.push_front(number);
                self.retry = calls.record_failure(now);
                Progress::Pending
            }
        }
    }

    fn reply_list(&mut self, reply: Reply, calls: &mut Calls, now: Millis) -> Progress {
        let Reply::Listed { objects, more } = reply else {
            self.step = Step::List;
            self.retry = calls.record_failure(now);
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
        self.step = Step::Ends;
        self.wanted.push_back(self.listed);
        Progress::Pending
    }

    fn proceed(&mut self) -> Progress {
        if self.step == Step::Ends && !self.plan() {
            return Progress::Restart;
        }
        let Step::Bulk { base } = self.step else {
            return Progress::Pending;
        };
        while let Some(number) = self.order.front().copied() {
            let Some(record) = self.found.remove(&number) else {
                return Progress::Pending;
            };
            self.order.pop_front();
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

    /// Finds out what to read; `false` if the checkpoint named is none.
    fn plan(&mut self) -> bool {
        let Some(last) = self.found.get(&self.listed) else {
            return true;
        };
        let base = last.base;
        let mut order = Vec::new();
        if base != 0 {
            let Some(record) = self.found.get(&base) else {
                self.wanted.push_back(base);
                return true;
            };
            let Some(Body::Checkpoint(checkpoint)) = &record.body else {
                return false;
            };
            order.extend(&checkpoint.keep);
            order.push(base);
        }
        order.extend(base + 1..=self.listed);
        let missing = order.iter().filter(|n| !self.found.contains_key(n));
        self.wanted.extend(missing);
        self.order = order.into();
        self.step = Step::Bulk { base };
        true
    }
}
