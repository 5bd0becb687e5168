//! Graceful stop: leave the fleet, finish requests in flight, exit.

use medlarrill_core::clock::Millis;
use tokio::time::timeout;

use crate::fleet::Message;
use crate::start::Running;

/// Time for the load balancer and peers to notice before the server closes.
const NOTICE_PERIOD: Millis = Millis(500);
/// Maximum wait for a peer to acknowledge the departure.
const MAX_LEAVE_WAIT: Millis = Millis::from_secs(2);
/// Maximum wait for the handover of the directory; each entry not handed over costs one prefill.
const MAX_HANDOVER_WAIT: Millis = Millis::from_secs(10);
/// Interval between checks for work in flight.
const CHECK_INTERVAL: Millis = Millis(50);

/// Stops a daemon gracefully. Further signals have no effect.
pub async fn stop(mut running: Running) {
    let limit = running.context.settings.limits.stop;
    log::info!(target: "stop", "stop: leaving, {} requests in flight", running.context.attempts.len());
    running.stopping.send_replace(true);
    running.context.fleet_task.send(Message::Leave);
    tokio::time::sleep(NOTICE_PERIOD.as_duration()).await;
    let server = running.server.take();
    let closing = server.map(|server| tokio::spawn(server.stop(limit)));
    if timeout(limit.as_duration(), wait_until_idle(&running))
        .await
        .is_err()
    {
        log::error!(target: "stop", "stop: the time limit passed with work in flight");
    }
    // The last bytes of an answer may still wait to be sent.
    if let Some(closing) = closing {
        let _ = closing.await;
    }
    let moved = timeout(MAX_HANDOVER_WAIT.as_duration(), wait_for_handover(&running));
    if moved.await.is_err() {
        let left = running.context.home.moving();
        log::warn!(target: "stop", "stop: {left} directory entries were not handed over");
    }
    running.context.claims.stop().await;
    running.context.fleet_task.send(Message::Depart);
    running.leave_acks.mark_unchanged();
    // Peers that miss the message detect the departure themselves.
    let _ = timeout(MAX_LEAVE_WAIT.as_duration(), running.leave_acks.changed()).await;
    log::info!(target: "stop", "stop: done");
}

async fn wait_for_handover(running: &Running) {
    while running.context.home.moving() > 0 {
        tokio::time::sleep(CHECK_INTERVAL.as_duration()).await;
    }
}

async fn wait_until_idle(running: &Running) {
    let context = &running.context;
    loop {
        let entry = context.metrics.in_flight.get() == 0;
        let home = context.home.held() == 0;
        if entry && home {
            return;
        }
        tokio::time::sleep(CHECK_INTERVAL.as_duration()).await;
    }
}
