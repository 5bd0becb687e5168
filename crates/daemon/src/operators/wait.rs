//! Waits until a generation is in force.

use medlarrill_core::clock::Millis;
use medlarrill_core::ids::{DaemonId, Generation};
use medlarrill_net::now::now;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

use crate::context::Context;
use crate::fleet::Message;

/// Time between two looks at who lags.
const LOOK: Millis = Millis(50);
/// Looks between two questions to those that lag.
const ASK_EVERY: u32 = 10;

/// Waits until a generation is in force here, or the deadline.
pub async fn in_force_here(context: &Context, generation: Generation, deadline: Millis) {
    let mut view = context.config.clone();
    let reached = view.wait_for(|view| view.config.generation >= generation);
    // What is answered then names the generation that it is of.
    let _ = timeout(deadline.since(now()).as_duration(), reached).await;
}

/// Waits until a generation is in force on all live daemons; names those that lag at the deadline.
pub async fn in_force_everywhere(
    context: &Context,
    generation: Generation,
    deadline: Millis,
) -> Vec<DaemonId> {
    let mut look = 0;
    loop {
        let ask = look % ASK_EVERY == ASK_EVERY - 1;
        let lagging = lagging(context, generation, ask).await;
        if lagging.is_empty() || now() >= deadline {
            return lagging;
        }
        look += 1;
        let pause = LOOK.min(deadline.since(now()));
        sleep(pause.as_duration()).await;
    }
}

async fn lagging(context: &Context, generation: Generation, ask: bool) -> Vec<DaemonId> {
    let (reply, answer) = oneshot::channel();
    context.fleet_task.send(Message::Lagging {
        generation,
        probe: ask,
        reply,
    });
    // The task ends only with the daemon.
    answer.await.unwrap_or_default()
}
