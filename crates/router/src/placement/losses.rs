//! Endpoints that lose requests, and what the daemons tell each other of them.

use medlarrill_core::clock::Millis;
use medlarrill_core::routing::endpoint::InstanceId;
use medlarrill_core::routing::exchange::Loss;
use medlarrill_core::routing::losses::{Change, Sign};
use medlarrill_core::routing::view::LossChange;

use super::Placement;

impl Placement {
    /// Records that this daemon lost a request at an endpoint, or was refused a connection.
    pub fn record_loss_sign(&self, id: &InstanceId, sign: Sign, now: Millis) {
        let change = self.lock().record_loss_sign(id, sign, now);
        self.untold.notify_one();
        change.iter().for_each(log);
    }

    /// Records that an endpoint answered a request that was sent at a time.
    pub fn record_answer(&self, id: &InstanceId, sent: Millis, now: Millis) {
        if self.lock().record_loss_answer(id, sent, now) {
            self.untold.notify_one();
        }
    }

    /// Withdraws what this daemon saw: its own link was the cause.
    pub fn withdraw_losses(&self, now: Millis) {
        self.lock().withdraw_losses(now);
        self.untold.notify_one();
    }

    /// Waits until there may be something to tell the others at once.
    pub async fn has_untold(&self) {
        self.untold.notified().await;
    }

    /// What this daemon saw and didn't tell yet: short ids of endpoints, and what happened when.
    pub fn take_untold(&self) -> Vec<(u32, Sign, Millis)> {
        self.lock().take_untold()
    }

    /// Applies what other daemons saw; returns the endpoints that go out by it.
    pub fn merge_losses(&self, losses: &[Loss], now: Millis) -> Vec<InstanceId> {
        if losses.is_empty() {
            return Vec::new();
        }
        let changes = self.lock().merge_losses(losses, now);
        changes.iter().for_each(log);
        changes.into_iter().map(|change| change.endpoint).collect()
    }

    /// Logs the endpoints that are back since the last call.
    pub fn review_losses(&self, now: Millis) {
        let changes = self.lock().review_losses(now);
        changes.iter().for_each(log);
    }

    /// Whether other daemons lost an endpoint, too.
    pub fn is_lost_to_others(&self, id: &InstanceId, now: Millis) -> bool {
        self.lock().is_lost_to_others(id, now)
    }

    /// Number of endpoints that get no request that may run only once.
    pub fn out_count(&self, now: Millis) -> usize {
        self.lock().out_count(now)
    }
}

fn log(change: &LossChange) {
    let LossChange {
        endpoint,
        change,
        is_own,
    } = change;
    match change {
        Change::Out { lost, daemons } => log::info!(
            target: "placement", endpoint:%, lost, daemons, is_own;
            "placement: endpoint loses requests, out for those that run once"
        ),
        Change::Back => log::info!(
            target: "placement", endpoint:%;
            "placement: endpoint takes requests that run once again"
        ),
    }
}
