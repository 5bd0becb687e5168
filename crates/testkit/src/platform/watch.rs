//! Long polls for changes.

use std::time::Duration;

use hyper::{StatusCode, Uri};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::shared::Shared;
use super::store::Change;
use crate::http::{self, error, json, query};

/// Longest wait, in ms.
const MAX_WAIT: u64 = 60_000;

#[derive(Deserialize)]
struct Ask {
    #[serde(default)]
    prefix: String,
    /// The era of `after`, if the caller names it.
    era: Option<u64>,
    after: u64,
    #[serde(default)]
    wait: u64,
}

/// The changes that a watch saw.
#[derive(Serialize)]
struct Changes {
    era: u64,
    revision: u64,
    events: Vec<Change>,
}

/// Answers with the changes after a revision, waiting for the first.
pub(super) async fn poll(shared: &Shared, uri: &Uri) -> http::Result {
    let ask: Ask = query(uri)?;
    let end = Instant::now() + Duration::from_millis(ask.wait.min(MAX_WAIT));
    let mut positions = shared.positions();
    loop {
        positions.borrow_and_update();
        let changes = read(shared, &ask)?;
        if !changes.events.is_empty() {
            return Ok(json(StatusCode::OK, &changes));
        }
        let changed = tokio::time::timeout_at(end, positions.changed()).await;
        if changed.is_err() {
            return Ok(json(StatusCode::OK, &changes));
        }
    }
}

fn read(shared: &Shared, ask: &Ask) -> http::Result<Changes> {
    shared.store(|store| {
        let era = store.era();
        if ask.era.is_some_and(|asked| asked != era) {
            return Err(error(StatusCode::GONE, "the era is another one").into());
        }
        let events = store
            .changes(&ask.prefix, ask.after)
            .map_err(|e| error(StatusCode::GONE, &e.to_string()))?;
        let revision = store.revision();
        Ok(Changes {
            era,
            revision,
            events,
        })
    })
}
