//! Keeps up with the objects of one kind: a list, then the changes since.

use std::net::SocketAddr;

use derive_more::Debug;
use medlarrill_core::clock::Millis;
use medlarrill_net::now::now;
use medlarrill_platform::store::{self as wire, Change, Kind, Object};
use rand::RngExt;

use super::client::{CallError, Client, Result};
use crate::metrics::Metrics;

/// Longest time that the store holds a call for changes. A connection that went silent is
/// found out after this and [`ANSWER`]; each such call costs as much as any other.
const HOLD: Millis = Millis(2000);
/// Longest time for an answer beyond the time that the store holds it. The store answers in
/// some milliseconds, in a fifth of a second when it is slow.
const ANSWER: Millis = Millis(1000);
/// Longest first pause after a failed call.
const BACKOFF: Millis = Millis(200);
/// Longest pause between failed calls; bounds how late changes are seen after an outage.
const BACKOFF_MAX: Millis = Millis(800);

/// Where objects go.
#[derive(Debug)]
pub struct Sink<'a> {
    /// Takes a whole list and its revision.
    #[debug(skip)]
    pub replace: Box<dyn Fn(Vec<Object>, u64) + Send + Sync + 'a>,
    /// Takes one change and the revision up to which it was read.
    #[debug(skip)]
    pub change: Box<dyn Fn(Change, u64) + Send + Sync + 'a>,
    /// Takes the length of an outage that has ended, and the time.
    #[debug(skip)]
    pub back: Box<dyn Fn(Millis, Millis) + Send + Sync + 'a>,
}

/// Follows one kind.
#[derive(Debug)]
pub struct Follower<'a> {
    client: Client,
    kind: Kind,
    pause: Millis,
    metrics: &'a Metrics,
    /// When the store last answered.
    heard: Millis,
    failures: u32,
}

impl<'a> Follower<'a> {
    /// A follower that hasn't asked yet.
    pub fn new(address: SocketAddr, kind: Kind, pause: Millis, metrics: &'a Metrics) -> Self {
        Self {
            client: Client::new(address),
            kind,
            pause,
            metrics,
            heard: now(),
            failures: 0,
        }
    }

    /// Follows until the process ends.
    pub async fn run(mut self, sink: Sink<'_>) {
        let mut revision = None;
        loop {
            let result = match revision {
                None => self.list(&sink).await,
                Some(revision) => self.watch(revision, &sink).await,
            };
            match result {
                Ok(at) => revision = Some(at),
                Err(error) if error.is_gone() => {
                    log::info!(target: "store", kind:% = self.kind; "store: history gone, listing anew");
                    revision = None;
                }
                Err(error) => self.failed(&error).await,
            }
        }
    }

    async fn list(&mut self, sink: &Sink<'_>) -> Result<u64> {
        let mut objects: Vec<Object> = Vec::new();
        let mut first = None;
        loop {
            let after = objects.last().map(|object| object.name.as_str());
            let path = wire::list_path(self.kind, after);
            let body = self.call(&path, ANSWER, sink).await?;
            let page = wire::page(&body).map_err(CallError::Decode)?;
            // Changes between two pages come again with the changes since the first.
            let revision = *first.get_or_insert(page.revision);
            let is_empty = page.objects.is_empty();
            objects.extend(page.objects);
            if !page.more || is_empty {
                (sink.replace)(objects, revision);
                return Ok(revision);
            }
        }
    }

    async fn watch(&mut self, revision: u64, sink: &Sink<'_>) -> Result<u64> {
        let path = wire::watch_path(self.kind, revision, HOLD);
        let body = self.call(&path, HOLD + ANSWER, sink).await?;
        let changes = wire::changes(&body).map_err(CallError::Decode)?;
        let quiet = changes.changes.is_empty();
        for change in changes.changes {
            (sink.change)(change, changes.revision);
        }
        if !quiet {
            tokio::time::sleep(self.pause.as_duration()).await;
        }
        Ok(changes.revision)
    }

    async fn call(&mut self, path: &str, wait: Millis, sink: &Sink<'_>) -> Result<bytes::Bytes> {
        self.metrics.calls.inc();
        let asked = now();
        let body = self.client.get(path, wait).await;
        if matches!(body, Ok(_) | Err(CallError::Status(http::StatusCode::GONE))) {
            self.answered(asked, sink);
        }
        body
    }

    fn answered(&mut self, asked: Millis, sink: &Sink<'_>) {
        let at = now();
        if self.failures > 0 {
            let outage = asked.since(self.heard);
            log::info!(
                target: "store", kind:% = self.kind, silent = outage.0, failures = self.failures;
                "store: answers again"
            );
            (sink.back)(outage, at);
        }
        self.failures = 0;
        self.heard = at;
    }

    async fn failed(&mut self, error: &CallError) {
        self.metrics.failed_calls.inc();
        let silent = now().since(self.heard);
        if self.failures == 0 {
            log::warn!(
                target: "store", kind:% = self.kind, silent = silent.0, cause:% = error;
                "store: lost, what is known stays"
            );
        } else {
            log::debug!(target: "store", "store: {} fails: {error}", self.kind);
        }
        let most = (BACKOFF.0 << self.failures.min(4)).min(BACKOFF_MAX.0);
        self.failures += 1;
        let pause = Millis(rand::rng().random_range(most / 2..=most));
        tokio::time::sleep(pause.as_duration()).await;
    }
}
