//! Requests in flight, counted at their endpoints.

use std::sync::Arc;

use derive_more::Debug;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::endpoint::InstanceId;
use medlarrill_core::routing::runs::RunId;
use medlarrill_core::routing::work::ReadingTime;
use medlarrill_net::now::now;

use super::Placement;

/// Guard that counts a request at an endpoint until it is dropped.
#[derive(Debug)]
pub struct InFlight {
    placement: Arc<Placement>,
    id: InstanceId,
    run_id: RunId,
}

/// Tells the state whether a request was handed to a connection.
#[derive(Debug)]
pub struct SentMarker {
    placement: Arc<Placement>,
    id: InstanceId,
    run_id: RunId,
}

impl SentMarker {
    /// Sets whether it was.
    pub fn set(&self, is_sent: bool) {
        let mut view = self.placement.lock();
        view.runs().set_sent(&self.id, self.run_id, is_sent);
    }
}

impl InFlight {
    /// A request that was counted at an endpoint.
    pub(super) const fn new(placement: Arc<Placement>, id: InstanceId, run_id: RunId) -> Self {
        Self {
            placement,
            id,
            run_id,
        }
    }

    /// The endpoint.
    pub const fn endpoint(&self) -> &InstanceId {
        &self.id
    }

    /// Marks the request as sent.
    pub fn sent_marker(&self) -> SentMarker {
        SentMarker {
            placement: Arc::clone(&self.placement),
            id: self.id.clone(),
            run_id: self.run_id,
        }
    }

    /// Records a head or an event of the response; returns how long the endpoint had been silent.
    pub fn record_sign(&self, now: Millis) -> Option<Millis> {
        let mut view = self.placement.lock();
        let silence = view.silence_of(&self.id, now);
        let changes = view.record_sign(&self.id, self.run_id, now);
        let was_avoided = view.end_silence(&self.id);
        drop(view);
        if was_avoided {
            let silence = silence.map(|silence| silence.0);
            log::info!(
                target: "placement", endpoint:% = self.id, silence;
                "placement: silent endpoint heard again"
            );
        }
        self.placement.log_quarantine(&changes);
        silence
    }

    /// Records the first output of the response; returns how long reading its prompt took.
    pub fn record_output(&self, now: Millis) -> Option<ReadingTime> {
        let mut view = self.placement.lock();
        view.record_output(&self.id, self.run_id, now)
    }

    /// Records that the response ended without a mark.
    pub fn record_unmarked(&self, now: Millis) {
        let mut view = self.placement.lock();
        view.runs().record_unmarked(&self.id, self.run_id, now);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut view = self.placement.lock();
        let now = now();
        view.end(&self.id);
        view.end_work(self.run_id, now);
        view.runs().end(&self.id, self.run_id, now);
    }
}
