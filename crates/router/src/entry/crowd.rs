//! Closes new connections of callers unread while this daemon has more to do than it can, or no file
//! descriptors for them and no idle connections to close in their place.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use derive_more::Debug;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::accept::{AcceptControl, SAMPLE_INTERVAL};
use medlarrill_net::now::now;
use rand::RngExt;

use super::idle::{IdleConnections, IdleState};
use crate::metrics::Metrics;

/// File descriptors that aren't for callers and their requests: files, listeners, other daemons, the
/// platform.
const RESERVED_FILES: usize = 300;
/// File descriptors of a caller's connection: its own and that to an endpoint.
const FILES_EACH: usize = 2;

/// Time without room for any new connection after which the load balancer is told; longer than
/// connections have to be idle to be closed.
const FULL_TIME: Millis = Millis(2500);

/// Decides which new connections are taken.
#[derive(Debug)]
pub struct Crowd {
    control: Mutex<AcceptControl>,
    idle: Arc<IdleConnections>,
    /// When a connection first found no room since one was last taken.
    full_since: Mutex<Option<Millis>>,
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
            idle: Arc::default(),
            full_since: Mutex::default(),
            connections_max: most.unwrap_or(i64::MAX),
            metrics,
        }
    }

    fn lock(&self) -> MutexGuard<'_, AcceptControl> {
        self.control.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn full_since(&self) -> MutexGuard<'_, Option<Millis>> {
        let full_since = self.full_since.lock();
        full_since.unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether to take a new connection, for which an idle one may be closed; counts those that
    /// aren't taken.
    pub fn takes(&self) -> bool {
        let is_drawn = self.lock().takes(rand::rng().random());
        let reason = match is_drawn {
            true if self.make_room(now()) => return true,
            true => "files",
            false => "processor",
        };
        Metrics::count(&self.metrics.unread, reason);
        false
    }

    /// Records a connection that was taken, without requests yet.
    pub fn add_connection(&self) -> IdleState {
        self.idle.add()
    }

    /// Whether no new connection has found room for a while, and none would now.
    pub fn is_full(&self, now: Millis) -> bool {
        let since = *self.full_since();
        let can_make_room = self.has_room() || self.idle.has_old(now);
        !can_make_room && since.is_some_and(|since| now.since(since) >= FULL_TIME)
    }

    fn has_room(&self) -> bool {
        self.metrics.connections.get() < self.connections_max
    }

    /// Whether there is room for a connection, or will be once an idle one has closed.
    fn make_room(&self, now: Millis) -> bool {
        let has_room = self.has_room() || self.idle.close_oldest(now);
        let mut full_since = self.full_since();
        match has_room {
            true => *full_since = None,
            false => {
                full_since.get_or_insert(now);
            }
        }
        has_room
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
