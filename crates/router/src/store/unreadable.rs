//! Reports entries of the store that can't be decoded: all are counted, and logs are rate-limited.

use std::fmt::Display;
use std::sync::{Arc, Mutex, PoisonError};

use derive_more::Debug;
use medlarrill_core::clock::Millis;
use medlarrill_core::log_limiter::LogLimiter;
use medlarrill_net::now::now;
use medlarrill_platform::store::DecodeError;

use crate::metrics::Metrics;

/// Maximum number of log lines in each [`WINDOW`]: an entry that another writer rewrites each
/// second would fill the log, and a few lines show what is wrong with it.
const MAX_LINES: u32 = 5;
/// See [`MAX_LINES`].
const WINDOW: Millis = Millis::from_secs(10);

/// Counts and logs entries that can't be decoded.
#[derive(Debug)]
pub struct UnreadableReporter {
    lines: Mutex<LogLimiter>,
    metrics: Arc<Metrics>,
}

impl UnreadableReporter {
    /// Creates a reporter that counts in `metrics`.
    pub fn new(metrics: Arc<Metrics>) -> Self {
        Self {
            lines: Mutex::new(LogLimiter::new(MAX_LINES, WINDOW)),
            metrics,
        }
    }

    /// Reports an entry; `name` is empty if that can't be read either.
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
