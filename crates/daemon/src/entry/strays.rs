//! Stops work whose answer arrives at an entry that no longer waits for it.
//!
//! A home that answers an attempt unknown here runs a request that no caller
//! waits for, so it is told to drop it. The home doesn't cancel it at the
//! endpoint, as a later attempt may have resumed the same stream.

use std::sync::Arc;

use medlarrill_core::wire::{Attempt, Body, Cancel};
use medlarrill_net::link::PeerId;
use tokio::sync::mpsc;

use crate::context::Context;

/// Most cancellations that may wait; a home beyond that gets one at its next frame.
const QUEUE_LENGTH: usize = 1024;

/// A frame for an attempt that isn't open.
struct Stray {
    from: PeerId,
    attempt: Attempt,
}

/// Queues cancellations to the senders of stray frames. Cheap to clone.
#[derive(Clone)]
pub struct StrayFrames {
    sender: mpsc::Sender<Stray>,
}

/// Stray frames whose senders are to get a cancellation.
pub struct Queue(mpsc::Receiver<Stray>);

impl StrayFrames {
    /// The handle, and the queue of its task.
    pub fn new() -> (Self, Queue) {
        let (sender, receiver) = mpsc::channel(QUEUE_LENGTH);
        (Self { sender }, Queue(receiver))
    }

    /// Records a frame that no attempt waits for.
    pub fn record(&self, from: &PeerId, attempt: Attempt) {
        let from = from.clone();
        // A full queue only delays the cancellation until the next frame.
        let _ = self.sender.try_send(Stray { from, attempt });
    }
}

impl Queue {
    /// Sends the cancellations until every handle is dropped.
    pub async fn run(mut self, context: Arc<Context>) {
        while let Some(Stray { from, attempt }) = self.0.recv().await {
            log::info!(target: "entry", "entry: {from} answers an attempt that isn't open");
            let cancel = Cancel {
                attempt: Some(attempt),
                detach: true,
            };
            let sent = context.peers.try_send(&from.daemon, Body::Cancel(cancel));
            if let Err(error) = sent.await {
                log::debug!(target: "entry", "entry: can't send a cancellation to {from}: {error}");
            }
        }
    }
}
