//! The cache's events, export and import over HTTP.

use std::time::Duration;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use hyper::{StatusCode, Uri};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::events::Event;
use super::shared::{Shared, State};
use super::text::BLOCK_TOKENS;
use crate::http::{self, bytes, error, json, query};
use crate::lock;

/// Longest wait for events, in ms.
const MAX_WAIT: u64 = 60_000;
/// Pause between looks for events.
const LOOK_PAUSE: Duration = Duration::from_millis(10);
/// First bytes of an export.
const MAGIC: &[u8] = b"KV1\n";
/// Bytes of an exported block: its hash, then filler for keys and values.
const BLOCK_BYTES: usize = 256;

#[derive(Deserialize)]
struct EventsAsk {
    #[serde(default)]
    after: u64,
    #[serde(default)]
    wait: u64,
}

#[derive(Serialize)]
struct EventsAnswer {
    events: Vec<Event>,
}

/// Names the prefix to export.
#[derive(Deserialize)]
pub(super) struct ExportAsk {
    prefix: String,
}

/// The answer to an import.
#[derive(Serialize)]
struct Imported {
    tokens: u64,
}

/// Answers with the events that show, waiting for the first.
pub(super) async fn poll(shared: &Shared, uri: &Uri) -> http::Result {
    let ask: EventsAsk = query(uri)?;
    let end = Instant::now() + Duration::from_millis(ask.wait.min(MAX_WAIT));
    loop {
        let events = lock(&shared.state).events.after(ask.after, shared.now());
        if !events.is_empty() || Instant::now() >= end {
            return Ok(json(StatusCode::OK, &EventsAnswer { events }));
        }
        tokio::time::sleep_until(end.min(Instant::now() + LOOK_PAUSE)).await;
    }
}

/// Answers with the blocks of a prefix.
pub(super) fn export(shared: &Shared, ask: &ExportAsk) -> http::Result {
    let hash = u64::from_str_radix(&ask.prefix, 16)
        .map_err(|e| error(StatusCode::BAD_REQUEST, &e.to_string()))?;
    let Some(chain) = lock(&shared.state).batch.cache.chain(hash) else {
        return Ok(error(StatusCode::NOT_FOUND, "not in the cache"));
    };
    let mut out = BytesMut::from(MAGIC);
    for hash in chain {
        out.put_u64(hash);
        out.put_bytes(0, BLOCK_BYTES - size_of::<u64>());
    }
    Ok(bytes(StatusCode::OK, out))
}

/// Takes the blocks of a prefix.
pub(super) fn import(shared: &Shared, body: &Bytes) -> http::Result {
    let chain = parse(body).ok_or_else(|| error(StatusCode::BAD_REQUEST, "not an export"))?;
    let now = shared.now();
    let mut state = lock(&shared.state);
    let State { batch, events, .. } = &mut *state;
    events.record(batch.cache.store(&chain, now), now);
    let tokens = (chain.len() * BLOCK_TOKENS) as u64;
    Ok(json(StatusCode::OK, &Imported { tokens }))
}

fn parse(body: &[u8]) -> Option<Vec<u64>> {
    let blocks = body.strip_prefix(MAGIC)?.chunks_exact(BLOCK_BYTES);
    let whole = blocks.remainder().is_empty() && blocks.len() > 0;
    whole.then(|| blocks.map(|mut block| block.get_u64()).collect())
}
