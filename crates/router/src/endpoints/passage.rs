//! How a request got to its endpoint.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use derive_more::Debug;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::reach::Way;

/// How a request got to its endpoint, for the log.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Passage {
    /// What was known of the way when it was chosen; `None` for a kept connection.
    pub way: Option<Way>,
    /// The daemon that carries the connection.
    pub helper: Option<SocketAddr>,
    /// Time since any endpoint was last heard directly.
    pub silence: Millis,
}

/// How a request got to its endpoint, set when it is handed to a connection: while this is empty,
/// nothing was sent.
#[derive(Debug, Default)]
pub struct Taken(Mutex<Option<Passage>>);

impl Taken {
    /// Sets or clears the passage.
    pub fn set(&self, passage: Option<Passage>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = passage;
    }

    /// The passage.
    pub fn get(&self) -> Option<Passage> {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Passage {
    /// The passage of a request on a kept connection.
    pub const fn kept(silence: Millis) -> Self {
        Self {
            way: None,
            helper: None,
            silence,
        }
    }

    /// Name of the way, for the log.
    pub fn name(&self) -> String {
        self.way
            .map_or_else(|| "kept".into(), |way| way.to_string())
    }
}
