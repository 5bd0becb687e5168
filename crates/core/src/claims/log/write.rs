//! A write of one object, until it is known which writer's object has the number.

use bytes::Bytes;
use derive_more::Debug;

use crate::claims::log::batch::PendingClaim;
use crate::claims::log::calls::Calls;
use crate::claims::log::event::{CallId, Reply};
use crate::claims::record::Record;
use crate::clock::Millis;

/// A write in flight.
#[derive(Debug)]
pub(super) struct Write {
    number: u64,
    record: Record,
    bytes: Bytes,
    step: Step,
    /// Pending claims in the record.
    pub(super) claims: Vec<PendingClaim>,
}

#[derive(Debug)]
enum Step {
    Creating(CallId),
    Reading(CallId),
    Waiting(Millis),
}

/// Outcome of a write.
#[derive(Debug)]
pub(super) enum WriteOutcome {
    /// Not known yet.
    Pending,
    /// The object was created by this write.
    Recorded(Vec<PendingClaim>),
    /// Another writer's object has the number.
    Taken(Record),
    /// The object at the number can't be decoded.
    Unreadable,
}

impl Write {
    pub(super) fn new(
        number: u64,
        record: Record,
        claims: Vec<PendingClaim>,
        calls: &mut Calls,
    ) -> Self {
        let bytes = record.to_bytes();
        let call = calls.create(number, bytes.clone());
        Self {
            number,
            record,
            bytes,
            step: Step::Creating(call),
            claims,
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
            Step::Waiting(until) => until,
            _ => Millis::MAX,
        }
    }

    /// Reads the object back once the delay after a failure has passed.
    pub(super) fn tick(&mut self, calls: &mut Calls, now: Millis) {
        if let Step::Waiting(until) = self.step
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
    ) -> WriteOutcome {
        match (&self.step, reply) {
            (Step::Creating(pending), reply) if *pending == call => match reply {
                Reply::Created => {
                    calls.record_success();
                    return WriteOutcome::Recorded(std::mem::take(&mut self.claims));
                }
                Reply::Exists => self.step = Step::Reading(calls.read(self.number)),
                _ => self.step = Step::Waiting(calls.record_failure(now)),
            },
            (Step::Reading(pending), reply) if *pending == call => match reply {
                Reply::Found(bytes) => {
                    calls.record_success();
                    return self.compare(bytes);
                }
                // The earlier create may still take effect, so only the same record may be written.
                Reply::NotFound => {
                    self.step = Step::Creating(calls.create(self.number, self.bytes.clone()));
                }
                _ => self.step = Step::Waiting(calls.record_failure(now)),
            },
            _ => {}
        }
        WriteOutcome::Pending
    }

    fn compare(&mut self, bytes: Bytes) -> WriteOutcome {
        match Record::read(bytes) {
            Ok(found) if found.is_same_write(&self.record) => {
                WriteOutcome::Recorded(std::mem::take(&mut self.claims))
            }
            Ok(found) => WriteOutcome::Taken(found),
            Err(_) => WriteOutcome::Unreadable,
        }
    }
}
