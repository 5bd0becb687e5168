//! Entries of the store that can't be read: counted all, logged within bounds.

use std::fmt::Display;
use std::sync::{Arc, Mutex, PoisonError};

use derive_more::Debug;
use medlarrill_core::clock::Millis;
use medlarrill_core::log_limiter::LogLimiter;
use medlarrill_net::now::now;
use medlarrill_platform::store::DecodeError;

use crate::metrics::Metrics;

/// Lines in each [`WINDOW`]: an entry that another writer rewrites each second would fill the
/// log, and a few lines tell what is wrong with it.
const LINES: u32 = 5;
/// See [`LINES`].
const WINDOW: Millis = Millis::from_secs(10);

/// Takes reports of entries that can't be read.
#[derive(Debug)]
pub struct Unreadable {
    lines: Mutex<LogLimiter>,
    metrics: Arc<Metrics>,
}

impl Unreadable {
    /// Counts into these metrics.
    pub fn new(metrics: Arc<Metrics>) -> Self {
        Self {
            lines: Mutex::new(LogLimiter::new(LINES, WINDOW)),
            metrics,
        }
    }

    /// Reports an entry; the name is empty where that can't be read either.
    pub fn report(&self, kind: impl Display, name: &str, error: &DecodeError) {
        self.metrics.unreadable.inc();
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(left_out) = lines.allow(now()) else {
            return;
        };
        log::error!(
            target: "store", kind:%, object = name, place = error.place, cause = error.cause, left_out;
            "store: an entry can't be read and stands for nothing"
        );
    }
}
