//! What an entry knows of a request from its head.

use derive_more::Debug;
use xxhash_rust::xxh3::Xxh3;

use crate::clock::Millis;
use crate::units::Tokens;

/// One part of a prompt; prompts share their first parts.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub struct PromptPart {
    /// Its identity.
    pub id: u64,
    /// Its length.
    pub tokens: Tokens,
}

/// The shared start of a prompt: all parts but the last, which is the request's own.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Debug)]
pub struct SharedPrefix {
    /// Hash of the model and the parts, in order.
    pub key: u64,
    /// Length of the parts together.
    pub tokens: Tokens,
}

/// A request's head, decoded.
#[derive(Clone, PartialEq, Eq, Default)]
#[derive(Debug)]
pub struct RequestHead {
    /// Identity of this attempt of the caller.
    pub attempt: String,
    /// How long the caller waits.
    pub timeout: Option<Millis>,
    /// The caller's key.
    #[debug(skip)]
    pub key: Option<String>,
    /// The model.
    pub model: String,
    /// Parts of the prompt, in order.
    pub parts: Vec<PromptPart>,
    /// Last event that the caller has of a stream.
    pub last_event: Option<u64>,
}

impl RequestHead {
    /// The shared start of the prompt, if it has one.
    pub fn shared(&self) -> Option<SharedPrefix> {
        let (_, shared) = self.parts.split_last()?;
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
            tokens: shared.iter().map(|part| part.tokens).sum(),
        })
    }
}
