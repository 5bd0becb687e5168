//! The tries that wait for an answer, by their identifier.
//!
//! A frame for a try that isn't held, or from a daemon that doesn't have it,
//! goes nowhere.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use medlarrill_core::ids::{AttemptId, DaemonId};
use medlarrill_core::wire::{Attempt, Body, Chunk};
use medlarrill_net::link::PeerId;
use prometheus_client::metrics::gauge::Gauge;
use tokio::sync::mpsc;

/// What reaches a try.
#[derive(Debug)]
pub enum Arrival {
    /// A frame of its answer.
    Frame(Box<Body>),
    /// The daemon that had it is gone.
    Lost,
}

/// Table of the tries of one entry. Cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct Attempts {
    table: Arc<Mutex<HashMap<AttemptId, Waiting>>>,
    /// Bytes of answers that were received and not yet taken.
    buffered: Gauge,
}

#[derive(Debug)]
struct Waiting {
    /// The daemon that should have it.
    daemon: DaemonId,
    /// The process that answers, once one does.
    bound: Option<PeerId>,
    sender: mpsc::UnboundedSender<Arrival>,
}

impl Waiting {
    /// Takes note of who sends a frame; false if that one has no part in the try.
    ///
    /// A home that the request was passed to may be heard before the word of its passing.
    fn admits(&mut self, from: &PeerId, body: &Body) -> bool {
        if let Some(bound) = &self.bound {
            return bound == from;
        }
        let Body::Rerouted(passed) = body else {
            self.bound = Some(from.clone());
            self.daemon = from.daemon.clone();
            return true;
        };
        let Ok(to) = passed.to.parse() else {
            return false;
        };
        let known = self.daemon == from.daemon;
        if known {
            self.daemon = to;
        }
        known
    }

    fn is_with(&self, peer: &PeerId) -> bool {
        match &self.bound {
            Some(bound) => bound == peer,
            None => self.daemon == peer.daemon,
        }
    }
}

impl Attempts {
    /// An empty table that shows the bytes it holds in a gauge.
    pub fn new(buffered: Gauge) -> Self {
        Self {
            table: Arc::default(),
            buffered,
        }
    }

    /// Holds a try that goes to a daemon. Credit bounds what its channel can hold.
    pub fn open(&self, id: AttemptId, to: DaemonId) -> mpsc::UnboundedReceiver<Arrival> {
        let (sender, receiver) = mpsc::unbounded_channel();
        let waiting = Waiting {
            daemon: to,
            bound: None,
            sender,
        };
        self.lock().insert(id, waiting);
        receiver
    }

    /// Lets go of a try and of what has come for it.
    pub fn close(&self, id: AttemptId, arrivals: &mut mpsc::UnboundedReceiver<Arrival>) {
        self.lock().remove(&id);
        while let Ok(arrival) = arrivals.try_recv() {
            if let Arrival::Frame(body) = arrival
                && let Body::Chunk(chunk) = *body
            {
                self.taken(&chunk);
            }
        }
    }

    /// Notes that a try has taken a piece of its answer.
    pub fn taken(&self, chunk: &Chunk) {
        self.buffered.dec_by(size(chunk));
    }

    /// Hands a frame to its try; false if none holds it with that daemon.
    pub fn deliver(&self, from: &PeerId, body: Body) -> bool {
        let Some(id) = attempt_of(&body).and_then(Attempt::id) else {
            return false;
        };
        let mut table = self.lock();
        let Some(waiting) = table.get_mut(&id) else {
            return false;
        };
        if !waiting.admits(from, &body) {
            return false;
        }
        if let Body::Chunk(chunk) = &body {
            self.buffered.inc_by(size(chunk));
        }
        waiting.sender.send(Arrival::Frame(Box::new(body))).is_ok()
    }

    /// Tells all tries with a process that it is gone.
    pub fn lost(&self, peer: &PeerId) {
        for waiting in self.lock().values() {
            if waiting.is_with(peer) {
                let _ = waiting.sender.send(Arrival::Lost);
            }
        }
    }

    /// Tries held.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether none is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<AttemptId, Waiting>> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn size(chunk: &Chunk) -> i64 {
    i64::try_from(chunk.data.len()).unwrap_or(i64::MAX)
}

const fn attempt_of(body: &Body) -> Option<&Attempt> {
    match body {
        Body::Accepted(frame) => frame.attempt.as_ref(),
        Body::Rerouted(frame) => frame.attempt.as_ref(),
        Body::Refused(frame) => frame.attempt.as_ref(),
        Body::Chunk(frame) => frame.attempt.as_ref(),
        Body::End(frame) => frame.attempt.as_ref(),
        _ => None,
    }
}
