//! Answers kept for callers that ask again, bounded in time and bytes.

use std::collections::{BTreeSet, HashMap};

use bytes::Bytes;
use derive_more::Debug;

use crate::clock::Millis;
use crate::units::ByteSize;
use crate::wire::Header;

/// Bytes that one answer takes besides its texts.
const OVERHEAD: u64 = 200;

/// A whole answer.
#[derive(Clone, PartialEq, Default)]
#[derive(Debug)]
pub struct CachedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<Header>,
    /// Body.
    pub body: Bytes,
}

/// How many answers are kept, and how long.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub struct CacheLimits {
    /// Most bytes of all answers.
    pub max_total: ByteSize,
    /// Most bytes of one answer.
    pub max_answer: ByteSize,
    /// How long an answer is kept.
    pub retention: Millis,
}

impl Default for CacheLimits {
    fn default() -> Self {
        Self {
            max_total: ByteSize(32 << 20),
            max_answer: ByteSize(1 << 20),
            retention: Millis::from_secs(600),
        }
    }
}

impl CachedAnswer {
    fn size(&self) -> u64 {
        let headers = self.headers.iter();
        let texts: usize = headers.map(|h| h.name.len() + h.value.len()).sum();
        (texts + self.body.len()) as u64 + OVERHEAD
    }
}

/// Answers by the number of their claim or ticket.
#[derive(Debug)]
pub(crate) struct AnswerCache {
    limits: CacheLimits,
    answers: HashMap<u64, Held>,
    /// Ends of the times, earliest first.
    ends: BTreeSet<(Millis, u64)>,
    bytes: u64,
}

#[derive(Debug)]
struct Held {
    answer: CachedAnswer,
    until: Millis,
}

impl AnswerCache {
    pub(crate) fn new(limits: CacheLimits) -> Self {
        Self {
            limits,
            answers: HashMap::new(),
            ends: BTreeSet::new(),
            bytes: 0,
        }
    }

    /// Keeps an answer, unless it is too large; the oldest ones make room.
    pub(crate) fn put(&mut self, number: u64, answer: CachedAnswer, now: Millis) {
        let size = answer.size();
        if size > self.limits.max_answer.0.min(self.limits.max_total.0) {
            return;
        }
        let until = now + self.limits.retention;
        self.bytes += size;
        self.ends.insert((until, number));
        self.answers.insert(number, Held { answer, until });
        while self.bytes > self.limits.max_total.0 {
            self.drop_first();
        }
    }

    pub(crate) fn get(&self, number: u64, now: Millis) -> Option<&CachedAnswer> {
        let held = self.answers.get(&number)?;
        Some(&held.answer).filter(|_| now < held.until)
    }

    /// Drops the answers whose time is over.
    pub(crate) fn expire(&mut self, now: Millis) {
        while self.ends.first().is_some_and(|(until, _)| *until <= now) {
            self.drop_first();
        }
    }

    pub(crate) const fn bytes(&self) -> u64 {
        self.bytes
    }

    fn drop_first(&mut self) {
        let Some((_, number)) = self.ends.pop_first() else {
            return;
        };
        if let Some(held) = self.answers.remove(&number) {
            self.bytes -= held.answer.size();
        }
    }
}
