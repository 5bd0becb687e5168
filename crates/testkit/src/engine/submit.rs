//! Taking a chat completion.

use std::sync::Arc;

use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, StatusCode};

use super::chat::Ask;
use super::job::{Job, Phase, Run};
use super::reader::Reader;
use super::shared::{Shared, State};
use super::text::{messages_text, token_count};
use crate::http::{self, Answer, Cut, error, header, json, refuse};
use crate::{Readiness, lock};

/// Seconds in the `Retry-After` of a full engine.
const RETRY_AFTER: u64 = 1;
/// Highest priority.
const MAX_PRIORITY: u8 = 9;

/// A request that was taken.
struct Taken {
    number: u64,
    request: String,
}

/// Runs a completion and answers it, streamed or whole.
pub(super) async fn complete(
    shared: &Arc<Shared>,
    headers: &HeaderMap,
    body: &Bytes,
) -> http::Result {
    let ask: Ask =
        serde_json::from_slice(body).map_err(|e| error(StatusCode::BAD_REQUEST, &e.to_string()))?;
    let streamed = ask.stream;
    let taken = submit(shared, headers, body, ask)?;
    let reader = Reader::new(shared, taken.number, 0).ok_or(Cut)?;
    let mut answer = if streamed {
        http::stream(reader.events())
    } else {
        json(StatusCode::OK, &reader.whole().await?)
    };
    if let Ok(name) = HeaderValue::from_str(&taken.request) {
        answer.headers_mut().insert("x-request-id", name);
    }
    Ok(answer)
}

fn submit(shared: &Shared, headers: &HeaderMap, body: &Bytes, ask: Ask) -> http::Result<Taken> {
    let finish = ask.limit().map_or("stop", |_| "length");
    let streamed = ask.stream;
    let text = messages_text(&ask.messages);
    let mut state = lock(&shared.state);
    if shared.settings.strict && !state.orders.serves(&ask.model) {
        return Err(error(StatusCode::NOT_FOUND, "no such model").into());
    }
    if state.faults.refusals > 0 {
        state.faults.refusals -= 1;
        state.batch.counters.refused += 1;
        return Err(full().into());
    }
    let run = run(shared, &state, headers, body, ask, token_count(&text));
    let job = Job::new(run, text, streamed, finish);
    let number = state.batch.submit(job).map_err(|_| full())?;
    let named = state.batch.job(number);
    let request = named.map(|job| job.run.request.clone()).unwrap_or_default();
    drop(state);
    shared.wake();
    Ok(Taken { number, request })
}

fn run(
    shared: &Shared,
    state: &State,
    headers: &HeaderMap,
    body: &Bytes,
    ask: Ask,
    prompt: u64,
) -> Run {
    let priority = header(headers, "x-priority").and_then(|text| text.parse().ok());
    Run {
        run: 0,
        request: header(headers, "x-request-id").unwrap_or_default().into(),
        key: header(headers, "idempotency-key").map(str::to_owned),
        digest: blake3::hash(body).to_hex().to_string(),
        wanted: ask.limit().unwrap_or(shared.settings.answer),
        model: ask.model,
        priority: priority.unwrap_or(0).min(MAX_PRIORITY),
        prompt,
        cached: 0,
        made: 0,
        phase: Phase::Waiting,
        leaving: state.readiness() == Readiness::Leaving,
        at: shared.now().0,
    }
}

fn full() -> Answer {
    refuse(StatusCode::SERVICE_UNAVAILABLE, RETRY_AFTER, "full")
}
