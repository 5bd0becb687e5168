//! Which endpoints have fallen silent while requests wait there.
//!
//! An endpoint that is dark or hangs answers nothing on connections that it
//! took before, and this shows only after seconds by the connection itself.
//! Until then each further request sent there is lost. Any sign of life counts:
//! the head of an answer, an event of a stream, a good answer to another daemon.

use std::collections::HashMap;

use derive_more::Debug;

use crate::clock::Millis;
use crate::ids::EndpointId;

/// Silence after which an endpoint gets no more work. Engines that are well but busy begin an
/// answer or hand out an event of another within some hundred milliseconds; a prompt of 30,000
/// tokens takes 630 ms to read.
const SILENT: Millis = Millis(900);

/// Requests that wait at one endpoint.
#[derive(Clone, Copy, Default)]
#[derive(Debug)]
struct Wait {
    /// Requests without the end of their answer.
    count: u32,
    /// The last sign of life, or the first request since then.
    since: Millis,
    /// Whether the silence was told of.
    told: bool,
}

/// Requests that wait at endpoints.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct Silence {
    waits: HashMap<EndpointId, Wait>,
}

impl Silence {
    /// Notes a request that is sent.
    pub fn begin(&mut self, id: &EndpointId, now: Millis) {
        let wait = self.waits.entry(id.clone()).or_default();
        if wait.count == 0 {
            wait.since = now;
            wait.told = false;
        }
        wait.count += 1;
    }

    /// Notes the end of a request, whatever it was.
    pub fn end(&mut self, id: &EndpointId) {
        if let Some(wait) = self.waits.get_mut(id) {
            wait.count = wait.count.saturating_sub(1);
            if wait.count == 0 {
                self.waits.remove(id);
            }
        }
    }

    /// Notes a sign of life.
    pub fn sign(&mut self, id: &EndpointId, now: Millis) {
        if let Some(wait) = self.waits.get_mut(id) {
            wait.since = now;
            wait.told = false;
        }
    }

    /// Whether an endpoint has fallen silent.
    pub fn is_silent(&self, id: &EndpointId, now: Millis) -> bool {
        let wait = self.waits.get(id);
        wait.is_some_and(|wait| now.since(wait.since) >= SILENT)
    }

    /// Endpoints that have fallen silent since the last call.
    pub fn take_new(&mut self, now: Millis) -> Vec<EndpointId> {
        let mut fallen = Vec::new();
        for (id, wait) in &mut self.waits {
            if !wait.told && now.since(wait.since) >= SILENT {
                wait.told = true;
                fallen.push(id.clone());
            }
        }
        fallen
    }
}
