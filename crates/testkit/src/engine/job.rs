//! One request in an engine, and the record that is kept of it.

use derive_more::{Display, FromStr};
use medlarrill_core::clock::Millis;
use serde::{Deserialize, Serialize};
use serde_with::skip_serializing_none;

use super::text;

/// How far a request has come.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
#[derive(Serialize, Deserialize, Display, FromStr)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// It waits for a slot; nothing of it has run.
    #[display("waiting")]
    Waiting,
    /// It has a slot.
    #[display("running")]
    Running,
    /// Its answer is made whole.
    #[display("done")]
    Done,
    /// It was cancelled, by a call or after its reader left.
    #[display("cancelled")]
    Cancelled,
}

/// What is kept of a request after it ended.
#[skip_serializing_none]
#[derive(Clone, PartialEq, Eq, Debug)]
#[derive(Serialize, Deserialize)]
pub struct Run {
    /// Its number, from 1, in order of arrival.
    pub run: u64,
    /// The `X-Request-Id`, or a name made by the engine.
    pub request: String,
    /// The `Idempotency-Key` header.
    pub key: Option<String>,
    /// The BLAKE3 digest of the body, in hexadecimal.
    pub digest: String,
    /// The model asked for.
    pub model: String,
    /// 0 to 9, higher first.
    pub priority: u8,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Tokens of the prompt found in the cache.
    pub cached: u64,
    /// Tokens wanted.
    pub wanted: u64,
    /// Tokens made.
    pub made: u64,
    /// How far it came.
    pub phase: Phase,
    /// Whether the engine was leaving when it arrived.
    pub leaving: bool,
    /// When it arrived, by the engine's wall clock in ms.
    pub at: u64,
}

/// A request while the engine holds it.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) run: Run,
    /// The prompt's text.
    pub(super) text: String,
    /// The prompt's blocks.
    pub(super) chain: Vec<u64>,
    pub(super) seed: u64,
    /// Why the answer ends where it does.
    pub(super) finish: &'static str,
    /// Uncached prompt tokens still to be read.
    pub(super) unread: u64,
    /// Tokens handed to the reader.
    pub(super) sent: u64,
    /// Whether a slow reader pauses it.
    pub(super) streamed: bool,
    /// Counts readers, so that an earlier one knows that it was replaced.
    pub(super) reader: u64,
    /// Since when it has no reader.
    pub(super) alone: Option<Millis>,
}

impl Job {
    pub(super) fn new(run: Run, text: String, streamed: bool, finish: &'static str) -> Self {
        Self {
            chain: text::block_hashes(&text),
            seed: text::seed(&text),
            unread: run.prompt,
            run,
            text,
            finish,
            sent: 0,
            streamed,
            reader: 0,
            alone: None,
        }
    }

    /// Tokens of work left.
    pub(super) const fn left(&self) -> u64 {
        self.unread + self.run.wanted - self.run.made
    }

    /// Whether the answer is made whole.
    pub(super) const fn is_done(&self) -> bool {
        matches!(self.run.phase, Phase::Done)
    }

    /// Tokens made and not yet handed to the reader.
    pub(super) const fn ahead(&self) -> u64 {
        self.run.made.saturating_sub(self.sent)
    }

    /// The tokens of the answer after `from`, up to and with `to`.
    pub(super) fn answer(&self, from: u64, to: u64) -> String {
        text::answer(self.seed, from, to)
    }

    /// The blocks of the prompt and of what was made of the answer.
    pub(super) fn whole_chain(&self) -> Vec<u64> {
        let answer = self.answer(0, self.run.made);
        text::block_hashes(&format!("{}assistant: {answer}\n", self.text))
    }
}
