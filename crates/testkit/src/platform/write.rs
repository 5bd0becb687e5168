//! Conditional writes and the faults that they meet.

use std::sync::Arc;

use bytes::Bytes;
use hyper::header::{ETAG, HeaderValue, IF_MATCH, IF_NONE_MATCH};
use hyper::{HeaderMap, StatusCode};

use super::calls::Call;
use super::fault::Fate;
use super::shared::{Caller, Shared};
use super::store::{Result, Store, StoreError};
use crate::http::{self, Answer, Cut, empty, error, header};
use crate::lock;

/// What a write does to its object.
#[derive(Clone, Debug)]
enum Effect {
    Create(Bytes),
    Update { version: u64, body: Bytes },
    Delete { version: u64 },
}

/// One conditional write.
#[derive(Clone, Debug)]
pub(super) struct Write {
    key: String,
    effect: Effect,
}

impl Write {
    /// Reads a write from its request; 400 or 428 if its condition is amiss.
    pub(super) fn new(
        call: Call,
        key: String,
        headers: &HeaderMap,
        body: Bytes,
    ) -> http::Result<Self> {
        let version = header(headers, IF_MATCH.as_str())
            .map(parse_version)
            .transpose()?;
        let create = header(headers, IF_NONE_MATCH.as_str()) == Some("*");
        let effect = match (call, version, create) {
            (Call::Create, None, true) => Effect::Create(body),
            (Call::Update, Some(version), false) => Effect::Update { version, body },
            (Call::Delete, Some(version), false) => Effect::Delete { version },
            _ => return Err(error(StatusCode::PRECONDITION_REQUIRED, "no condition").into()),
        };
        Ok(Self { key, effect })
    }

    /// The kind of call that it is.
    pub(super) const fn call(&self) -> Call {
        match self.effect {
            Effect::Create(_) => Call::Create,
            Effect::Update { .. } => Call::Update,
            Effect::Delete { .. } => Call::Delete,
        }
    }

    fn apply(self, store: &mut Store) -> Result<Option<u64>> {
        let key = &self.key;
        match self.effect {
            Effect::Create(body) => store.create(key, body).map(Some),
            Effect::Update { version, body } => store.update(key, version, body).map(Some),
            Effect::Delete { version } => store.delete(key, version).map(|()| None),
        }
    }
}

/// Applies a write as its fate has it.
pub(super) fn run(shared: &Arc<Shared>, caller: &Caller, write: Write) -> http::Result {
    let fate = lock(&shared.faults).fate(&write.key, caller.vm());
    match fate {
        Fate::RequestLost => Err(Cut.into()),
        Fate::Late(after) => {
            let shared = Arc::clone(shared);
            tokio::spawn(async move {
                tokio::time::sleep(after.as_duration()).await;
                // Nobody waits for this answer.
                let _ = shared.store(|store| write.apply(store));
            });
            Err(Cut.into())
        }
        Fate::AnswerLost => {
            // The answer is lost whatever it says.
            let _ = shared.store(|store| write.apply(store));
            Err(Cut.into())
        }
        Fate::Whole => {
            let call = write.call();
            let applied = shared.store(|store| write.apply(store));
            Ok(answer(call, applied))
        }
    }
}

fn answer(call: Call, applied: Result<Option<u64>>) -> Answer {
    match (applied, call) {
        (Ok(None), _) => empty(StatusCode::NO_CONTENT),
        (Ok(Some(version)), Call::Create) => tagged(empty(StatusCode::CREATED), version),
        (Ok(Some(version)), _) => tagged(empty(StatusCode::OK), version),
        (Err(StoreError::Present { version }), _) => {
            tagged(empty(StatusCode::PRECONDITION_FAILED), version)
        }
        (Err(StoreError::Absent), Call::Delete) => empty(StatusCode::NOT_FOUND),
        (Err(StoreError::Absent), _) => empty(StatusCode::PRECONDITION_FAILED),
        (Err(e @ StoreError::TooLarge), _) => error(StatusCode::PAYLOAD_TOO_LARGE, &e.to_string()),
        (Err(e @ StoreError::TooOld), _) => error(StatusCode::GONE, &e.to_string()),
    }
}

/// Adds the version as an `ETag`.
pub(super) fn tagged(mut answer: Answer, version: u64) -> Answer {
    if let Ok(tag) = HeaderValue::from_str(&format!("\"{version}\"")) {
        answer.headers_mut().insert(ETAG, tag);
    }
    answer
}

/// Reads a version from an `ETag`; 400 if it isn't one.
pub(super) fn parse_version(tag: &str) -> http::Result<u64> {
    tag.trim_matches('"')
        .parse()
        .map_err(|_| error(StatusCode::BAD_REQUEST, "not a version").into())
}
