//! Cache of complete answers for retried requests, bounded in time and bytes.

use std::collections::{BTreeSet, HashMap};

use bytes::Bytes;
use derive_more::Debug;

use crate::clock::Millis;
use crate::units::ByteSize;
use crate::wire::Header;

/// Estimated overhead of one answer besides headers and body, in bytes.
const ANSWER_OVERHEAD: u64 = 200;

/// A complete answer, replayed to a caller that retries its request.
#[derive(Clone, PartialEq, Default)]
#[derive(Debug)]
pub struct CachedAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Response headers.
    pub headers: Vec<Header>,
    /// Response body.
    pub body: Bytes,
}

/// Bounds of the answer cache.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub struct CacheLimits {
    /// Largest total size of the cached answers.
    pub max_total: ByteSize,
    /// Largest size of one answer; larger ones are not cached.
    pub max_answer: ByteSize,
    /// How long an answer is cached.
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
        (texts + self.body.len()) as u64 + ANSWER_OVERHEAD
    }
}

/// Cached answers by the number of their claim or ticket.
#[derive(Debug)]
pub(crate) struct AnswerCache {
    limits: CacheLimits,
    answers: HashMap<u64, CacheEntry>,
    /// Expiry times, earliest first.
    expiries: BTreeSet<(Millis, u64)>,
    bytes: u64,
}

#[derive(Debug)]
struct CacheEntry {
    answer: CachedAnswer,
    expiry: Millis,
}

impl AnswerCache {
    pub(crate) fn new(limits: CacheLimits) -> Self {
        Self {
            limits,
            answers: HashMap::new(),
            expiries: BTreeSet::new(),
            bytes: 0,
        }
    }

    /// Adds an answer unless it is too large, evicting the earliest to expire if needed.
    pub(crate) fn put(&mut self, number: u64, answer: CachedAnswer, now: Millis) {
        let size = answer.size();
        if size > self.limits.max_answer.0.min(self.limits.max_total.0) {
            return;
        }
        let expiry = now + self.limits.retention;
        self.bytes += size;
        self.expiries.insert((expiry, number));
        self.answers.insert(number, CacheEntry { answer, expiry });
        while self.bytes > self.limits.max_total.0 {
            self.evict_earliest();
        }
    }

    pub(crate) fn get(&self, number: u64, now: Millis) -> Option<&CachedAnswer> {
        let entry = self.answers.get(&number)?;
        Some(&entry.answer).filter(|_| now < entry.expiry)
    }

    /// Removes expired answers.
    pub(crate) fn expire(&mut self, now: Millis) {
        while self
            .expiries
            .first()
            .is_some_and(|(expiry, _)| *expiry <= now)
        {
            self.evict_earliest();
        }
    }

    pub(crate) const fn bytes(&self) -> u64 {
        self.bytes
    }

    fn evict_earliest(&mut self) {
        let Some((_, number)) = self.expiries.pop_first() else {
            return;
        };
        if let Some(entry) = self.answers.remove(&number) {
            self.bytes -= entry.answer.size();
        }
    }
}
