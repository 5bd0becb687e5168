//! Calls to the platform's store that are counted, and lists that are read to their end.

use std::sync::Arc;

use bytes::Bytes;
use derive_more::Debug;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::mirror::Object;
use medlarrill_platform::store::{self as wire, Call, DecodeError, Freshness};

use super::Copies;
use super::client::{Answer, CallError, Client, Result};
use crate::metrics::Metrics;

/// A client that counts its calls and those that failed.
#[derive(Debug)]
pub struct CountedClient {
    client: Client,
    metrics: Arc<Metrics>,
    /// Timeout for a response.
    wait: Millis,
}

impl CountedClient {
    /// Counts the calls of a client.
    pub const fn new(client: Client, metrics: Arc<Metrics>, wait: Millis) -> Self {
        Self {
            client,
            metrics,
            wait,
        }
    }

    /// Makes a call.
    ///
    /// # Errors
    ///
    /// When no response with a success status arrives in time.
    pub async fn call(&mut self, call: &Call) -> Result<Bytes> {
        self.ask(call).await.map(|answer| answer.body)
    }

    /// Makes a call; returns the response with its era.
    ///
    /// # Errors
    ///
    /// When no response with a success status arrives in time.
    pub async fn ask(&mut self, call: &Call) -> Result<Answer> {
        self.metrics.platform_calls.inc();
        let answer = self.client.ask(call, self.wait).await;
        if answer.is_err() {
            self.metrics.failed_calls.inc();
        }
        answer
    }

    /// Reads all objects of a kind, and reports those that `read` can't decode.
    ///
    /// # Errors
    ///
    /// When a call for a page fails.
    pub async fn list(
        &mut self,
        kind: &str,
        copies: &Copies,
        mut read: impl FnMut(&Object) -> std::result::Result<(), DecodeError>,
    ) -> Result<()> {
        let mut after: Option<String> = None;
        loop {
            let path = wire::list_path(kind, after.as_deref(), Freshness::Latest);
            let body = self.call(&Call::get(path)).await?;
            let page = wire::page(&body).map_err(CallError::Decode)?;
            copies.report_all_unreadable(kind, &page.unreadable);
            for object in &page.objects {
                if let Err(error) = read(object) {
                    copies.report_unreadable(kind, &object.name, &error);
                }
            }
            if !page.more {
                return Ok(());
            }
            let next = page.next_after(after.as_deref());
            after = Some(next.ok_or(CallError::Stuck)?.to_owned());
        }
    }
}
