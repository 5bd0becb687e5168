//! The states of the requests that this entry accepted most recently.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use medlarrill_core::ids::RequestId;
use medlarrill_core::outcome::Outcome;
use medlarrill_core::reason::Reason;
use serde::Serialize;

/// Most requests remembered.
const CAPACITY: usize = 16_384;

/// State of a request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum State {
    /// Its response isn't complete yet.
    Running,
    /// Its complete response was handed to the caller's connection.
    Answered,
    /// It was refused or cut short.
    Failed {
        /// Code of the reason.
        #[serde(serialize_with = "as_code")]
        code: Reason,
        /// Whether it ran.
        outcome: Outcome,
    },
}

fn as_code<S: serde::Serializer>(reason: &Reason, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(reason.code())
}

/// Bounded table of requests. Cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    table: Arc<Mutex<Table>>,
}

#[derive(Debug, Default)]
struct Table {
    states: HashMap<RequestId, State>,
    order: VecDeque<RequestId>,
}

impl Tracker {
    /// Records the state of a request; a full table drops its oldest.
    pub fn record(&self, request: RequestId, state: State) {
        let mut table = self.lock();
        if table.states.insert(request, state).is_some() {
            return;
        }
        table.order.push_back(request);
        if table.order.len() > CAPACITY
            && let Some(oldest) = table.order.pop_front()
        {
            table.states.remove(&oldest);
        }
    }

    /// The state of a request, if it is remembered.
    pub fn state(&self, request: RequestId) -> Option<State> {
        self.lock().states.get(&request).copied()
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
