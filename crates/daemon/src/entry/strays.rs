//! Ends work of which the answer comes to an entry that doesn't wait for it.
//!
//! A home that sends an answer for a try that isn't held here runs something
//! that nobody wants: it is told so. The endpoint isn't, as the same stream may
//! have been taken up by a later try.

use std::sync::Arc;

use medlarrill_core::wire::{Attempt, Body, Cancel};
use medlarrill_net::link::PeerId;
use tokio::sync::mpsc;

use crate::context::Context;

/// Homes that may wait to be told; further ones are told at their next frame.
const QUEUE: usize = 1024;

/// A frame for a try that isn't held.
struct Stray {
    from: PeerId,
    attempt: Attempt,
}

/// Tells homes to stop. Cheap to clone.
#[derive(Clone)]
pub struct Strays {
    sender: mpsc::Sender<Stray>,
}

/// What `Strays` takes in.
pub struct Queue(mpsc::Receiver<Stray>);

impl Strays {
    /// The handle, and the queue of its task.
    pub fn new() -> (Self, Queue) {
        let (sender, receiver) = mpsc::channel(QUEUE);
        (Self { sender }, Queue(receiver))
    }

    /// Notes a frame that nobody waits for.
    pub fn note(&self, from: &PeerId, attempt: Attempt) {
        let from = from.clone();
        // A full queue only delays the word to the home.
        let _ = self.sender.try_send(Stray { from, attempt });
    }
}

impl Queue {
    /// Tells the homes, until every handle is gone.
    pub async fn run(mut self, context: Arc<Context>) {
        while let Some(Stray { from, attempt }) = self.0.recv().await {
            log::info!(target: "entry", "entry: {from} answers what nobody waits for");
            let cancel = Cancel {
                attempt: Some(attempt),
                detach: true,
            };
            let sent = context.peers.try_send(&from.daemon, Body::Cancel(cancel));
            if let Err(error) = sent.await {
                log::debug!(target: "entry", "entry: {from} can't be told to stop: {error}");
            }
        }
    }
}
