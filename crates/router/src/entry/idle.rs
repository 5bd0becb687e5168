//! Idle connections of callers, of which the longest idle are closed to make room for new ones.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use derive_more::Debug;
use medlarrill_core::clock::Millis;
use medlarrill_net::now::now;
use tokio::sync::Notify;

/// Shortest idle time of a connection that is closed: callers that send often keep theirs.
const IDLE_MIN: Millis = Millis::from_secs(2);

/// When a connection became idle, and a number that tells it from others.
type Key = (Millis, u64);

/// All idle connections.
#[derive(Debug, Default)]
pub struct IdleConnections(Mutex<Idle>);

#[derive(Debug, Default)]
struct Idle {
    next: u64,
    waiting: BTreeMap<Key, Arc<Notify>>,
}

impl Idle {
    fn has_old(&self, now: Millis) -> bool {
        let oldest = self.waiting.first_key_value();
        oldest.is_some_and(|((since, _), _)| now.since(*since) >= IDLE_MIN)
    }
}

impl IdleConnections {
    fn lock(&self) -> MutexGuard<'_, Idle> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a connection has been idle for long enough to be closed.
    pub fn has_old(&self, now: Millis) -> bool {
        self.lock().has_old(now)
    }

    /// Closes the connection that has been idle longest; returns whether there was an old one.
    pub fn close_oldest(&self, now: Millis) -> bool {
        let mut idle = self.lock();
        let has_old = idle.has_old(now);
        if has_old && let Some((_, close)) = idle.waiting.pop_first() {
            close.notify_one();
        }
        has_old
    }

    /// Adds a connection without requests.
    pub fn add(self: &Arc<Self>) -> IdleState {
        let state = IdleState {
            all: Arc::clone(self),
            key: Mutex::default(),
            close: Arc::default(),
        };
        state.set_idle();
        state
    }
}

/// Whether one connection is idle; it isn't any more when this is dropped.
#[derive(Debug)]
pub struct IdleState {
    all: Arc<IdleConnections>,
    key: Mutex<Option<Key>>,
    close: Arc<Notify>,
}

impl IdleState {
    /// Records that the connection is idle from now on.
    pub fn set_idle(&self) {
        let mut own = self.lock();
        let mut idle = self.all.lock();
        let key = (now(), idle.next);
        idle.next += 1;
        idle.waiting.insert(key, Arc::clone(&self.close));
        *own = Some(key);
    }

    /// Records that the connection has a request.
    pub fn set_busy(&self) {
        if let Some(key) = self.lock().take() {
            self.all.lock().waiting.remove(&key);
        }
    }

    /// Waits until the connection is to be closed.
    pub async fn closed(&self) {
        self.close.notified().await;
    }

    fn lock(&self) -> MutexGuard<'_, Option<Key>> {
        self.key.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for IdleState {
    fn drop(&mut self) {
        self.set_busy();
    }
}
