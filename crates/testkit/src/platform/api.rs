//! The platform's calls over HTTP.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::header::IF_NONE_MATCH;
use hyper::{HeaderMap, Method, Request, StatusCode, Uri};
use percent_encoding::percent_decode_str;
use serde::{Deserialize, Serialize};

use super::calls::{Call, CallCount, OBJECTS};
use super::fault::Faults;
use super::shared::{Caller, Shared};
use super::store::Entry;
use super::vms::VmUpdate;
use super::write::{self, Write, parse_version, tagged};
use crate::http::{self, Answer, empty, error, header, json, query, read_json};
use crate::lock;

/// Objects in one list, at most and if the caller names no limit.
const MAX_LIST: usize = 1000;

#[derive(Deserialize)]
struct ListAsk {
    #[serde(default)]
    prefix: String,
    #[serde(default)]
    after: String,
    limit: Option<usize>,
}

#[derive(Serialize)]
struct Listing {
    era: u64,
    revision: u64,
    objects: Vec<Entry>,
    more: bool,
}

/// The counts as they are read over HTTP.
#[derive(Serialize)]
struct Counts {
    calls: Vec<CallCount>,
}

/// Answers one request.
pub(super) async fn answer(shared: &Arc<Shared>, request: Request<Incoming>) -> http::Result {
    let path = request.uri().path();
    if path.starts_with("/stand-in/") {
        return control(shared, request).await;
    }
    let caller = Caller::new(request.headers());
    let Some(kind) = Call::of(request.method(), path, request.headers()) else {
        return Ok(error(StatusCode::NOT_FOUND, "no such call"));
    };
    lock(&shared.calls).count(&caller.role, kind);
    let answer = call(shared, &caller, kind, request);
    shared.switch.guard(caller.vm(), answer).await
}

async fn control(shared: &Shared, request: Request<Incoming>) -> http::Result {
    let (parts, body) = request.into_parts();
    match (parts.method, parts.uri.path()) {
        (Method::PUT, "/stand-in/faults") => {
            let faults: Faults = read_json(body).await?;
            faults.plan().check()?;
            shared.set_faults(faults);
        }
        (Method::PUT, "/stand-in/budget") => shared.set_budget(read_json(body).await?),
        (Method::PUT, "/stand-in/vms") => {
            let update: VmUpdate = read_json(body).await?;
            lock(&shared.vms).update(update);
        }
        (Method::GET, "/stand-in/calls") => {
            let calls = lock(&shared.calls).list();
            return Ok(json(StatusCode::OK, &Counts { calls }));
        }
        _ => return Ok(error(StatusCode::NOT_FOUND, "no such control")),
    }
    Ok(empty(StatusCode::NO_CONTENT))
}

async fn call(
    shared: &Arc<Shared>,
    caller: &Caller,
    kind: Call,
    request: Request<Incoming>,
) -> http::Result {
    let (parts, body) = request.into_parts();
    let body = http::read(body).await?;
    shared.spend(caller, kind)?;
    shared.delay(caller).await;
    match kind {
        Call::Vms => {
            let list = lock(&shared.vms).show(caller.vm());
            Ok(json(StatusCode::OK, &list))
        }
        Call::Watch => super::watch::poll(shared, &parts.uri).await,
        Call::List => list(shared, &parts.uri),
        Call::Read => read(shared, &key(parts.uri.path())?, &parts.headers),
        Call::Create | Call::Update | Call::Delete => {
            let key = key(parts.uri.path())?;
            let write = Write::new(kind, key, &parts.headers, body)?;
            write::run(shared, caller, write)
        }
    }
}

fn key(path: &str) -> http::Result<String> {
    let key = path
        .strip_prefix(OBJECTS)
        .filter(|key| !key.is_empty())
        .ok_or_else(|| error(StatusCode::NOT_FOUND, "no such path"))?;
    let key = percent_decode_str(key)
        .decode_utf8()
        .map_err(|e| error(StatusCode::BAD_REQUEST, &e.to_string()))?;
    Ok(key.into_owned())
}

fn read(shared: &Shared, key: &str, headers: &HeaderMap) -> http::Result {
    let known = header(headers, IF_NONE_MATCH.as_str())
        .map(parse_version)
        .transpose()?;
    let object = shared.store(|store| store.get(key).cloned());
    let Some(object) = object else {
        return Ok(empty(StatusCode::NOT_FOUND));
    };
    let answer: Answer = if known == Some(object.version) {
        empty(StatusCode::NOT_MODIFIED)
    } else {
        http::bytes(StatusCode::OK, object.body)
    };
    Ok(tagged(answer, object.version))
}

fn list(shared: &Shared, uri: &Uri) -> http::Result {
    let ask: ListAsk = query(uri)?;
    let limit = ask.limit.unwrap_or(MAX_LIST).min(MAX_LIST);
    let listing = shared.store(|store| {
        let mut objects = store.list(&ask.prefix, &ask.after, limit + 1);
        let more = objects.len() > limit;
        objects.truncate(limit);
        Listing {
            era: store.era(),
            revision: store.revision(),
            objects,
            more,
        }
    });
    Ok(json(StatusCode::OK, &listing))
}
