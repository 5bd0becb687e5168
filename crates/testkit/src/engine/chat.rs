//! Chat completions as OpenAI's API has them.

use std::fmt::Write;

use serde::{Deserialize, Serialize};
use serde_with::skip_serializing_none;

use super::job::Job;
use super::text::Message;

/// Most tokens of one answer.
const MAX_ANSWER: u64 = 1 << 16;

/// A request for a completion; what it doesn't name is ignored.
#[derive(Clone, PartialEq, Eq, Debug)]
#[derive(Deserialize)]
pub(super) struct Ask {
    #[serde(default)]
    pub(super) model: String,
    pub(super) messages: Vec<Message>,
    #[serde(default)]
    pub(super) stream: bool,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
}

impl Ask {
    /// The number of tokens asked for, if any.
    pub(super) fn limit(&self) -> Option<u64> {
        let limit = self.max_completion_tokens.or(self.max_tokens)?;
        Some(limit.clamp(1, MAX_ANSWER))
    }
}

/// A whole answer.
#[derive(Serialize)]
pub(super) struct Whole {
    id: String,
    object: &'static str,
    created: u64,
    model: String,
    choices: [WholeChoice; 1],
    usage: Usage,
}

#[derive(Serialize)]
struct WholeChoice {
    index: u32,
    message: Message,
    finish_reason: &'static str,
}

#[derive(Serialize)]
struct Usage {
    prompt_tokens: u64,
    completion_tokens: u64,
    total_tokens: u64,
    prompt_tokens_details: PromptDetails,
}

#[derive(Serialize)]
struct PromptDetails {
    cached_tokens: u64,
}

/// A piece of a streamed answer.
#[skip_serializing_none]
#[derive(Serialize)]
struct Chunk<'a> {
    id: String,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: Vec<ChunkChoice>,
    usage: Option<Usage>,
}

#[derive(Serialize)]
struct ChunkChoice {
    index: u32,
    delta: Delta,
    finish_reason: Option<&'static str>,
}

#[derive(Serialize)]
struct Delta {
    content: String,
}

impl Usage {
    fn new(job: &Job) -> Self {
        let run = &job.run;
        Self {
            prompt_tokens: run.prompt,
            completion_tokens: run.made,
            total_tokens: run.prompt + run.made,
            prompt_tokens_details: PromptDetails {
                cached_tokens: run.cached,
            },
        }
    }
}

impl Whole {
    pub(super) fn new(job: &Job) -> Self {
        let choice = WholeChoice {
            index: 0,
            message: Message::new("assistant", &job.answer(0, job.run.made)),
            finish_reason: job.finish,
        };
        Self {
            id: completion_id(job),
            object: "chat.completion",
            created: created(job),
            model: job.run.model.clone(),
            choices: [choice],
            usage: Usage::new(job),
        }
    }
}

/// The events for the tokens after `from`, up to and with `to`, with the end
/// of the answer if that is reached.
pub(super) fn events(job: &Job, from: u64, to: u64) -> String {
    let mut events = String::new();
    let last = job.is_done() && to == job.run.made;
    if from < to {
        let choice = ChunkChoice {
            index: 0,
            delta: Delta {
                content: job.answer(from, to),
            },
            finish_reason: last.then_some(job.finish),
        };
        push(&mut events, to, &chunk(job, vec![choice], None));
    }
    if last {
        push(&mut events, to, &chunk(job, vec![], Some(Usage::new(job))));
        push_text(&mut events, to, "[DONE]");
    }
    events
}

fn chunk(job: &Job, choices: Vec<ChunkChoice>, usage: Option<Usage>) -> Chunk<'_> {
    Chunk {
        id: completion_id(job),
        object: "chat.completion.chunk",
        created: created(job),
        model: &job.run.model,
        choices,
        usage,
    }
}

fn push(events: &mut String, id: u64, chunk: &Chunk<'_>) {
    let data = serde_json::to_string(chunk).expect("a chunk has only text keys");
    push_text(events, id, &data);
}

fn push_text(events: &mut String, id: u64, data: &str) {
    write!(events, "id: {id}\ndata: {data}\n\n").expect("a string takes all text");
}

fn completion_id(job: &Job) -> String {
    format!("chatcmpl-{}", job.run.request)
}

/// When the request arrived, in seconds.
const fn created(job: &Job) -> u64 {
    job.run.at / 1000
}
