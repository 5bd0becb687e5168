//! Headers of endpoints' answers that nothing reads: counted all, each name logged once.
//!
//! A header that is new on the endpoints' side may say something that should
//! decide where requests go.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, PoisonError};

use derive_more::Debug;
use http::HeaderMap;
use http::header::{HeaderName, HeaderValue};
use medlarrill_core::routing::endpoint::InstanceId;
use medlarrill_platform::headers;

use crate::metrics::Metrics;

/// Names that are logged, at most.
const NAMES: usize = 64;
/// Characters of a value that are logged, at most.
const VALUE: usize = 80;

/// Takes the heads of endpoints' answers.
#[derive(Debug)]
pub struct UnreadHeaders {
    seen: Mutex<HashSet<HeaderName>>,
    metrics: Arc<Metrics>,
}

impl UnreadHeaders {
    /// Counts into these metrics.
    pub fn new(metrics: Arc<Metrics>) -> Self {
        Self {
            seen: Mutex::default(),
            metrics,
        }
    }

    /// Reports what nothing reads of an answer's head.
    pub fn report(&self, headers: &HeaderMap, endpoint: &InstanceId, request: &str) {
        for (name, value) in headers::unread(headers) {
            self.metrics.unread.inc();
            if self.is_new(name) {
                log::warn!(
                    target: "endpoints", header = name.as_str(), value = text(value), endpoint:%, request;
                    "endpoints: nothing reads a header of this name"
                );
            }
        }
    }

    fn is_new(&self, name: &HeaderName) -> bool {
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        !seen.contains(name) && seen.len() < NAMES && seen.insert(name.clone())
    }
}

fn text(value: &HeaderValue) -> String {
    let text = String::from_utf8_lossy(value.as_bytes());
    text.chars().take(VALUE).collect()
}
