//! Queries to homes for the state of their endpoints.

use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use medlarrill_core::ids::DaemonId;
use medlarrill_core::wire::{Body, HomeState, StateAnswer, StateQuery};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

use crate::context::Context;

/// Timeout for the answers to one query.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Table of pending queries by number. Cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct StateQueries {
    table: Arc<Mutex<HashMap<u64, mpsc::UnboundedSender<StateAnswer>>>>,
}

impl StateQueries {
    /// Delivers an answer to the query that waits for it; false if there is none.
    pub fn deliver(&self, answer: StateAnswer) -> bool {
        let table = self.lock();
        let waiting = table.get(&answer.number);
        waiting.is_some_and(|waiting| waiting.send(answer).is_ok())
    }

    /// Queries homes for the state of their endpoints; omits homes that don't answer in time.
    pub async fn query(&self, context: &Arc<Context>, homes: BTreeSet<DaemonId>) -> Vec<HomeState> {
        let number = rand::random();
        let (sender, mut receiver) = mpsc::unbounded_channel();
        self.lock().insert(number, sender);
        let count = homes.len();
        for home in homes {
            let context = Arc::clone(context);
            tokio::spawn(async move {
                let ask = Body::StateQuery(StateQuery { number });
                // A home that can't be reached is shown without its counts.
                let _ = context.peers.send(&home, ask).await;
            });
        }
        let end = Instant::now() + TIMEOUT;
        let mut states = Vec::new();
        for _ in 0..count {
            match timeout_at(end, receiver.recv()).await {
                Ok(Some(answer)) => states.extend(answer.endpoints),
                _ => break,
            }
        }
        self.lock().remove(&number);
        states
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, mpsc::UnboundedSender<StateAnswer>>> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
