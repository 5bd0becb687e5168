//! A caller of the fleet.

use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use derive_more::{Debug, Display, Error, From};
use http_body_util::BodyExt;
use hyper::http::request::Builder;
use hyper::{Method, Response, StatusCode};
use serde::Deserialize;
use serde_json::json;

use crate::client::{self, ClientError};
use crate::engine::Message;

/// Result of a call.
pub type Result<T> = std::result::Result<T, CallError>;

/// A call without a whole answer.
#[derive(Debug, Display, Error, From)]
pub enum CallError {
    /// The connection failed or broke.
    #[display("{_0}")]
    Client(ClientError),
    /// The answer's body broke.
    #[display("the answer broke: {_0}")]
    Body(hyper::Error),
    /// The fleet refused, or cut the answer short.
    #[display("{_0}")]
    Problem(#[error(not(source))] Problem),
    /// The answer can't be read.
    #[display("the answer can't be read: {_0}")]
    Json(serde_json::Error),
    /// The stream ended without its end mark.
    #[display("the stream ended without its end mark")]
    Unfinished,
}

/// A refusal as the caller reads it.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug, Display, Deserialize)]
#[display("{status} {code}, {outcome}")]
pub struct Problem {
    /// HTTP status.
    pub status: u16,
    /// Code of the reason.
    pub code: String,
    /// Whether it ran: `ran`, `not-run` or `unknown`.
    pub outcome: String,
    /// What is known of this request alone, where that differs.
    pub this_request: Option<String>,
    /// Seconds after which to come back.
    pub retry_after: Option<u64>,
    /// More of it.
    pub detail: Option<String>,
}

/// The answer to one turn of a chat.
#[derive(Clone, PartialEq, Eq, Default)]
#[derive(Debug)]
pub struct ChatAnswer {
    /// The text.
    pub text: String,
    /// Prompt tokens.
    pub prompt: u64,
    /// Prompt tokens served from a cache.
    pub cached: u64,
    /// The request's identifier.
    pub request: String,
}

/// One account at one daemon.
#[derive(Clone)]
#[derive(Debug)]
pub struct Caller {
    address: SocketAddr,
    key: String,
}

impl Caller {
    /// A caller with a bearer key.
    pub fn new(address: SocketAddr, key: &str) -> Self {
        Self {
            address,
            key: key.into(),
        }
    }

    /// One streamed turn of a chat.
    pub async fn chat(&self, chat: &str, messages: &[Message], tokens: u64) -> Result<ChatAnswer> {
        let body = completion(chat, messages, tokens, true);
        let request = self.request(Method::POST, "/v1/chat/completions");
        let answer = client::open(self.address, request, body).await?;
        let mut stream = ChatAnswer {
            request: request_id(&answer),
            ..ChatAnswer::default()
        };
        if !answer.status().is_success() {
            let body = answer.into_body().collect().await?.to_bytes();
            return Err(CallError::Problem(serde_json::from_slice(&body)?));
        }
        let mut body = answer.into_body();
        let mut buffer = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            buffer.extend_from_slice(&data);
            while let Some(event) = next_event(&mut buffer) {
                if take_event(&mut stream, &event)? {
                    return Ok(stream);
                }
            }
        }
        Err(CallError::Unfinished)
    }

    /// One turn of a chat, answered whole.
    pub async fn chat_whole(
        &self,
        chat: &str,
        messages: &[Message],
        tokens: u64,
    ) -> Result<ChatAnswer> {
        let body = completion(chat, messages, tokens, false);
        let request = self.request(Method::POST, "/v1/chat/completions");
        let answer = checked(client::send(self.address, request, body).await?)?;
        let whole: Completion = serde_json::from_slice(answer.body())?;
        let mut result = ChatAnswer {
            request: request_id(&answer),
            ..ChatAnswer::default()
        };
        result.take(whole);
        Ok(result)
    }

    /// A call to a plain service; with a key if it may not be repeated.
    pub async fn call(&self, path: &str, key: Option<&str>, body: &str) -> Result<Response<Bytes>> {
        let mut request = self.request(Method::POST, path);
        if let Some(key) = key {
            request = request.header("Idempotency-Key", key);
        }
        checked(client::send(self.address, request, body.to_owned()).await?)
    }

    /// A read.
    pub async fn get(&self, path: &str) -> Result<Response<Bytes>> {
        let request = self.request(Method::GET, path);
        checked(client::send(self.address, request, "").await?)
    }

    fn request(&self, method: Method, path: &str) -> Builder {
        client::request(method, path).header("Authorization", format!("Bearer {}", self.key))
    }
}

fn completion(chat: &str, messages: &[Message], tokens: u64, stream: bool) -> String {
    json!({
        "model": "m1",
        "chat_id": chat,
        "messages": messages,
        "max_tokens": tokens,
        "stream": stream,
    })
    .to_string()
}

fn checked(answer: Response<Bytes>) -> Result<Response<Bytes>> {
    let problem = |kind: &hyper::header::HeaderValue| kind == "application/problem+json";
    if answer.headers().get("content-type").is_some_and(problem) {
        return Err(CallError::Problem(serde_json::from_slice(answer.body())?));
    }
    debug_assert!(answer.status() != StatusCode::CONTINUE);
    Ok(answer)
}

fn request_id<T>(answer: &Response<T>) -> String {
    let header = answer.headers().get("x-request-id");
    let text = header.and_then(|value| value.to_str().ok());
    text.unwrap_or_default().into()
}

fn next_event(buffer: &mut BytesMut) -> Option<Bytes> {
    let end = buffer.windows(2).position(|two| two == b"\n\n")?;
    Some(buffer.split_to(end + 2).freeze())
}

/// Takes one event; true at the end mark.
fn take_event(stream: &mut ChatAnswer, event: &[u8]) -> Result<bool> {
    let text = String::from_utf8_lossy(event);
    let failed = text.lines().any(|line| line == "event: error");
    for line in text.lines() {
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            return Ok(true);
        }
        if failed {
            return Err(CallError::Problem(serde_json::from_str(data)?));
        }
        stream.take(serde_json::from_str(data)?);
    }
    Ok(false)
}

#[derive(Deserialize)]
struct Completion {
    #[serde(default)]
    choices: Vec<Choice>,
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(alias = "message", default)]
    delta: Delta,
}

#[derive(Default)]
#[derive(Deserialize)]
struct Delta {
    #[serde(default)]
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

impl ChatAnswer {
    fn take(&mut self, piece: Completion) {
        for choice in piece.choices {
            self.text.push_str(&choice.delta.content);
        }
        if let Some(usage) = piece.usage {
            self.prompt = usage.prompt_tokens;
            self.cached = usage.prompt_tokens_details.cached_tokens;
        }
    }
}
