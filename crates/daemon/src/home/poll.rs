//! Asks an endpoint for its load, again and again, while this daemon is its home.

use std::net::SocketAddr;
use std::sync::Arc;

use medlarrill_core::clock::Millis;
use medlarrill_core::ids::EndpointId;
use medlarrill_net::endpoint::{CallResult, Load};
use medlarrill_net::now::now;
use tokio::task::JoinHandle;

use super::message::Message;
use crate::context::Context;

/// Time between two questions to an endpoint with work, or after a lost answer.
const EVERY: Millis = Millis(500);
/// Time between two questions to one without: half the age at which nothing is dispatched.
const IDLE: Millis = Millis(1000);
/// Time between the first questions, as a new home waits for a report of its own time.
const FIRST: Millis = Millis(100);
/// Questions asked at that pace.
const FIRST_COUNT: u32 = 10;
/// Longest wait for an answer.
const WAIT: Millis = Millis(1000);

/// A poller, which ends when it is dropped.
#[derive(Debug)]
pub struct Poller {
    task: JoinHandle<()>,
}

impl Poller {
    /// Polls an endpoint.
    pub fn start(context: Arc<Context>, endpoint: EndpointId, address: SocketAddr) -> Self {
        let task = tokio::spawn(async move {
            for number in 0u32.. {
                context.metrics.polls.inc();
                // An answer is as old as its question: it may have waited while this process was paused.
                let asked = now();
                let load = context.endpoints.load(address, WAIT).await;
                let pause = pause(number, &load);
                context
                    .home
                    .send(Message::Polled(endpoint.clone(), asked, load));
                tokio::time::sleep(pause.as_duration()).await;
            }
        });
        Self { task }
    }
}

fn pause(asked: u32, load: &CallResult<Load>) -> Millis {
    let idle = |load: &Load| load.running == 0 && load.waiting == 0;
    if asked < FIRST_COUNT {
        FIRST
    } else if load.as_ref().is_ok_and(idle) {
        IDLE
    } else {
        EVERY
    }
}

impl Drop for Poller {
    fn drop(&mut self) {
        self.task.abort();
    }
}
