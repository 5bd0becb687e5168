//! Requests that run at the endpoint, and the work they still are.

use std::collections::{HashMap, VecDeque};

use derive_more::Debug;

use crate::clock::Millis;
use crate::ids::{AttemptId, InstitutionId};
use crate::units::Tokens;

use super::event::Offer;

/// Span that one sample of the past covers.
const SAMPLE: Millis = Millis(100);
/// Samples of the past that are kept.
const SAMPLES: usize = 100;
/// Part of the expected output that is taken to be left when it was exceeded.
const TAIL: u64 = 8;

/// A request that runs.
#[derive(Clone)]
#[derive(Debug)]
pub(super) struct Flight {
    /// What was offered.
    pub(super) offer: Offer,
    /// Work that it was charged.
    pub(super) charged: u64,
    /// When it was dispatched.
    pub(super) since: Millis,
    /// The clock of busy time at its dispatch.
    pub(super) busy: Millis,
    /// Output so far.
    output: u64,
    /// Work that is left, by estimate.
    left: u64,
}

/// The most, and the least work, that was in flight during one sample's span.
#[derive(Clone, Copy)]
#[derive(Debug)]
struct Sample {
    at: Millis,
    count: u32,
    work: u64,
    least: u64,
}

/// What was in flight at a time in the past.
#[derive(Clone, Copy, Default)]
#[derive(Debug)]
pub(super) struct Past {
    /// Requests.
    pub(super) count: u32,
    /// Most work, by estimate.
    pub(super) work: u64,
    /// Least work, by estimate.
    pub(super) least: u64,
}

impl Past {
    const UNSEEN: Self = Self {
        count: 0,
        work: 0,
        least: u64::MAX,
    };
}

/// All requests that run at one endpoint for one home.
#[derive(Clone, Default)]
#[derive(Debug)]
pub(super) struct Flights {
    all: HashMap<AttemptId, Flight>,
    /// Requests of each institution.
    counts: HashMap<InstitutionId, u32>,
    work: u64,
    past: VecDeque<Sample>,
}

impl Flight {
    pub(super) fn new(offer: Offer, charged: u64, now: Millis, busy: Millis) -> Self {
        Self {
            offer,
            charged,
            since: now,
            busy,
            output: 0,
            left: charged,
        }
    }

    /// Work that it took; what it was charged if no output was ever noted.
    pub(super) fn took(&self) -> u64 {
        if self.output == 0 {
            return self.charged;
        }
        self.offer.prompt.0.saturating_add(self.output)
    }
}

impl Flights {
    /// Requests that run.
    pub(super) fn len(&self) -> u32 {
        u32::try_from(self.all.len()).unwrap_or(u32::MAX)
    }

    /// Work that is left, by estimate.
    pub(super) fn work(&self) -> u64 {
        self.work
    }

    /// Whether this try runs.
    pub(super) fn contains(&self, id: AttemptId) -> bool {
        self.all.contains_key(&id)
    }

    /// Requests of one institution that run.
    pub(super) fn of(&self, institution: &InstitutionId) -> u32 {
        self.counts.get(institution).copied().unwrap_or(0)
    }

    /// Adds a request.
    pub(super) fn add(&mut self, flight: Flight) {
        let institution = flight.offer.institution.clone();
        *self.counts.entry(institution).or_default() += 1;
        self.work = self.work.saturating_add(flight.left);
        self.all.insert(flight.offer.id, flight);
    }

    /// Takes out a request that has ended.
    pub(super) fn remove(&mut self, id: AttemptId) -> Option<Flight> {
        let flight = self.all.remove(&id)?;
        self.work -= flight.left;
        let institution = &flight.offer.institution;
        match self.counts.get_mut(institution) {
            Some(count) if *count > 1 => *count -= 1,
            _ => drop(self.counts.remove(institution)),
        }
        Some(flight)
    }

    /// Notes the output so far; the first output says that the prompt is done.
    pub(super) fn progress(&mut self, id: AttemptId, output: Tokens) {
        let Some(flight) = self.all.get_mut(&id) else {
            return;
        };
        flight.output = flight.output.max(output.0);
        if flight.output == 0 {
            return;
        }
        let expected = flight.offer.output.0;
        let tail = (expected / TAIL).max(1);
        let left = expected.saturating_sub(flight.output).max(tail);
        let left = left.min(flight.left);
        self.work -= flight.left - left;
        flight.left = left;
    }

    /// Keeps the most that was in flight around this time.
    pub(super) fn sample(&mut self, now: Millis) {
        let at = Millis(now.0 / SAMPLE.0 * SAMPLE.0);
        let (count, work) = (self.len(), self.work);
        if let Some(last) = self.past.back_mut().filter(|last| last.at >= at) {
            last.count = last.count.max(count);
            last.work = last.work.max(work);
            last.least = last.least.min(work);
            return;
        }
        if self.past.len() == SAMPLES {
            self.past.pop_front();
        }
        self.past.push_back(Sample {
            at,
            count,
            work,
            least: work,
        });
    }

    /// What was in flight around a time in the past.
    pub(super) fn at(&self, time: Millis) -> Past {
        let next = self.past.partition_point(|sample| sample.at <= time);
        let around = next.saturating_sub(2)..(next + 1).min(self.past.len());
        let around = self.past.range(around);
        let past = around.fold(Past::UNSEEN, |past, sample| Past {
            count: past.count.max(sample.count),
            work: past.work.max(sample.work),
            least: past.least.min(sample.least),
        });
        Past {
            least: past.least.min(past.work),
            ..past
        }
    }
}
