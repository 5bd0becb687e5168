//! A model engine: continuous batching, prompts computed in turn, a bounded prefix cache.
//!
//! All requests that generate move at the same pace, which falls with their number and while a prompt is computed.

use std::collections::VecDeque;

use medlarrill_core::placement::PROMPT_TOKENS_PER_OUTPUT;

use super::cache::{Cache, shared_key};
use super::size::EngineSize;
use super::trace::Request;

/// Factor by which generation slows down while a prompt is computed.
const PREFILL_SLOWDOWN: f64 = 1.3;
/// Part of the expected output taken to be left once it is exceeded, as a divisor.
const TAIL: f64 = 8.0;
/// Prompt tokens that count as one generated token.
const PROMPT: f64 = PROMPT_TOKENS_PER_OUTPUT as f64;

/// A request given to an engine.
#[derive(Clone, Copy)]
pub(super) struct Start {
    pub(super) job: u32,
    pub(super) request: Request,
    /// Output that the routers expect.
    pub(super) expected: f64,
    /// Daemon that dispatched it.
    pub(super) home: u16,
}

/// A request that runs.
#[derive(Clone, Copy)]
pub(super) struct Running {
    pub(super) start: Start,
    /// Prompt tokens still to be computed.
    prefill: f64,
    /// Pace counter at the first token; negative before.
    begun: f64,
    /// Work when it started.
    whole: f64,
}

/// What an engine reports of itself.
#[derive(Clone, Default)]
pub(super) struct Snapshot {
    pub(super) running: u32,
    pub(super) waiting: u32,
    pub(super) tokens: f64,
    pub(super) eviction_age: Option<u64>,
}

pub(super) struct Engine {
    size: EngineSize,
    pub(super) cache: Cache,
    running: Vec<Running>,
    prefills: VecDeque<u32>,
    waiting: VecDeque<Start>,
    /// Tokens that a request would have generated since the start.
    pace: f64,
    /// Pace at which the next request is done.
    next: f64,
}

impl Engine {
    pub(super) fn new(size: EngineSize) -> Self {
        Self {
            cache: Cache::new(size.cache),
            size,
            running: Vec::new(),
            prefills: VecDeque::new(),
            waiting: VecDeque::new(),
            pace: 0.0,
            next: f64::INFINITY,
        }
    }

    /// Requests that run.
    pub(super) fn running(&self) -> &[Running] {
        &self.running
    }

    /// Tokens of a request's prompt that are cached.
    pub(super) fn cached(&self, request: &Request) -> u32 {
        let key = shared_key(request.institution, request.shared);
        self.cache
            .cached(request.chat, key, request.shared, request.prompt)
    }

    /// Takes a request; the cached tokens of its prompt are returned.
    pub(super) fn start(&mut self, start: Start, now: u64) -> u32 {
        let cached = self.cached(&start.request);
        if self.running.len() >= self.size.slots as usize {
            self.waiting.push_back(start);
        } else {
            self.admit(start, now);
        }
        cached
    }

    fn admit(&mut self, start: Start, now: u64) {
        let request = &start.request;
        let cached = self.cached(request);
        let key = shared_key(request.institution, request.shared);
        self.cache.store(key, request.shared, 0, now);
        self.cache
            .store(request.chat, request.prompt, request.shared, now);
        let prefill = f64::from((request.prompt - cached).max(1));
        self.prefills.push_back(start.job);
        self.running.push(Running {
            start,
            prefill,
            begun: -1.0,
            whole: prefill / PROMPT + start.expected,
        });
    }

    /// Lets time pass and returns the requests that are done.
    pub(super) fn step(&mut self, span: u64, now: u64) -> Vec<Start> {
        if self.running.is_empty() {
            return Vec::new();
        }
        let prompts = !self.prefills.is_empty();
        self.compute_prompts(span);
        let generating = (self.running.len() - self.prefills.len()).max(1);
        let mut step = self.size.step + self.size.step_each * (generating - 1) as f64;
        if prompts {
            step *= PREFILL_SLOWDOWN;
        }
        self.pace += span as f64 / step;
        if self.pace < self.next {
            return Vec::new();
        }
        self.finish(now)
    }

    fn compute_prompts(&mut self, span: u64) {
        let mut budget = self.size.prefill * span as f64;
        while budget > 0.0
            && let Some(job) = self.prefills.front().copied()
        {
            let pace = self.pace;
            let found = self.running.iter_mut().find(|r| r.start.job == job);
            let Some(running) = found else {
                self.prefills.pop_front();
                continue;
            };
            let done = running.prefill.min(budget);
            running.prefill -= done;
            budget -= done;
            if running.prefill <= 0.0 {
                running.begun = pace;
                let end = pace + f64::from(running.start.request.output);
                self.next = self.next.min(end);
                self.prefills.pop_front();
            }
        }
    }

    fn finish(&mut self, now: u64) -> Vec<Start> {
        let pace = self.pace;
        let mut done = Vec::new();
        self.running.retain(|running| {
            let over = running.end() <= pace;
            if over {
                done.push(running.start);
            }
            !over
        });
        let ends = self.running.iter().map(Running::end);
        self.next = ends.fold(f64::INFINITY, f64::min);
        for start in &done {
            let request = &start.request;
            let tokens = request.prompt + request.output;
            self.cache.store(request.chat, tokens, request.shared, now);
        }
        for _ in 0..done.len() {
            if let Some(start) = self.waiting.pop_front() {
                self.admit(start, now);
            }
        }
        done
    }

    /// Loses all that runs or waits, and its cache too if `cold`.
    pub(super) fn crash(&mut self, cold: bool) -> Vec<Start> {
        let running = self.running.drain(..).map(|running| running.start);
        let lost = running.chain(self.waiting.drain(..)).collect();
        self.prefills.clear();
        self.next = f64::INFINITY;
        if cold {
            self.cache = Cache::new(self.size.cache);
        }
        lost
    }

    /// Tokens that a running request has generated.
    pub(super) fn generated(&self, running: &Running) -> f64 {
        if running.begun < 0.0 {
            return 0.0;
        }
        (self.pace - running.begun).max(0.0)
    }

    /// Estimated work in hand.
    pub(super) fn work(&self) -> f64 {
        let running = self.running.iter().map(|running| {
            let expected = running.start.expected;
            let left = (expected - self.generated(running)).max(expected / TAIL);
            running.prefill / PROMPT + left
        });
        let waiting = self.waiting.iter().map(|start| start.expected);
        running.sum::<f64>() + waiting.sum::<f64>()
    }

    /// Work of the largest running request, as it was when it started.
    pub(super) fn grain(&self) -> f64 {
        let whole = self.running.iter().map(|running| running.whole);
        whole.fold(0.0, f64::max)
    }

    pub(super) fn snapshot(&self) -> Snapshot {
        Snapshot {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            tokens: self.work(),
            eviction_age: self.cache.eviction_age,
        }
    }
}

impl Running {
    fn end(&self) -> f64 {
        if self.begun < 0.0 {
            return f64::INFINITY;
        }
        self.begun + f64::from(self.start.request.output)
    }
}
