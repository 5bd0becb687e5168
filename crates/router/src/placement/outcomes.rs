//! What endpoints answer and report: outcomes, loads, silences and slow starts.

use std::collections::HashMap;

use medlarrill_core::clock::Millis;
use medlarrill_core::ids::PoolId;
use medlarrill_core::routing::attempt::Fault;
use medlarrill_core::routing::endpoint::InstanceId;
use medlarrill_core::routing::load::LoadReport;
use medlarrill_core::routing::notices::Notice;
use medlarrill_core::routing::plan::RetryPlan;
use medlarrill_core::routing::silence::{Left, SeenSilence};
use medlarrill_core::routing::slow_start::SlowStart;
use medlarrill_core::routing::view::{HealthChange, SlowStartChanges};
use medlarrill_core::routing::work::pace::Pace;
use medlarrill_net::now::now;

use super::Placement;

impl Placement {
    /// Ends the pauses of endpoints that couldn't be connected to.
    pub fn end_pauses(&self) {
        self.lock().end_pauses();
    }

    /// Takes the load that an endpoint reported.
    pub fn update_load(&self, id: &InstanceId, report: LoadReport, now: Millis) {
        self.lock().report(id, report, now);
    }

    /// Takes the pace that an endpoint reported.
    pub fn update_pace(&self, id: &InstanceId, pace: Pace, now: Millis) {
        self.lock().record_pace(id, pace, now);
    }

    /// Applies what an endpoint announced of itself in the response to a request that was sent at
    /// `sent_at`, since the Unix epoch.
    pub fn apply_notice(&self, id: &InstanceId, notice: Notice, sent_at: Millis, request: &str) {
        if notice.is_empty() || !self.lock().apply_notice(id, notice, now(), sent_at) {
            return;
        }
        log::info!(
            target: "placement", endpoint:% = id, request, leaving = notice.leaving,
            pause = notice.pause.0;
            "placement: endpoint says of itself"
        );
    }

    /// Number of endpoints that currently ask for a pause without requests.
    pub fn paused_count(&self, now: Millis) -> usize {
        self.lock().paused_count(now)
    }

    /// The silence of an endpoint that has requests of this daemon.
    pub fn silence(&self, id: &InstanceId, now: Millis) -> Option<SeenSilence> {
        self.lock().silence(id, now)
    }

    /// Records that a request that was sent at `sent` isn't answered by its endpoint, or not to its
    /// end; `silence` is the endpoint's.
    pub fn record_unanswered(
        &self,
        id: &InstanceId,
        silence: Option<SeenSilence>,
        sent: Millis,
        now: Millis,
    ) {
        let left = self.lock().record_unanswered(id, silence, sent, now);
        if left == Left::Avoided {
            let silence = silence.map(|silence| silence.lasted.0);
            log::info!(
                target: "placement", endpoint:% = id, silence;
                "placement: silent endpoint avoided"
            );
        }
    }

    /// Records a successful attempt.
    pub fn record_success(&self, id: &InstanceId, now: Millis) {
        self.lock().record_success(id, now);
    }

    /// Records a failed attempt.
    pub fn record_failure(&self, id: &InstanceId, fault: Fault, now: Millis) {
        let changes = self.lock().record_failure(id, fault, now);
        self.log_quarantine(&changes);
    }

    /// Records that the response to a request ended without a mark.
    pub fn record_unmarked(&self, plan: &RetryPlan, id: &InstanceId, now: Millis) {
        self.lock().record_unmarked(plan, id, now);
    }

    /// Expires old evidence and notices, and logs endpoints whose health or slow start changed.
    pub fn review(&self, now: Millis) {
        let expired = self.lock().quarantine().expire(now);
        self.log_quarantine(&expired);
        self.lock().prune_notices(now);
        let slow_starts = self.lock().review_slow_starts(now);
        log_slow_starts(&slow_starts);
        self.review_losses(now);
        let changes = self.lock().review(now);
        for HealthChange {
            endpoint,
            standing,
            failures,
            others,
        } in changes
        {
            let avoided = standing.is_avoided();
            log::info!(
                target: "placement", endpoint:%, avoided, standing:? = standing, failures, others;
                "placement: endpoint judged anew"
            );
        }
    }

    /// Sets the slow start of each pool that has one.
    pub fn configure_slow_starts(&self, pools: HashMap<PoolId, SlowStart>) {
        self.lock().configure_slow_starts(pools);
    }

    /// Number of endpoints in slow start.
    pub fn slow_start_count(&self) -> usize {
        self.lock().slow_start_count()
    }

    /// Keeps an endpoint in slow start for the remaining time that it or its entry announced.
    pub fn begin_slow_start(&self, id: &InstanceId, left: Millis, now: Millis) {
        self.lock().begin_slow_start(id, left, now);
    }

    /// Records that an endpoint may turn only so many requests away in a second.
    pub fn record_brittle(&self, id: &InstanceId, rejections: u32, now: Millis) {
        self.lock().record_brittle(id, rejections, now);
    }
}

/// Logs endpoints whose slow start begins or ends, in one line: when a data centre comes back,
/// there are many.
fn log_slow_starts(changes: &SlowStartChanges) {
    let names = |ids: &[InstanceId]| {
        let names: Vec<String> = ids.iter().map(InstanceId::to_string).collect();
        names.join(", ")
    };
    let (begins, ends) = (names(&changes.started), names(&changes.ended));
    if !begins.is_empty() || !ends.is_empty() {
        log::info!(target: "placement", begins, ends; "placement: endpoints in slow start");
    }
}
