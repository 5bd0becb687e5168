//! What an engine is, and what it is told to do wrong.

use medlarrill_core::clock::Millis;
use serde::{Deserialize, Serialize};

use crate::http::{Outage, Plan};

/// What an engine is from its start.
#[derive(Clone, PartialEq, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The model loaded at first.
    pub model: String,
    /// Whether a request for a model or adapter not loaded is refused with 404.
    pub strict: bool,
    /// Requests that run at once.
    pub slots: usize,
    /// Requests that may wait for a slot.
    pub queue: usize,
    /// Time of one step, in which each running request makes one token.
    pub step: Millis,
    /// Uncached prompt tokens read in one step, over all requests.
    pub prefill: u64,
    /// Tokens of an answer whose request names no limit.
    pub answer: u64,
    /// Tokens made ahead of a slow reader before its stream pauses.
    pub buffer: u64,
    /// Blocks of the prefix cache.
    pub cache: usize,
    /// How long a stream without a reader is held.
    pub grace: Millis,
    /// Age of the load report, at least.
    pub load_lag: Millis,
    /// Age of cache events when they show.
    pub event_lag: Millis,
    /// Share of cache events that never show.
    pub event_loss: f64,
    /// Whether orders with an old fencing number are refused.
    pub fencing: bool,
    /// How far the engine's wall clock is ahead, in ms.
    pub clock_ahead: i64,
    /// Seed of the events lost.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            model: "m1".into(),
            strict: false,
            slots: 16,
            queue: 64,
            step: Millis(5),
            prefill: 512,
            answer: 64,
            buffer: 64,
            cache: 4096,
            grace: Millis(2000),
            load_lag: Millis(200),
            event_lag: Millis(500),
            event_loss: 0.1,
            fencing: true,
            clock_ahead: 0,
            seed: 1,
        }
    }
}

/// What an engine is told to do wrong; those with a number count down.
#[derive(Clone, PartialEq, Eq, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// An outage of the whole engine.
    pub outage: Option<Outage>,
    /// How long the outage lasts; zero means until other faults are set.
    pub lasting: Millis,
    /// Whether no step is made, while calls are still answered.
    pub frozen: bool,
    /// Steps take this many times their time.
    pub slowness: u32,
    /// Next requests refused with 503, which don't run.
    pub refusals: u32,
    /// Next streams that are cut.
    pub breaks: u32,
    /// Tokens of a stream before it is cut.
    pub break_after: u64,
    /// Whether health and load say `leaving`.
    pub leaving: bool,
}

impl Faults {
    /// The outage that they ask for.
    pub(super) fn plan(&self) -> Plan {
        Plan {
            outage: self.outage,
            lasting: self.lasting,
            vm: None,
        }
    }
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            outage: None,
            lasting: Millis::ZERO,
            frozen: false,
            slowness: 1,
            refusals: 0,
            breaks: 0,
            break_after: 0,
            leaving: false,
        }
    }
}
