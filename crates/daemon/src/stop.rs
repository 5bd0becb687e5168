//! A graceful stop: leave, finish what is in flight, exit.

use medlarrill_core::clock::Millis;
use tokio::time::timeout;

use crate::fleet::Message;
use crate::start::Running;

/// Time that the balancer and peers get to notice before the server closes.
const NOTICE: Millis = Millis(500);
/// Longest wait for peers to hear of the end.
const FAREWELL: Millis = Millis::from_secs(2);
/// Longest wait for the directory to be handed over; each entry left costs one prefill.
const HANDOVER: Millis = Millis::from_secs(10);
/// Time between two looks at what is in flight.
const LOOK: Millis = Millis(50);

/// Stops a daemon in order. Further signals change nothing.
pub async fn stop(mut running: Running) {
    let limit = running.context.settings.limits.stop;
    log::info!(target: "stop", "stop: leaving, {} requests in flight", running.context.attempts.len());
    running.stopping.send_replace(true);
    running.context.fleet_task.send(Message::Leave);
    tokio::time::sleep(NOTICE.as_duration()).await;
    let server = running.server.take();
    let closing = server.map(|server| tokio::spawn(server.stop(limit)));
    if timeout(limit.as_duration(), idle(&running)).await.is_err() {
        log::error!(target: "stop", "stop: the time limit passed with work in flight");
    }
    // The last bytes of an answer may still wait for their caller.
    if let Some(closing) = closing {
        let _ = closing.await;
    }
    let moved = timeout(HANDOVER.as_duration(), handed_over(&running));
    if moved.await.is_err() {
        let left = running.context.home.moving();
        log::warn!(target: "stop", "stop: {left} directory entries were not handed over");
    }
    running.context.claims.stop().await;
    running.context.fleet_task.send(Message::Depart);
    running.leave_acks.mark_unchanged();
    // Peers that don't hear of it find out by themselves.
    let _ = timeout(FAREWELL.as_duration(), running.leave_acks.changed()).await;
    log::info!(target: "stop", "stop: done");
}

async fn handed_over(running: &Running) {
    while running.context.home.moving() > 0 {
        tokio::time::sleep(LOOK.as_duration()).await;
    }
}

async fn idle(running: &Running) {
    let context = &running.context;
    loop {
        let entry = context.metrics.in_flight.get() == 0;
        let home = context.home.held() == 0;
        if entry && home {
            return;
        }
        tokio::time::sleep(LOOK.as_duration()).await;
    }
}
