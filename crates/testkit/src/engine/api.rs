//! The engine's calls over HTTP.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode, Uri};
use medlarrill_core::clock::Millis;
use serde::{Deserialize, Serialize};

use super::batch::Counters;
use super::job::Run;
use super::order::{FencedOrder, OrderRecord};
use super::reader::Reader;
use super::settings::Faults;
use super::shared::Shared;
use crate::http::{self, Answer, RunsAsk, empty, error, json, query, read_json};
use crate::lock;
use crate::readiness::health;

const STREAMS: &str = "/v1/streams/";

#[derive(Deserialize)]
struct ResumeAsk {
    #[serde(default)]
    from: u64,
}

/// The log as it is read over HTTP.
#[derive(Serialize)]
struct Runs {
    runs: Vec<Run>,
    counters: Counters,
}

#[derive(Serialize)]
struct OrderRecords<'a> {
    orders: &'a [OrderRecord],
}

/// Answers one request.
pub(super) async fn answer(shared: &Arc<Shared>, request: Request<Incoming>) -> http::Result {
    if request.uri().path().starts_with("/stand-in/") {
        return control(shared, request).await;
    }
    shared.switch.guard(None, call(shared, request)).await
}

async fn control(shared: &Shared, request: Request<Incoming>) -> http::Result {
    let (parts, body) = request.into_parts();
    match (parts.method, parts.uri.path()) {
        (Method::PUT, "/stand-in/faults") => {
            let faults: Faults = read_json(body).await?;
            faults.plan().check()?;
            shared.set_faults(faults);
            Ok(empty(StatusCode::NO_CONTENT))
        }
        (Method::GET, "/stand-in/runs") => {
            let ask: RunsAsk = query(&parts.uri)?;
            let batch = &lock(&shared.state).batch;
            let runs = Runs {
                runs: batch.runs(ask.after),
                counters: batch.counters,
            };
            Ok(json(StatusCode::OK, &runs))
        }
        (Method::GET, "/stand-in/orders") => {
            let orders = &lock(&shared.state).orders.records;
            Ok(json(StatusCode::OK, &OrderRecords { orders }))
        }
        _ => Ok(error(StatusCode::NOT_FOUND, "no such control")),
    }
}

async fn call(shared: &Arc<Shared>, request: Request<Incoming>) -> http::Result {
    let (parts, body) = request.into_parts();
    let path = parts.uri.path();
    match (&parts.method, path) {
        (&Method::POST, "/v1/chat/completions") => {
            let body = http::read(body).await?;
            super::submit::complete(shared, &parts.headers, &body).await
        }
        (&Method::GET, "/v1/health") => Ok(health(lock(&shared.state).readiness())),
        (&Method::GET, "/v1/load") => Ok(load(shared)),
        (&Method::GET, "/v1/state") => Ok(json(StatusCode::OK, &lock(&shared.state).orders.state)),
        (&Method::POST, "/v1/orders") => Ok(order(shared, read_json(body).await?)),
        (&Method::GET, "/v1/cache/events") => super::cache_api::poll(shared, &parts.uri).await,
        (&Method::POST, "/v1/cache/export") => {
            super::cache_api::export(shared, &read_json(body).await?)
        }
        (&Method::POST, "/v1/cache/import") => {
            super::cache_api::import(shared, &http::read(body).await?)
        }
        (method, path) => match path.strip_prefix(STREAMS) {
            Some(name) => stream(shared, method, name, &parts.uri),
            None => Ok(error(StatusCode::NOT_FOUND, "no such call")),
        },
    }
}

fn stream(shared: &Arc<Shared>, method: &Method, name: &str, uri: &Uri) -> http::Result {
    let number = lock(&shared.state).batch.find(name);
    let Some(number) = number else {
        return Ok(error(StatusCode::NOT_FOUND, "no such stream"));
    };
    match *method {
        Method::GET => resume(shared, number, query(uri)?),
        Method::DELETE => {
            lock(&shared.state).batch.remove(number);
            shared.wake();
            Ok(empty(StatusCode::NO_CONTENT))
        }
        _ => Ok(error(StatusCode::METHOD_NOT_ALLOWED, "GET or DELETE")),
    }
}

fn resume(shared: &Arc<Shared>, number: u64, ask: ResumeAsk) -> http::Result {
    match Reader::new(shared, number, ask.from) {
        Some(reader) => Ok(http::stream(reader.events())),
        None => Ok(error(StatusCode::NOT_FOUND, "no such token yet")),
    }
}

fn load(shared: &Shared) -> Answer {
    let state = lock(&shared.state);
    if shared.settings.load_lag == Millis::ZERO {
        return json(StatusCode::OK, &shared.load(&state));
    }
    match state.reports.show(shared.now()) {
        Some(load) => json(StatusCode::OK, load),
        None => json(StatusCode::OK, &shared.load(&state)),
    }
}

fn order(shared: &Shared, order: FencedOrder) -> Answer {
    let mut state = lock(&shared.state);
    let model = state.orders.state.model.clone();
    let answer = state.orders.take(order, shared.now().0);
    if state.orders.state.model != model {
        state.batch.cache.clear();
    }
    answer
}
