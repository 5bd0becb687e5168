//! Reports response headers of endpoints that nothing reads: all are counted,
//! and each name is logged once.
//!
//! A header that endpoints have newly introduced may carry information that
//! routing should use.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, PoisonError};

use derive_more::Debug;
use http::HeaderMap;
use http::header::{HeaderName, HeaderValue};
use medlarrill_core::routing::endpoint::InstanceId;
use medlarrill_platform::headers;

use crate::metrics::Metrics;

/// Maximum number of names that are logged.
const MAX_NAMES: usize = 64;
/// Maximum number of logged characters of a value.
const MAX_VALUE_CHARS: usize = 80;

/// Counts and logs unread headers.
#[derive(Debug)]
pub struct UnreadHeaders {
    seen: Mutex<HashSet<HeaderName>>,
    metrics: Arc<Metrics>,
}

impl UnreadHeaders {
    /// Creates a reporter that counts in `metrics`.
    pub fn new(metrics: Arc<Metrics>) -> Self {
        Self {
            seen: Mutex::default(),
            metrics,
        }
    }

    /// Reports the headers of a response that nothing reads.
    pub fn report(&self, headers: &HeaderMap, endpoint: &InstanceId, request: &str) {
        for (name, value) in headers::unread(headers) {
            self.metrics.unread_headers.inc();
            if self.is_new(name) {
                log::warn!(
                    target: "endpoints", header = name.as_str(), value = truncated(value), endpoint:%, request;
                    "endpoints: nothing reads a header of this name"
                );
            }
        }
    }

    fn is_new(&self, name: &HeaderName) -> bool {
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        !seen.contains(name) && seen.len() < MAX_NAMES && seen.insert(name.clone())
    }
}

fn truncated(value: &HeaderValue) -> String {
    let text = String::from_utf8_lossy(value.as_bytes());
    text.chars().take(MAX_VALUE_CHARS).collect()
}
