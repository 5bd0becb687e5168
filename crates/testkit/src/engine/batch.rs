//! Continuous batching: in each step all running requests make one token.

use std::collections::{BTreeMap, VecDeque};

use medlarrill_core::clock::Millis;
use serde::{Deserialize, Serialize};

use super::cache::{Cache, Stored};
use super::job::{Job, Phase, Run};
use super::settings::Settings;
use super::text::BLOCK_TOKENS;

/// Ended runs kept in the log.
const MAX_RUNS: usize = 200_000;

/// What an engine counts.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
#[derive(Serialize, Deserialize)]
pub struct Counters {
    /// Requests refused, which haven't run.
    pub refused: u64,
    /// Most tokens made ahead of a reader.
    pub largest_buffer: u64,
    /// Steps in which a stream paused for its reader.
    pub pauses: u64,
    /// Steps made.
    pub steps: u64,
}

/// Why a request can't be taken.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) struct Full;

/// The requests of one engine.
#[derive(Debug)]
pub(super) struct Batch {
    slots: usize,
    queue: usize,
    prefill: u64,
    buffer: u64,
    grace: Millis,
    pub(super) cache: Cache,
    pub(super) counters: Counters,
    /// All requests held, by number.
    jobs: BTreeMap<u64, Job>,
    /// Numbers of those that run, in order of start.
    running: Vec<u64>,
    /// Numbers of those that wait, the next one first.
    waiting: Vec<u64>,
    ended: VecDeque<Run>,
    last: u64,
}

impl Batch {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            slots: settings.slots,
            queue: settings.queue,
            prefill: settings.prefill,
            buffer: settings.buffer,
            grace: settings.grace,
            cache: Cache::new(settings.cache),
            counters: Counters::default(),
            jobs: BTreeMap::new(),
            running: Vec::new(),
            waiting: Vec::new(),
            ended: VecDeque::new(),
            last: 0,
        }
    }

    /// Takes a request, which gets its number.
    pub(super) fn submit(&mut self, mut job: Job) -> Result<u64, Full> {
        let busy = self.running.len() + self.waiting.len();
        if busy >= self.slots + self.queue {
            self.counters.refused += 1;
            return Err(Full);
        }
        self.last += 1;
        job.run.run = self.last;
        if job.run.request.is_empty() {
            job.run.request = format!("engine-{}", self.last);
        }
        let ahead = |other: &u64| self.priority(*other) >= job.run.priority;
        let place = self.waiting.partition_point(ahead);
        self.waiting.insert(place, self.last);
        self.jobs.insert(self.last, job);
        Ok(self.last)
    }

    /// The request with this number, while it is held.
    pub(super) fn job(&mut self, number: u64) -> Option<&mut Job> {
        self.jobs.get_mut(&number)
    }

    /// The number of the last request with this name, while it is held.
    pub(super) fn find(&self, request: &str) -> Option<u64> {
        let named = |(_, job): &(&u64, &Job)| job.run.request == request;
        self.jobs
            .iter()
            .rev()
            .find(named)
            .map(|(number, _)| *number)
    }

    /// Cancels or forgets a request.
    pub(super) fn remove(&mut self, number: u64) {
        let Some(mut job) = self.jobs.remove(&number) else {
            return;
        };
        self.running.retain(|other| *other != number);
        self.waiting.retain(|other| *other != number);
        if !job.is_done() {
            job.run.phase = Phase::Cancelled;
        }
        if self.ended.len() == MAX_RUNS {
            self.ended.pop_front();
        }
        self.ended.push_back(job.run);
    }

    /// Makes one step; the changes of the cache.
    pub(super) fn step(&mut self, now: Millis) -> Vec<Stored> {
        self.counters.steps += 1;
        self.start();
        let mut budget = self.prefill;
        let mut stored = Vec::new();
        for number in self.running.clone() {
            if self.advance(number, &mut budget) {
                stored.extend(self.finish(number, now));
            }
        }
        stored
    }

    /// Ends the requests whose reader stayed away for too long.
    pub(super) fn sweep(&mut self, now: Millis) {
        let over = |since: Millis| now.since(since) >= self.grace;
        let left = |(number, job): (&u64, &Job)| job.alone.is_some_and(over).then_some(*number);
        let left: Vec<u64> = self.jobs.iter().filter_map(left).collect();
        for number in left {
            self.remove(number);
        }
    }

    /// Whether no request is held.
    pub(super) fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    pub(super) const fn running(&self) -> usize {
        self.running.len()
    }

    pub(super) const fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Tokens of work in hand.
    pub(super) fn work(&self) -> u64 {
        self.jobs.values().map(Job::left).sum()
    }

    /// All runs with a number above `after`, in order.
    pub(super) fn runs(&self, after: u64) -> Vec<Run> {
        let held = self.jobs.values().map(|job| &job.run);
        let all = self.ended.iter().chain(held);
        let mut runs: Vec<Run> = all.filter(|run| run.run > after).cloned().collect();
        runs.sort_by_key(|run| run.run);
        runs
    }

    fn priority(&self, number: u64) -> u8 {
        self.jobs.get(&number).map_or(0, |job| job.run.priority)
    }

    /// Gives free slots to those that wait.
    fn start(&mut self) {
        let free = self.slots.saturating_sub(self.running.len());
        let count = free.min(self.waiting.len());
        for number in self.waiting.drain(..count) {
            let Some(job) = self.jobs.get_mut(&number) else {
                continue;
            };
            let blocks = self.cache.matched(&job.chain) as u64;
            // The last token of a prompt is read in any case.
            let most = job.run.prompt.saturating_sub(1);
            job.run.cached = (blocks * BLOCK_TOKENS as u64).min(most);
            job.run.phase = Phase::Running;
            job.unread = job.run.prompt - job.run.cached;
            self.running.push(number);
        }
    }

    /// Reads the prompt or makes a token; whether the answer is whole.
    fn advance(&mut self, number: u64, budget: &mut u64) -> bool {
        let Some(job) = self.jobs.get_mut(&number) else {
            return false;
        };
        let read = job.unread.min(*budget);
        job.unread -= read;
        *budget -= read;
        if job.unread > 0 {
            return false;
        }
        if job.streamed && job.ahead() >= self.buffer {
            self.counters.pauses += 1;
            return false;
        }
        job.run.made += 1;
        let counters = &mut self.counters;
        if job.streamed {
            counters.largest_buffer = counters.largest_buffer.max(job.ahead());
        }
        job.run.made >= job.run.wanted
    }

    fn finish(&mut self, number: u64, now: Millis) -> Option<Stored> {
        self.running.retain(|other| *other != number);
        let job = self.jobs.get_mut(&number)?;
        job.run.phase = Phase::Done;
        let chain = job.whole_chain();
        Some(self.cache.store(&chain, now))
    }
}
