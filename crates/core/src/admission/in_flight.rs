//! Requests dispatched to the endpoint and not finished, and their remaining work.

use std::collections::{HashMap, VecDeque};

use derive_more::Debug;

use crate::clock::Millis;
use crate::ids::{AttemptId, InstitutionId};
use crate::units::Tokens;

use super::event::Offer;

/// Period that one sample of the history covers.
const SAMPLE_PERIOD: Millis = Millis(100);
/// Number of samples kept in the history.
const MAX_SAMPLES: usize = 100;
/// Expected output divided by this is the minimum assumed to remain, also once it is exceeded.
const TAIL_DIVISOR: u64 = 8;

/// A request dispatched to the endpoint.
#[derive(Clone)]
#[derive(Debug)]
pub(super) struct Dispatched {
    /// The request as offered.
    pub(super) offer: Offer,
    /// Estimated work charged to its institution and client account.
    pub(super) charged: u64,
    /// When it was dispatched.
    pub(super) since: Millis,
    /// Total busy time when it was dispatched.
    pub(super) busy_before: Millis,
    /// Output tokens so far.
    output: u64,
    /// Estimated remaining work.
    remaining: u64,
}

/// Extremes of what was in flight during one sample period.
#[derive(Clone, Copy)]
#[derive(Debug)]
struct Sample {
    start: Millis,
    max_count: u32,
    max_work: u64,
    min_work: u64,
}

/// What was in flight around a time in the past.
#[derive(Clone, Copy, Default)]
#[derive(Debug)]
pub(super) struct Snapshot {
    /// Maximum number of requests.
    pub(super) count: u32,
    /// Maximum estimated work.
    pub(super) max_work: u64,
    /// Minimum estimated work.
    pub(super) min_work: u64,
}

impl Snapshot {
    /// Start value for folding samples.
    const EMPTY: Self = Self {
        count: 0,
        max_work: 0,
        min_work: u64::MAX,
    };
}

/// All requests that one home has in flight at its endpoint.
#[derive(Clone, Default)]
#[derive(Debug)]
pub(super) struct InFlight {
    requests: HashMap<AttemptId, Dispatched>,
    /// Number of requests of each institution.
    counts: HashMap<InstitutionId, u32>,
    work: u64,
    history: VecDeque<Sample>,
}

impl Dispatched {
    pub(super) fn new(offer: Offer, charged: u64, now: Millis, busy_before: Millis) -> Self {
        Self {
            offer,
            charged,
            since: now,
            busy_before,
            output: 0,
            remaining: charged,
        }
    }

    /// Its actual work, or the estimate that was charged if no output was recorded.
    pub(super) fn actual_work(&self) -> u64 {
        if self.output == 0 {
            return self.charged;
        }
        self.offer.prompt.0.saturating_add(self.output)
    }
}

impl InFlight {
    /// Number of requests in flight.
    pub(super) fn len(&self) -> u32 {
        u32::try_from(self.requests.len()).unwrap_or(u32::MAX)
    }

    /// Estimated remaining work.
    pub(super) fn work(&self) -> u64 {
        self.work
    }

    /// Whether the attempt is in flight.
    pub(super) fn contains(&self, id: AttemptId) -> bool {
        self.requests.contains_key(&id)
    }

    /// Number of requests of one institution in flight.
    pub(super) fn count_of(&self, institution: &InstitutionId) -> u32 {
        self.counts.get(institution).copied().unwrap_or(0)
    }

    /// Adds a request.
    pub(super) fn add(&mut self, request: Dispatched) {
        let institution = request.offer.institution.clone();
        *self.counts.entry(institution).or_default() += 1;
        self.work = self.work.saturating_add(request.remaining);
        self.requests.insert(request.offer.id, request);
    }

    /// Removes a request that has ended.
    pub(super) fn remove(&mut self, id: AttemptId) -> Option<Dispatched> {
        let request = self.requests.remove(&id)?;
        self.work -= request.remaining;
        let institution = &request.offer.institution;
        match self.counts.get_mut(institution) {
            Some(count) if *count > 1 => *count -= 1,
            _ => drop(self.counts.remove(institution)),
        }
        Some(request)
    }

    /// Records the output so far; the first output implies that the prompt was processed.
    pub(super) fn progress(&mut self, id: AttemptId, output: Tokens) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.output = request.output.max(output.0);
        if request.output == 0 {
            return;
        }
        let expected = request.offer.output.0;
        let tail = (expected / TAIL_DIVISOR).max(1);
        let remaining = expected.saturating_sub(request.output).max(tail);
        let remaining = remaining.min(request.remaining);
        self.work -= request.remaining - remaining;
        request.remaining = remaining;
    }

    /// Adds what is in flight now to the history.
    pub(super) fn sample(&mut self, now: Millis) {
        let start = Millis(now.0 / SAMPLE_PERIOD.0 * SAMPLE_PERIOD.0);
        let (count, work) = (self.len(), self.work);
        if let Some(last) = self.history.back_mut().filter(|last| last.start >= start) {
            last.max_count = last.max_count.max(count);
            last.max_work = last.max_work.max(work);
            last.min_work = last.min_work.min(work);
            return;
        }
        if self.history.len() == MAX_SAMPLES {
            self.history.pop_front();
        }
        self.history.push_back(Sample {
            start,
            max_count: count,
            max_work: work,
            min_work: work,
        });
    }

    /// What was in flight around a time in the past.
    pub(super) fn around(&self, time: Millis) -> Snapshot {
        let next = self.history.partition_point(|sample| sample.start <= time);
        let range = next.saturating_sub(2)..(next + 1).min(self.history.len());
        let samples = self.history.range(range);
        let snapshot = samples.fold(Snapshot::EMPTY, |snapshot, sample| Snapshot {
            count: snapshot.count.max(sample.max_count),
            max_work: snapshot.max_work.max(sample.max_work),
            min_work: snapshot.min_work.min(sample.min_work),
        });
        Snapshot {
            min_work: snapshot.min_work.min(snapshot.max_work),
            ..snapshot
        }
    }
}
