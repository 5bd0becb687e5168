//! Reports datagrams that couldn't be sent: all are counted, and logs are rate-limited.

use std::io::{Error, ErrorKind};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use derive_more::Debug;
use medlarrill_core::clock::Millis;
use medlarrill_core::log_limiter::LogLimiter;
use medlarrill_net::now::now;

use crate::metrics::Metrics;

/// Maximum number of log lines in each [`WINDOW`].
const MAX_LINES: u32 = 5;
/// See [`MAX_LINES`].
const WINDOW: Millis = Millis::from_secs(10);

/// Counts and logs datagrams that couldn't be sent.
#[derive(Debug)]
pub struct UnsentReporter {
    lines: Mutex<LogLimiter>,
    metrics: Arc<Metrics>,
}

impl UnsentReporter {
    /// Creates a reporter that counts in `metrics`.
    pub fn new(metrics: Arc<Metrics>) -> Self {
        Self {
            lines: Mutex::new(LogLimiter::new(MAX_LINES, WINDOW)),
            metrics,
        }
    }

    /// Reports a datagram of `length` bytes. The error may belong to an earlier one: a daemon that
    /// has ended refuses what it is sent.
    pub fn report(&self, to: SocketAddr, length: usize, error: &Error) {
        self.metrics.unsent.inc();
        if error.kind() == ErrorKind::ConnectionRefused {
            log::debug!(target: "peers", "peers: nothing sent to {to}: {error}");
            return;
        }
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(left_out) = lines.allow(now()) {
            log::warn!(
                target: "peers", to:%, length, cause:% = error, left_out;
                "peers: a datagram isn't sent"
            );
        }
    }
}
