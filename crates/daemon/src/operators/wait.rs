//! Waits until a generation of the configuration is in force.

use medlarrill_core::clock::Millis;
use medlarrill_core::ids::{DaemonId, Generation};
use medlarrill_net::now::now;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

use crate::context::Context;
use crate::fleet::Message;

/// Time between two checks for lagging daemons.
const CHECK_INTERVAL: Millis = Millis(50);
/// Every this many checks, lagging daemons are probed.
const PROBE_EVERY: u32 = 10;

/// Waits until a generation is in force here, or until the deadline.
pub async fn in_force_here(context: &Context, generation: Generation, deadline: Millis) {
    let mut view = context.config.clone();
    let reached = view.wait_for(|view| view.config.generation >= generation);
    // After a timeout the answer still names the generation in force.
    let _ = timeout(deadline.since(now()).as_duration(), reached).await;
}

/// Waits until a generation is in force on all live daemons; returns those that lag at the deadline.
pub async fn in_force_everywhere(
    context: &Context,
    generation: Generation,
    deadline: Millis,
) -> Vec<DaemonId> {
    let mut checks = 0;
    loop {
        let probe = checks % PROBE_EVERY == PROBE_EVERY - 1;
        let lagging = lagging(context, generation, probe).await;
        if lagging.is_empty() || now() >= deadline {
            return lagging;
        }
        checks += 1;
        let pause = CHECK_INTERVAL.min(deadline.since(now()));
        sleep(pause.as_duration()).await;
    }
}

async fn lagging(context: &Context, generation: Generation, probe: bool) -> Vec<DaemonId> {
    let (reply, answer) = oneshot::channel();
    context.fleet_task.send(Message::Lagging {
        generation,
        probe,
        reply,
    });
    // The task ends only when the daemon stops.
    answer.await.unwrap_or_default()
}
