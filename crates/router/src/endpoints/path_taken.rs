//! How a request got to its endpoint.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use derive_more::Debug;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::reach::Path;

use crate::placement::SentMarker;

/// How a request got to its endpoint, for the log.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct PathTaken {
    /// What was known of the path when it was chosen; `None` for an idle connection.
    pub path: Option<Path>,
    /// The daemon that carries the connection.
    pub helper: Option<SocketAddr>,
    /// Time since any endpoint was last heard directly.
    pub silence: Millis,
}

/// How a request got to its endpoint, set when it is handed to a connection: while this is empty,
/// nothing was sent.
#[derive(Debug)]
pub struct Taken {
    path: Mutex<Option<PathTaken>>,
    marker: SentMarker,
}

impl Taken {
    /// Of a request that wasn't sent yet.
    pub const fn new(marker: SentMarker) -> Self {
        let path = Mutex::new(None);
        Self { path, marker }
    }

    /// Sets or clears the path taken.
    pub fn set(&self, path_taken: Option<PathTaken>) {
        self.marker.set(path_taken.is_some());
        *self.path.lock().unwrap_or_else(PoisonError::into_inner) = path_taken;
    }

    /// The path taken.
    pub fn get(&self) -> Option<PathTaken> {
        *self.path.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PathTaken {
    /// The path_taken of a request on an idle connection.
    pub const fn idle(silence: Millis) -> Self {
        Self {
            path: None,
            helper: None,
            silence,
        }
    }

    /// Name of the path, for the log.
    pub fn name(&self) -> String {
        self.path
            .map_or_else(|| "idle".into(), |path| path.to_string())
    }
}
