//! The streams that began lately, here or at daemons that told this one.

use std::collections::{HashMap, VecDeque};

use derive_more::Debug;

use super::{Origin, StreamKey};
use crate::clock::Millis;

/// Time for which a stream is remembered after an event of it was last recorded: several times the
/// longest deadlines of callers.
const RETENTION: Millis = Millis::from_secs(60);
/// Maximum number of streams, of some 60 bytes each; the oldest ones are forgotten first.
const MAX_STREAMS: usize = 100_000;

/// Origins of streams.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct StreamMemory {
    streams: HashMap<StreamKey, Record>,
    /// Streams by the time of each recording.
    order: VecDeque<(Millis, StreamKey)>,
    /// Number of recordings of streams that aren't only kept elsewhere.
    recorded: u64,
}

#[derive(Clone, Copy)]
#[derive(Debug)]
struct Record {
    /// None if several origins were recorded, as for a caller that uses one id twice.
    origin: Option<Origin>,
    at: Millis,
}

impl StreamMemory {
    /// Records that a stream began at an origin, or went on there.
    pub fn record(&mut self, key: StreamKey, origin: Origin, now: Millis) {
        self.recorded += 1;
        self.insert(key, origin, now);
    }

    fn insert(&mut self, key: StreamKey, origin: Origin, now: Millis) {
        self.prune(now);
        let record = self.streams.entry(key).or_insert(Record {
            origin: Some(origin),
            at: now,
        });
        record.at = now;
        if record.origin != Some(origin) {
            record.origin = None;
        }
        self.order.push_back((now, key));
    }

    /// Records a stream of which another daemon, or the platform, says that it began or went on some
    /// time ago; it isn't a later sign of one that is known.
    pub fn learn(&mut self, key: StreamKey, origin: Origin, now: Millis) {
        if self.get(key, now) != Some(Some(origin)) {
            self.insert(key, origin, now);
        }
    }

    /// What is recorded of a stream: none if nothing, `Some(None)` if its origin is ambiguous.
    pub fn get(&self, key: StreamKey, now: Millis) -> Option<Option<Origin>> {
        let record = self.streams.get(&key)?;
        (now.since(record.at) < RETENTION).then_some(record.origin)
    }

    /// The streams that were recorded since a moment, at most so many of the last ones.
    pub fn since(&self, from: Millis, count: usize) -> impl Iterator<Item = (StreamKey, Origin)> {
        let last = self.order.iter().rev();
        let last = last.take_while(move |(at, _)| *at >= from).take(count);
        last.filter_map(|(at, key)| {
            let record = self.streams.get(key)?;
            // A stream that was recorded again is there twice.
            (record.at == *at).then_some((*key, record.origin?))
        })
    }

    /// How often a stream was recorded that began or went on just then.
    pub const fn recorded(&self) -> u64 {
        self.recorded
    }

    /// Number of streams.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Whether no stream is known.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    fn prune(&mut self, now: Millis) {
        while let Some((at, key)) = self.order.front().copied() {
            if now.since(at) < RETENTION && self.order.len() < MAX_STREAMS {
                break;
            }
            self.order.pop_front();
            // A stream that was recorded again since has a later entry.
            if self.streams.get(&key).is_some_and(|record| record.at == at) {
                self.streams.remove(&key);
            }
        }
    }
}
