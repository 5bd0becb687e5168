//! The text that an engine reads and makes, and its tokens.
//!
//! A token is four bytes. The nth token of an answer depends on the prompt's
//! text and n alone, so that a test can tell a missing, repeated or foreign
//! one.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Bytes of text in a token.
pub const TOKEN_BYTES: usize = 4;
/// Tokens in a block of the prefix cache.
pub const BLOCK_TOKENS: usize = 16;

const BLOCK_BYTES: usize = BLOCK_TOKENS * TOKEN_BYTES;
/// Letters of answers; as many as five bits tell apart.
const LETTERS: &[u8; 32] = b"abcdefghijklmnopqrstuvwxyz234567";
const LETTER_BITS: usize = 5;

/// One message of a chat.
#[derive(Clone, PartialEq, Eq, Debug)]
#[derive(Serialize, Deserialize)]
pub struct Message {
    /// Who says it: `system`, `user` or `assistant`.
    pub role: String,
    /// What is said.
    #[serde(deserialize_with = "content")]
    pub content: String,
}

impl Message {
    /// A message of `role`.
    pub fn new(role: &str, content: &str) -> Self {
        Self {
            role: role.into(),
            content: content.into(),
        }
    }
}

/// Content as callers may write it.
#[derive(Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<Part>),
}

#[derive(Deserialize)]
struct Part {
    #[serde(default)]
    text: String,
}

fn content<'de, D: serde::Deserializer<'de>>(from: D) -> Result<String, D::Error> {
    Ok(match Content::deserialize(from)? {
        Content::Text(text) => text,
        Content::Parts(parts) => parts.into_iter().map(|part| part.text).collect(),
    })
}

/// The prompt's text: a line `<role>: <content>` for each message.
///
/// The text of a chat's next turn begins with that of the last one, answer
/// included.
pub fn messages_text(messages: &[Message]) -> String {
    let line = |message: &Message| format!("{}: {}\n", message.role, message.content);
    messages.iter().map(line).collect()
}

/// The first `tokens` tokens of the answer to a prompt's text.
pub fn expected_answer(messages_text: &str, tokens: u64) -> String {
    answer(seed(messages_text), 0, tokens)
}

/// The hash of each whole block of `text`, chained: the hash of a block is
/// xxh3 of its bytes, seeded with the hash of the block before it, 0 at first.
pub fn block_hashes(text: &str) -> Vec<u64> {
    let chain = |last: &mut u64, block: &[u8]| {
        *last = xxh3_64_with_seed(block, *last);
        Some(*last)
    };
    let blocks = text.as_bytes().chunks_exact(BLOCK_BYTES);
    blocks.scan(0, chain).collect()
}

/// The number of tokens in `text`, the last one perhaps short.
pub const fn token_count(text: &str) -> u64 {
    text.len().div_ceil(TOKEN_BYTES) as u64
}

/// What answers to a prompt are drawn from.
pub(super) fn seed(prompt: &str) -> u64 {
    xxh3_64(prompt.as_bytes())
}

/// The tokens of an answer after the first `from`, up to and with `to`.
pub(super) fn answer(seed: u64, from: u64, to: u64) -> String {
    (from + 1..=to).flat_map(|n| token(seed, n)).collect()
}

fn token(seed: u64, n: u64) -> impl Iterator<Item = char> {
    let drawn = xxh3_64_with_seed(&n.to_le_bytes(), seed) as usize;
    (0..TOKEN_BYTES).map(move |place| {
        let letter = (drawn >> (place * LETTER_BITS)) % LETTERS.len();
        char::from(LETTERS[letter])
    })
}
