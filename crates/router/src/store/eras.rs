//! The era of the platform's store, as its answers name it.

use std::sync::Arc;

use derive_more::Debug;
use medlarrill_core::routing::revision::{self, Answer, Era};
use medlarrill_net::now::now;
use tokio::sync::watch;

use crate::metrics::Metrics;

/// Sets the era of which a writer knows what the store has; returns whether it is another one, so
/// that what was written before may be lost.
pub fn begins(written_in: &mut Option<Era>, era: Option<Era>) -> bool {
    std::mem::replace(written_in, era) != era
}

/// The latest era, shared by all calls of this daemon.
#[derive(Debug)]
pub struct Eras {
    known: watch::Sender<revision::Eras>,
    metrics: Arc<Metrics>,
}

impl Eras {
    /// Starts without a known era.
    pub fn new(metrics: Arc<Metrics>) -> Self {
        Self {
            known: watch::Sender::new(revision::Eras::default()),
            metrics,
        }
    }

    /// Records the count that an answer names; returns the answer's era. One that names none is taken
    /// for one of the latest era.
    ///
    /// # Errors
    ///
    /// The era, if it has ended.
    pub fn record(&self, named: Option<Era>) -> Result<Era, Era> {
        let Some(count) = named else {
            return Ok(self.latest().unwrap_or_default());
        };
        let (mut from, mut answer) = (None, Answer::Current(count));
        let is_new = self.known.send_if_modified(|known| {
            from = known.latest();
            answer = known.record(count, now());
            known.latest() != from
        });
        if is_new {
            self.show();
        }
        let from = from.map(Era::count);
        match answer {
            Answer::Current(era) => Ok(era),
            Answer::Restored(era) => {
                log::warn!(target: "store", from, to = era.count(); "store: restored from a copy");
                Ok(era)
            }
            Answer::Rebuilt(era) => {
                log::warn!(
                    target: "store", from, to = era.count();
                    "store: built anew, it counts its eras from the beginning"
                );
                Ok(era)
            }
            Answer::Old(era) => {
                self.metrics.old_answers.inc();
                log::info!(
                    target: "store", era = era.count(), latest = from;
                    "store: answer of an older era"
                );
                Err(era)
            }
        }
    }

    /// Records the era of a copy that another daemon sent.
    pub fn learn(&self, era: Era) {
        if self.known.send_if_modified(|known| known.learn(era)) {
            self.show();
        }
    }

    /// Records that another daemon is up to date with an era.
    pub fn confirm(&self, era: Era) {
        self.known.send_if_modified(|known| {
            known.confirm(era);
            false
        });
    }

    /// Shows the latest era in the metrics.
    fn show(&self) {
        let era = self.latest().unwrap_or_default();
        let count = i64::try_from(era.count()).unwrap_or(i64::MAX);
        self.metrics.store_era.set(count);
    }

    /// Waits until a later era than this one is known.
    pub async fn later_than(&self, era: Era) {
        let mut known = self.known.subscribe();
        let is_later = |known: &revision::Eras| known.latest().is_some_and(|latest| latest > era);
        // The sender lives as long as this.
        known.wait_for(is_later).await.ok();
    }

    /// Whether a later era than this one is known.
    pub fn is_past(&self, era: Era) -> bool {
        self.latest().is_some_and(|latest| latest > era)
    }

    /// The latest era.
    pub fn latest(&self) -> Option<Era> {
        self.known.borrow().latest()
    }
}
