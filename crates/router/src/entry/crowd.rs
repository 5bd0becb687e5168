//! Closes new connections of callers unread while this daemon has more to do than it can.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use derive_more::Debug;
use medlarrill_core::routing::accept::{AcceptControl, SAMPLE_INTERVAL};
use medlarrill_net::now::now;
use rand::RngExt;

use crate::metrics::Metrics;

/// File descriptors that aren't for callers and their requests: files, listeners, other daemons, the
/// platform.
const RESERVED_FILES: usize = 300;
/// File descriptors of a caller's connection: its own and that to an endpoint.
const FILES_EACH: usize = 2;

/// Decides which new connections are taken.
#[derive(Debug)]
pub struct Crowd {
    control: Mutex<AcceptControl>,
    /// Most connections of callers.
    connections_max: i64,
    #[debug(skip)]
    metrics: Arc<Metrics>,
}

impl Crowd {
    /// For a process that may have so many file descriptors, if that is known.
    pub fn new(files: Option<usize>, metrics: Arc<Metrics>) -> Self {
        let most = |files: usize| files.saturating_sub(RESERVED_FILES) / FILES_EACH;
        let most = files.and_then(|files| i64::try_from(most(files)).ok());
        Self {
            control: Mutex::new(AcceptControl::new(now())),
            connections_max: most.unwrap_or(i64::MAX),
            metrics,
        }
    }

    fn lock(&self) -> MutexGuard<'_, AcceptControl> {
        self.control.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether to take a new connection; counts those that aren't.
    pub fn takes(&self) -> bool {
        let has_room = self.metrics.connections.get() < self.connections_max;
        let reason = match self.lock().takes(rand::rng().random()) {
            true if has_room => return true,
            true => "files",
            false => "processor",
        };
        Metrics::count(&self.metrics.unread, reason);
        false
    }

    /// Measures how long tasks wait for the processor, until the process ends.
    pub async fn watch(self: Arc<Self>) {
        let mut is_closing = false;
        loop {
            let due = now() + SAMPLE_INTERVAL;
            tokio::time::sleep(SAMPLE_INTERVAL.as_duration()).await;
            let at = now();
            let wait = at.since(due);
            let Some(share) = self.lock().record_wait(wait, at) else {
                continue;
            };
            let was_closing = std::mem::replace(&mut is_closing, share < 1.0);
            match (was_closing, is_closing) {
                (false, true) => log::warn!(
                    target: "entry", share, wait = wait.0;
                    "entry: too much to do, new connections are closed unread"
                ),
                (true, false) => {
                    log::info!(target: "entry", "entry: all connections are taken again")
                }
                _ => {}
            }
        }
    }
}
