//! Polls the load of an endpoint while this daemon has a slot for it.

use std::net::SocketAddr;
use std::sync::Arc;

use medlarrill_core::clock::Millis;
use medlarrill_core::ids::EndpointId;
use medlarrill_net::endpoint::{CallResult, Load};
use medlarrill_net::now::now;
use tokio::task::JoinHandle;

use super::message::Message;
use crate::context::Context;

/// Interval between polls of an endpoint with work, or after a failed poll.
const INTERVAL: Millis = Millis(500);
/// Interval between polls of an idle endpoint: half the age from which nothing is dispatched.
const IDLE_INTERVAL: Millis = Millis(1000);
/// Interval between the first polls, as a new home waits for a report made since its start.
const INITIAL_INTERVAL: Millis = Millis(100);
/// Number of polls at the initial interval.
const INITIAL_POLLS: u32 = 10;
/// Longest wait for an answer.
const TIMEOUT: Millis = Millis(1000);

/// A polling task, aborted on drop.
#[derive(Debug)]
pub struct Poller {
    task: JoinHandle<()>,
}

impl Poller {
    /// Starts to poll an endpoint.
    pub fn start(context: Arc<Context>, endpoint: EndpointId, address: SocketAddr) -> Self {
        let task = tokio::spawn(async move {
            for number in 0u32.. {
                context.metrics.polls.inc();
                // Dated by its question, as the answer may have waited while this process was paused.
                let asked_at = now();
                let load = context.endpoints.load(address, TIMEOUT).await;
                let pause = pause(number, &load);
                context
                    .home
                    .send(Message::Polled(endpoint.clone(), asked_at, load));
                tokio::time::sleep(pause.as_duration()).await;
            }
        });
        Self { task }
    }
}

fn pause(number: u32, load: &CallResult<Load>) -> Millis {
    let idle = |load: &Load| load.running == 0 && load.waiting == 0;
    if number < INITIAL_POLLS {
        INITIAL_INTERVAL
    } else if load.as_ref().is_ok_and(idle) {
        IDLE_INTERVAL
    } else {
        INTERVAL
    }
}

impl Drop for Poller {
    fn drop(&mut self) {
        self.task.abort();
    }
}
