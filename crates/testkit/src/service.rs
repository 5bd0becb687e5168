//! A plain service: every `POST` runs once and is logged.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use medlarrill_core::clock::Millis;
use serde::{Deserialize, Serialize};
use serde_with::skip_serializing_none;

use crate::http::{self, Cut, Outage, Server, Switch, error, header, json, read, refuse};
use crate::{lock, wall};

/// Result of starting a service.
pub type Result<T> = std::io::Result<T>;

/// Seconds in the `Retry-After` of a refusal.
const RETRY_AFTER: u64 = 1;

/// What a service is told to do wrong.
#[derive(Clone, PartialEq, Eq, Default, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// An outage of the whole service.
    pub outage: Option<Outage>,
    /// Pause between the run and its answer.
    pub delay: Millis,
    /// Next posts refused with 503 before they run.
    pub refusals: u32,
    /// Next posts that run and whose answer is lost.
    pub losses: u32,
    /// Whether health says `leaving`.
    pub leaving: bool,
}

/// One run of a post.
#[skip_serializing_none]
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Run {
    /// Its number, from 1.
    pub run: u64,
    /// The path with its query.
    pub path: String,
    /// The `Idempotency-Key` header.
    pub key: Option<String>,
    /// The BLAKE3 digest of the body, in hexadecimal.
    pub digest: String,
    /// When it ran, by the wall clock in ms.
    pub at: u64,
}

/// The answer to a post.
#[derive(Serialize)]
struct Receipt<'a> {
    run: u64,
    path: &'a str,
    echo: &'a str,
}

/// The log as it is read over HTTP.
#[derive(Serialize)]
struct Runs<'a> {
    runs: &'a [Run],
}

/// What a read answers.
#[derive(Serialize)]
struct Resource<'a> {
    path: &'a str,
}

#[derive(Serialize)]
struct Health {
    state: &'static str,
}

#[derive(Serialize)]
struct Load {
    as_of: u64,
    running: u64,
    waiting: u64,
    state: &'static str,
}

#[derive(Default)]
struct State {
    faults: Faults,
    runs: Vec<Run>,
    running: u64,
}

impl State {
    const fn state(&self) -> &'static str {
        if self.faults.leaving {
            "leaving"
        } else {
            "ready"
        }
    }
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    switch: Switch,
}

/// A running service, stopped when dropped.
pub struct Service {
    server: Server,
    shared: Arc<Shared>,
}

impl Service {
    /// Starts a service at `listen`.
    pub async fn start(listen: SocketAddr) -> Result<Self> {
        let shared = Arc::new(Shared::default());
        let handler = Arc::clone(&shared);
        let server = http::serve(listen, move |request| {
            let shared = Arc::clone(&handler);
            async move { shared.answer(request).await }
        })
        .await?;
        Ok(Self { server, shared })
    }

    /// Where it listens.
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.set_faults(faults);
    }

    /// The faults that are left.
    pub fn faults(&self) -> Faults {
        lock(&self.shared.state).faults.clone()
    }

    /// All runs so far.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.shared.state).runs.clone()
    }

    /// Stops it and waits until its port is closed.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}

impl Shared {
    fn set_faults(&self, faults: Faults) {
        self.switch.set(faults.outage, None);
        lock(&self.state).faults = faults;
    }

    async fn answer(&self, request: Request<Incoming>) -> http::Result {
        let path = request.uri().path();
        match (request.method(), path) {
            (&Method::PUT, "/stand-in/faults") => {
                self.set_faults(http::read_json(request.into_body()).await?);
                return Ok(http::empty(StatusCode::NO_CONTENT));
            }
            (&Method::GET, "/stand-in/runs") => {
                let runs = &lock(&self.state).runs;
                return Ok(json(StatusCode::OK, &Runs { runs }));
            }
            _ => self.switch.pass(None).await?,
        }
        match (request.method(), path) {
            (&Method::GET, "/v1/health") => Ok(self.health()),
            (&Method::GET, "/v1/load") => Ok(self.load()),
            (&Method::GET, path) => Ok(json(StatusCode::OK, &Resource { path })),
            (&Method::POST, _) => self.post(request).await,
            _ => Ok(error(StatusCode::METHOD_NOT_ALLOWED, "GET or POST")),
        }
    }

    fn health(&self) -> http::Answer {
        let state = lock(&self.state).state();
        let status = match state {
            "ready" => StatusCode::OK,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        };
        json(status, &Health { state })
    }

    fn load(&self) -> http::Answer {
        let state = lock(&self.state);
        let load = Load {
            as_of: wall().0,
            running: state.running,
            waiting: 0,
            state: state.state(),
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
