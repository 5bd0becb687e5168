//! The service's calls over HTTP.

use std::sync::Mutex;

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use medlarrill_core::clock::Millis;
use serde::Serialize;

use super::{Faults, Run};
use crate::http::{
    self, Cut, RunsAsk, Switch, empty, error, header, json, query, read, read_json, refuse,
};
use crate::readiness::health;
use crate::{Readiness, lock, wall};

/// Posts that are said to run at once; none is refused for them.
const SLOTS: u64 = 16;
/// Seconds in the `Retry-After` of a refusal.
const RETRY_AFTER: u64 = 1;

/// The answer to a post.
#[derive(Serialize)]
struct Receipt<'a> {
    run: u64,
    path: &'a str,
    echo: &'a str,
}

/// The log as it is read over HTTP.
#[derive(Serialize)]
struct Runs {
    runs: Vec<Run>,
}

/// What a read answers.
#[derive(Serialize)]
struct Resource<'a> {
    path: &'a str,
}

#[derive(Serialize)]
struct Load {
    as_of: u64,
    running: u64,
    waiting: u64,
    /// Posts in hand, each counted as one.
    tokens: u64,
    slots: u64,
    state: Readiness,
}

/// What changes in a service.
#[derive(Default)]
pub(super) struct State {
    pub(super) faults: Faults,
    pub(super) runs: Vec<Run>,
    running: u64,
}

/// All state of one service.
#[derive(Default)]
pub(super) struct Shared {
    pub(super) state: Mutex<State>,
    pub(super) switch: Switch,
}

impl Shared {
    pub(super) fn set_faults(&self, faults: Faults) {
        self.switch.set(faults.plan());
        lock(&self.state).faults = faults;
    }

    /// Answers one request.
    pub(super) async fn answer(&self, request: Request<Incoming>) -> http::Result {
        if request.uri().path().starts_with("/stand-in/") {
            return self.control(request).await;
        }
        self.switch.guard(None, self.call(request)).await
    }

    async fn control(&self, request: Request<Incoming>) -> http::Result {
        let (parts, body) = request.into_parts();
        match (parts.method, parts.uri.path()) {
            (Method::PUT, "/stand-in/faults") => {
                let faults: Faults = read_json(body).await?;
                faults.plan().check()?;
                self.set_faults(faults);
                Ok(empty(StatusCode::NO_CONTENT))
            }
            (Method::GET, "/stand-in/runs") => {
                let ask: RunsAsk = query(&parts.uri)?;
                let after = usize::try_from(ask.after).unwrap_or(usize::MAX);
                let runs = lock(&self.state).runs.iter().skip(after).cloned().collect();
                Ok(json(StatusCode::OK, &Runs { runs }))
            }
            _ => Ok(error(StatusCode::NOT_FOUND, "no such control")),
        }
    }

    async fn call(&self, request: Request<Incoming>) -> http::Result {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/v1/health") => Ok(health(lock(&self.state).faults.readiness())),
            (&Method::GET, "/v1/load") => Ok(self.load()),
            (&Method::GET, path) => Ok(json(StatusCode::OK, &Resource { path })),
            (&Method::POST, _) => self.post(request).await,
            _ => Ok(error(StatusCode::METHOD_NOT_ALLOWED, "GET or POST")),
        }
    }

    fn load(&self) -> http::Answer {
        let state = lock(&self.state);
        let load = Load {
            as_of: wall().0,
            running: state.running,
            waiting: 0,
            tokens: state.running,
            slots: SLOTS,
            state: state.faults.readiness(),
        };
        json(StatusCode::OK, &load)
    }

    async fn post(&self, request: Request<Incoming>) -> http::Result {
        let (parts, body) = request.into_parts();
        let body = read(body).await?;
        let path = parts
            .uri
            .path_and_query()
            .map_or("/", |whole| whole.as_str());
        let run = Run {
            run: 0,
            path: path.to_owned(),
            key: header(&parts.headers, "idempotency-key").map(str::to_owned),
            digest: blake3::hash(&body).to_hex().to_string(),
            at: wall().0,
        };
        let started = self.start(run)?;
        tokio::time::sleep(started.delay.as_duration()).await;
        if started.lost {
            return Err(Cut.into());
        }
        let receipt = Receipt {
            run: started.run.run,
            path: &started.run.path,
            echo: &started.run.digest,
        };
        Ok(json(StatusCode::OK, &receipt))
    }

    /// Runs the post, or refuses before it has run.
    fn start(&self, mut run: Run) -> http::Result<Started<'_>> {
        let mut state = lock(&self.state);
        if state.faults.refusals > 0 {
            state.faults.refusals -= 1;
            return Err(refuse(StatusCode::SERVICE_UNAVAILABLE, RETRY_AFTER, "busy").into());
        }
        let lost = state.faults.losses > 0;
        state.faults.losses = state.faults.losses.saturating_sub(1);
        run.run = state.runs.len() as u64 + 1;
        state.runs.push(run.clone());
        state.running += 1;
        Ok(Started {
            shared: self,
            run,
            delay: state.faults.delay,
            lost,
        })
    }
}

/// A post that has run and whose answer is still to be sent.
struct Started<'a> {
    shared: &'a Shared,
    run: Run,
    delay: Millis,
    lost: bool,
}

impl Drop for Started<'_> {
    fn drop(&mut self) {
        lock(&self.shared.state).running -= 1;
    }
}
