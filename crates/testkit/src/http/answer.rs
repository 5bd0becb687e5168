//! Answers, and reading of requests.

use bytes::Bytes;
use derive_more::{Debug, Display, Error, From};
use futures_util::{Stream, StreamExt};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, Full, Limited, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Largest request body that a stand-in reads, in bytes.
pub const MAX_BODY: usize = 64 << 20;

const JSON: HeaderValue = HeaderValue::from_static("application/json");
const BYTES: HeaderValue = HeaderValue::from_static("application/octet-stream");
const EVENTS: HeaderValue = HeaderValue::from_static("text/event-stream");

/// The body of an answer, which may be cut.
pub type Body = UnsyncBoxBody<Bytes, Cut>;

/// A whole answer.
pub type Answer = Response<Body>;

/// Result of a step of a handler.
pub type Result<T = Answer> = std::result::Result<T, Stop>;

/// The connection is closed without an answer, or within it.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug, Display, Error)]
#[display("the stand-in cut the connection")]
pub struct Cut;

/// Why a handler stops early.
#[derive(Debug, Display, Error, From)]
pub enum Stop {
    /// It cuts the connection.
    #[display("{_0}")]
    Cut(Cut),
    /// It has its answer already.
    #[display("answered {}", _0.status())]
    Answered(#[error(ignore)] Box<Answer>),
}

impl From<Answer> for Stop {
    fn from(answer: Answer) -> Self {
        Self::Answered(Box::new(answer))
    }
}

/// An error as the stand-ins answer it.
#[derive(Serialize)]
struct Problem<'a> {
    error: &'a str,
}

/// An answer without a body.
pub fn empty(status: StatusCode) -> Answer {
    let body = Empty::new().map_err(|never| match never {});
    let mut answer = Response::new(body.boxed_unsync());
    *answer.status_mut() = status;
    answer
}

/// An answer with opaque bytes.
pub fn bytes(status: StatusCode, body: impl Into<Bytes>) -> Answer {
    typed(status, BYTES, full(body))
}

/// A JSON answer.
pub fn json(status: StatusCode, value: &impl Serialize) -> Answer {
    match serde_json::to_vec(value) {
        Ok(bytes) => typed(status, JSON, full(bytes)),
        Err(e) => bytes(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
    }
}

/// An answer that says what is wrong.
pub fn error(status: StatusCode, text: &str) -> Answer {
    json(status, &Problem { error: text })
}

/// An error that asks the caller to come back after whole `seconds`.
pub fn refuse(status: StatusCode, seconds: u64, text: &str) -> Answer {
    let mut answer = error(status, text);
    let headers = answer.headers_mut();
    headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    answer
}

/// Server-sent events; an error in them cuts the connection.
pub fn stream<S>(events: S) -> Answer
where
    S: Stream<Item = std::result::Result<Bytes, Cut>> + Send + 'static,
{
    let body = StreamBody::new(events.map(|event| event.map(Frame::data)));
    typed(StatusCode::OK, EVENTS, body.boxed_unsync())
}

/// The whole body of a request; 413 if it is too large or cut.
pub async fn read(body: Incoming) -> Result<Bytes> {
    let collected = Limited::new(body, MAX_BODY)
        .collect()
        .await
        .map_err(|e| error(StatusCode::PAYLOAD_TOO_LARGE, &e.to_string()))?;
    Ok(collected.to_bytes())
}

/// The body of a request read as JSON; 400 if it isn't.
pub async fn read_json<T: DeserializeOwned>(body: Incoming) -> Result<T> {
    let bytes = read(body).await?;
    serde_json::from_slice(&bytes)
        .map_err(|e| error(StatusCode::BAD_REQUEST, &e.to_string()).into())
}

fn full(body: impl Into<Bytes>) -> Body {
    Full::new(body.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

fn typed(status: StatusCode, kind: HeaderValue, body: Body) -> Answer {
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    answer.headers_mut().insert(CONTENT_TYPE, kind);
    answer
}
