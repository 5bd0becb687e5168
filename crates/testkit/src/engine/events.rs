//! Cache events, late and with gaps.

use std::collections::VecDeque;

use medlarrill_core::clock::Millis;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use super::cache::{Prefix, Stored};
use super::settings::Settings;

/// Events kept for those who ask late.
const MAX_EVENTS: usize = 10_000;
/// Events in one answer.
const MAX_ANSWER: usize = 1000;

/// Whether a prefix came or went.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EventKind {
    /// It came into the cache.
    Stored,
    /// It went out of it.
    Evicted,
}

/// A change of the cache as the engine publishes it.
#[derive(Clone, PartialEq, Eq, Debug)]
#[derive(Serialize, Deserialize)]
pub struct Event {
    /// Its number, from 1; some never show.
    pub seq: u64,
    /// What happened.
    pub kind: EventKind,
    /// The chained hash of the prefix's last block, in hexadecimal.
    pub prefix: String,
    /// Tokens of the prefix.
    pub tokens: u64,
}

#[derive(Debug)]
struct Kept {
    shows: Millis,
    event: Event,
}

/// The events of one engine.
#[derive(Debug)]
pub(super) struct Events {
    lag: Millis,
    loss: f64,
    rng: Pcg64Mcg,
    seq: u64,
    kept: VecDeque<Kept>,
}

impl Events {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            lag: settings.event_lag,
            loss: settings.event_loss,
            rng: Pcg64Mcg::seed_from_u64(settings.seed),
            seq: 0,
            kept: VecDeque::new(),
        }
    }

    pub(super) fn record(&mut self, stored: Stored, now: Millis) {
        for prefix in stored.evicted {
            self.push(EventKind::Evicted, prefix, now);
        }
        if let Some(prefix) = stored.added {
            self.push(EventKind::Stored, prefix, now);
        }
    }

    /// The events after `seq` that show by now.
    pub(super) fn after(&self, seq: u64, now: Millis) -> Vec<Event> {
        let shown = |kept: &&Kept| kept.event.seq > seq && kept.shows <= now;
        let kept = self.kept.iter().filter(shown).take(MAX_ANSWER);
        kept.map(|kept| kept.event.clone()).collect()
    }

    fn push(&mut self, kind: EventKind, prefix: Prefix, now: Millis) {
        self.seq += 1;
        if self.rng.random_bool(self.loss.clamp(0.0, 1.0)) {
            return;
        }
        if self.kept.len() == MAX_EVENTS {
            self.kept.pop_front();
        }
        let event = Event {
            seq: self.seq,
            kind,
            prefix: format!("{:016x}", prefix.hash),
            tokens: prefix.tokens,
        };
        let shows = now + self.lag;
        self.kept.push_back(Kept { shows, event });
    }
}
