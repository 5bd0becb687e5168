//! Requests and parts of prompts that crash endpoints.

use medlarrill_core::clock::Millis;
use medlarrill_core::routing::endpoint::InstanceId;
use medlarrill_core::routing::fingerprint::Fingerprint;
use medlarrill_core::routing::plan::RetryPlan;
use medlarrill_core::routing::quarantine::{
    Change, Evidence, PlatformSync, Snapshot, Step, StoredRequest,
};
use medlarrill_net::now::now;

use super::Placement;

impl Placement {
    /// Records that an endpoint was lost with a request: quarantine evidence against the request and
    /// the parts of its prompt. `began` is when the head of its response was received.
    pub fn record_loss(
        &self,
        plan: &RetryPlan,
        id: &InstanceId,
        began: Option<Millis>,
        now: Millis,
    ) {
        let changes = self.lock().record_loss(plan, id, began, now);
        self.log_quarantine(&changes);
    }

    /// What in a request may crash an endpoint, as in the lines on quarantines, with the id of the part
    /// of its prompt, if it is one.
    pub fn causes(&self, plan: &RetryPlan, id: &InstanceId) -> Vec<String> {
        let causes = self.lock().named_causes(plan, id);
        let text = |(cause, part): (Fingerprint, Option<u64>)| match part {
            Some(part) => format!("{cause} {part:x}"),
            None => cause.to_string(),
        };
        causes.into_iter().map(text).collect()
    }

    /// Records that a request was answered completely: quarantine evidence in its favour. `began` is
    /// when the head of the response was received.
    pub fn record_response(&self, plan: &RetryPlan, id: &InstanceId, began: Millis) {
        let changes = self.lock().record_response(plan, id, began, now());
        self.log_quarantine(&changes);
    }

    /// Whether an endpoint was lost with something that is in a request, too.
    pub fn is_suspect(&self, plan: &RetryPlan, id: &InstanceId) -> bool {
        self.lock().is_suspect(plan, id)
    }

    /// Whether a request is the most likely cause of the loss of several endpoints.
    pub fn is_prime_suspect(&self, plan: &RetryPlan, id: &InstanceId) -> bool {
        self.lock().is_prime_suspect(plan, id)
    }

    /// Merges other daemons' quarantine evidence.
    pub fn merge_evidence(&self, evidence: &[Evidence], now: Millis) {
        if !evidence.is_empty() {
            let changes = self.lock().quarantine().merge(evidence, now);
            self.log_quarantine(&changes);
        }
    }

    /// Clears a cause of all that is held against it, here and at other daemons; returns whether there
    /// was anything.
    pub fn lift(&self, cause: Fingerprint, now: Millis) -> bool {
        let mut view = self.lock();
        if !view.quarantine().is_suspect(cause) {
            return false;
        }
        let changes = view.quarantine().record_served(cause, now);
        drop(view);
        self.log_quarantine(&changes);
        true
    }

    /// Quarantine evidence to send to other daemons.
    pub fn evidence(&self, now: Millis) -> Snapshot {
        self.lock().quarantine().snapshot(now)
    }

    /// The next step that brings the quarantine in the platform's store up to date.
    pub fn next_sync_step(&self, sync_state: &PlatformSync, is_hub: bool) -> Option<Step> {
        sync_state.next_step(self.lock().quarantine(), is_hub)
    }

    /// A quarantined request as it is stored on the platform.
    pub fn stored_request(
        &self,
        fingerprint: Fingerprint,
        now: Millis,
        wall: Millis,
    ) -> Option<StoredRequest> {
        self.lock()
            .quarantine()
            .stored_request(fingerprint, now, wall)
    }

    /// Number of quarantined requests and parts of prompts.
    pub fn quarantined_count(&self) -> usize {
        self.lock().quarantine().count()
    }

    /// Number of requests and parts of prompts with losses that count against them.
    pub fn suspect_count(&self) -> usize {
        self.lock().quarantine().suspects()
    }

    /// Logs causes whose quarantine begins or ends.
    pub(super) fn log_quarantine(&self, changes: &[Change]) {
        for change in changes {
            let Change {
                fingerprint,
                lost,
                is_own,
                ..
            } = change;
            match change.is_quarantined {
                true => log::warn!(
                    target: "quarantine", fingerprint:%, lost, is_own;
                    "quarantine: begins, endpoints that ran requests with the cause were lost"
                ),
                false => log::info!(target: "quarantine", fingerprint:%; "quarantine: ends"),
            }
        }
    }
}
