//! Chats that return, and the check of each answer.

use bytes::Bytes;
use medlarrill_testkit::engine::{Message, expected_answer, messages_text};
use serde::Deserialize;
use serde_json::json;

use crate::error::{LabError, Result};

/// A chat between two turns.
#[derive(Clone, Debug)]
pub struct Chat {
    name: String,
    messages: Vec<Message>,
    turns: usize,
}

/// Tokens of one answer.
#[derive(Clone, Copy, Default, Debug)]
pub struct Tokens {
    /// Of the prompt.
    pub prompt: u64,
    /// Of the prompt, from the engine's cache.
    pub cached: u64,
}

#[derive(Deserialize)]
struct Event {
    choices: Vec<Choice>,
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Choice {
    delta: Delta,
}

#[derive(Deserialize)]
struct Delta {
    content: String,
}

#[derive(Deserialize)]
struct Usage {
    prompt_tokens: u64,
    prompt_tokens_details: Details,
}

#[derive(Deserialize)]
struct Details {
    cached_tokens: u64,
}

impl Chat {
    /// A chat whose first message has `words` words of its own.
    pub fn new(name: String, words: usize) -> Self {
        let word = |at: usize| format!("{name}-{at} ");
        let opening: String = (0..words).map(word).collect();
        Self {
            messages: vec![Message::new("user", &opening)],
            name,
            turns: 0,
        }
    }

    /// Turns taken.
    pub const fn turns(&self) -> usize {
        self.turns
    }

    /// The request of the next turn.
    pub fn request(&self, tokens: u64) -> Bytes {
        let body = json!({
            "model": "m1",
            "chat_id": self.name,
            "messages": self.messages,
            "max_tokens": tokens,
            "stream": true,
        });
        body.to_string().into()
    }

    /// Checks the turn's answer and adds it to the chat.
    ///
    /// # Errors
    ///
    /// When it isn't the only right one, whole.
    pub fn take(&mut self, body: &[u8], tokens: u64) -> Result<Tokens> {
        let text = String::from_utf8_lossy(body);
        let mut answer = String::new();
        let mut used = Tokens::default();
        let mut done = false;
        for data in text.lines().filter_map(|line| line.strip_prefix("data: ")) {
            if data == "[DONE]" {
                done = true;
                continue;
            }
            let event: Event = serde_json::from_str(data)?;
            for choice in event.choices {
                answer.push_str(&choice.delta.content);
            }
            if let Some(usage) = event.usage {
                used.prompt = usage.prompt_tokens;
                used.cached = usage.prompt_tokens_details.cached_tokens;
            }
        }
        if !done || answer != expected_answer(&messages_text(&self.messages), tokens) {
            let name = &self.name;
            return Err(LabError::Wrong(format!("{name}: not the right answer")));
        }
        self.messages.push(Message::new("assistant", &answer));
        let question = format!("and stop {}?", self.turns);
        self.messages.push(Message::new("user", &question));
        self.turns += 1;
        Ok(used)
    }
}
