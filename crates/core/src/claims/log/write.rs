//! One write at one number, until it is known whose object stands there.

use bytes::Bytes;
use derive_more::Debug;

use crate::claims::log::batch::Waiting;
use crate::claims::log::calls::Calls;
use crate::claims::log::event::{CallId, Reply};
use crate::claims::record::Record;
use crate::clock::Millis;

/// A write on its way.
#[derive(Debug)]
pub(super) struct Write {
    number: u64,
    record: Record,
    bytes: Bytes,
    step: Step,
    /// Claimants whose claims are in it.
    pub(super) asks: Vec<Waiting>,
}

#[derive(Debug)]
enum Step {
    Creating(CallId),
    Reading(CallId),
    Resting(Millis),
}

/// What became of a write.
#[derive(Debug)]
pub(super) enum Settled {
    /// Not known yet.
    Pending,
    /// It stands at its number.
    Recorded(Vec<Waiting>),
    /// Another write stands there.
    Taken(Record),
    /// Something stands there that can't be read.
    Unreadable,
}

impl Write {
    pub(super) fn new(number: u64, record: Record, asks: Vec<Waiting>, calls: &mut Calls) -> Self {
        let bytes = record.to_bytes();
        let call = calls.create(number, bytes.clone());
        Self {
            number,
            record,
            bytes,
            step: Step::Creating(call),
            asks,
        }
    }

    pub(super) const fn record(&self) -> &Record {
        &self.record
    }

    pub(super) const fn is_settling(&self) -> bool {
        !matches!(self.step, Step::Creating(_))
    }

    pub(super) const fn wake(&self) -> Millis {
        match self.step {
            Step::Resting(until) => until,
            _ => Millis::MAX,
        }
    }

    /// Reads the number back once the delay after a failure is over.
    pub(super) fn tick(&mut self, calls: &mut Calls, now: Millis) {
        if let Step::Resting(until) = self.step
            && until <= now
        {
            self.step = Step::Reading(calls.read(self.number));
        }
    }

    pub(super) fn reply(
        &mut self,
        call: CallId,
        reply: Reply,
        calls: &mut Calls,
        now: Millis,
    ) -> Settled {
        match (&self.step, reply) {
            (Step::Creating(asked), reply) if *asked == call => match reply {
                Reply::Created => {
                    calls.record_success();
                    return Settled::Recorded(std::mem::take(&mut self.asks));
                }
                Reply::Exists => self.step = Step::Reading(calls.read(self.number)),
                _ => self.step = Step::Resting(calls.record_failure(now)),
            },
            (Step::Reading(asked), reply) if *asked == call => match reply {
                Reply::Found(bytes) => {
                    calls.record_success();
                    return self.compare(bytes);
                }
                // The create may yet take effect: only the same write may follow it.
                Reply::NotFound => {
                    self.step = Step::Creating(calls.create(self.number, self.bytes.clone()));
                }
                _ => self.step = Step::Resting(calls.record_failure(now)),
            },
            _ => {}
        }
        Settled::Pending
    }

    fn compare(&mut self, bytes: Bytes) -> Settled {
        match Record::read(bytes) {
            Ok(found) if found.is_same_write(&self.record) => {
                Settled::Recorded(std::mem::take(&mut self.asks))
            }
            Ok(found) => Settled::Taken(found),
            Err(_) => Settled::Unreadable,
        }
    }
}
