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
    after: u64,
    #[serde(default)]
    wait: u64,
}

/// The changes that a watch saw.
#[derive(Serialize)]
struct Changes {
    revision: u64,
    events: Vec<Change>,
}

/// Answers with the changes after a revision, waiting for the first.
pub(super) async fn poll(shared: &Shared, uri: &Uri) -> http::Result {
    let ask: Ask = query(uri)?;
    let end = Instant::now() + Duration::from_millis(ask.wait.min(MAX_WAIT));
    let mut revisions = shared.revisions();
    loop {
        revisions.borrow_and_update();
        let changes = read(shared, &ask)?;
        if !changes.events.is_empty() {
            return Ok(json(StatusCode::OK, &changes));
        }
        let changed = tokio::time::timeout_at(end, revisions.changed()).await;
        if changed.is_err() {
            return Ok(json(StatusCode::OK, &changes));
        }
    }
}

fn read(shared: &Shared, ask: &Ask) -> http::Result<Changes> {
    shared.store(|store| {
        let events = store
            .changes(&ask.prefix, ask.after)
            .map_err(|e| error(StatusCode::GONE, &e.to_string()))?;
        let revision = store.revision();
        Ok(Changes { revision, events })
    })
}
