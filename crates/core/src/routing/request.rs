//! The decoded head of a caller's request.

use derive_more::Debug;
use xxhash_rust::xxh3::Xxh3;

use crate::clock::Millis;
use crate::units::Tokens;

/// One part of a prompt. Prompts may start with the same parts.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub struct PromptPart {
    /// Id of its content.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: Tokens,
}

/// The shared prefix of a prompt: all parts but the last, which is specific to the request.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Debug)]
pub struct SharedPrefix {
    /// Hash of the model and the parts in order.
    pub key: u64,
    /// Total length in tokens.
    pub tokens: Tokens,
}

/// Headers of a request, decoded.
#[derive(Clone, PartialEq, Eq, Default)]
#[derive(Debug)]
pub struct RequestHead {
    /// The caller's id of this attempt.
    pub attempt: String,
    /// How long the caller waits for the response.
    pub timeout: Option<Millis>,
    /// The caller's key.
    #[debug(skip)]
    pub key: Option<String>,
    /// The model.
    pub model: String,
    /// Parts of the prompt, in order.
    pub parts: Vec<PromptPart>,
    /// Length of the prompt, if given.
    pub prompt_tokens: Option<Tokens>,
    /// Id of the last event of a stream that the caller has received.
    pub last_event: Option<u64>,
    /// Id of the attempt that brought the first event of a stream that the caller takes up; empty
    /// if it can't be read.
    pub resumes: Option<String>,
}

impl RequestHead {
    /// Whether the caller takes up a stream of which it has received events.
    pub const fn is_take_up(&self) -> bool {
        self.last_event.is_some() || self.resumes.is_some()
    }

    /// Parts of the prompt that other requests may have too: all but the last.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// The shared prefix of the prompt, if it has one.
    pub fn shared(&self) -> Option<SharedPrefix> {
        let shared = self.shared_parts();
        if shared.is_empty() {
            return None;
        }
        let mut hash = Xxh3::new();
        hash.update(self.model.as_bytes());
        for part in shared {
            hash.update(&part.id.to_le_bytes());
        }
        Some(SharedPrefix {
            key: hash.digest(),
            tokens: (shared.iter()).fold(Tokens::ZERO, |sum, part| sum.saturating_add(part.tokens)),
        })
    }
}
