//! The era of the platform's store, as its answers name it.

use std::sync::Arc;

use derive_more::Debug;
use medlarrill_core::routing::revision::Era;
use tokio::sync::watch;

use crate::metrics::Metrics;

/// The highest era that any answer has named, shared by all calls of this daemon.
#[derive(Debug)]
pub struct Eras {
    /// `None` until an answer names one; earlier versions of the platform never do.
    latest: watch::Sender<Option<Era>>,
    metrics: Arc<Metrics>,
}

impl Eras {
    /// Starts without a known era.
    pub fn new(metrics: Arc<Metrics>) -> Self {
        Self {
            latest: watch::Sender::new(None),
            metrics,
        }
    }

    /// Records the era that an answer names; returns whether it is older than the known one.
    pub fn record(&self, era: Option<Era>) -> bool {
        let Some(era) = era else {
            return false;
        };
        let latest = self.latest();
        if latest.is_some_and(|latest| era < latest) {
            self.metrics.old_answers.inc();
            log::info!(
                target: "store", era = era.0, latest = latest.map(|latest| latest.0);
                "store: answer of an older era"
            );
            return true;
        }
        let is_new = self
            .latest
            .send_if_modified(|latest| latest.replace(era) != Some(era));
        if is_new {
            let number = i64::try_from(era.0).unwrap_or(i64::MAX);
            self.metrics.store_era.set(number);
            if let Some(before) = latest {
                log::warn!(target: "store", from = before.0, to = era.0; "store: restored from a copy");
            }
        }
        false
    }

    /// Waits until an answer has named a later era than this one.
    pub async fn later_than(&self, era: Era) {
        let mut latest = self.latest.subscribe();
        let is_later = |latest: &Option<Era>| latest.is_some_and(|latest| latest > era);
        // The sender lives as long as this.
        latest.wait_for(is_later).await.ok();
    }

    /// Whether an answer has named a later era than this one.
    pub fn is_past(&self, era: Era) -> bool {
        self.latest().is_some_and(|latest| latest > era)
    }

    /// The highest era so far.
    pub fn latest(&self) -> Option<Era> {
        *self.latest.borrow()
    }
}
