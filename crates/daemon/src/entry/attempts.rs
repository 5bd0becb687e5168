//! The attempts that wait for an answer, by identifier.
//!
//! A frame is dropped if its attempt isn't in the table, or if it comes from a
//! daemon that doesn't have the attempt.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use medlarrill_core::ids::{AttemptId, DaemonId};
use medlarrill_core::wire::{Attempt, Body, Chunk};
use medlarrill_net::link::PeerId;
use prometheus_client::metrics::gauge::Gauge;
use tokio::sync::mpsc;

/// What an attempt receives.
#[derive(Debug)]
pub enum Arrival {
    /// A frame of its answer.
    Frame(Box<Body>),
    /// The daemon that had it is lost.
    Lost,
}

/// Open attempts of one entry. Cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct AttemptTable {
    table: Arc<Mutex<HashMap<AttemptId, Waiter>>>,
    /// Bytes of answers that were received and not yet consumed.
    buffered: Gauge,
}

#[derive(Debug)]
struct Waiter {
    /// The daemon that is expected to answer.
    daemon: DaemonId,
    /// The process that answers, once one does.
    bound: Option<PeerId>,
    sender: mpsc::UnboundedSender<Arrival>,
}

impl Waiter {
    /// Records the sender of a frame; false if it isn't the one that has the attempt.
    ///
    /// Frames of a home that the request was passed to may arrive before `Rerouted` does.
    fn accepts(&mut self, from: &PeerId, body: &Body) -> bool {
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

    fn belongs_to(&self, peer: &PeerId) -> bool {
        match &self.bound {
            Some(bound) => bound == peer,
            None => self.daemon == peer.daemon,
        }
    }
}

impl AttemptTable {
    /// An empty table that reports its buffered bytes in a gauge.
    pub fn new(buffered: Gauge) -> Self {
        Self {
            table: Arc::default(),
            buffered,
        }
    }

    /// Adds an attempt sent to a daemon. Credit bounds the size of its unbounded channel.
    pub fn open(&self, id: AttemptId, to: DaemonId) -> mpsc::UnboundedReceiver<Arrival> {
        let (sender, receiver) = mpsc::unbounded_channel();
        let waiter = Waiter {
            daemon: to,
            bound: None,
            sender,
        };
        self.lock().insert(id, waiter);
        receiver
    }

    /// Removes an attempt and discards the frames that it hasn't read.
    pub fn close(&self, id: AttemptId, arrivals: &mut mpsc::UnboundedReceiver<Arrival>) {
        self.lock().remove(&id);
        while let Ok(arrival) = arrivals.try_recv() {
            if let Arrival::Frame(body) = arrival
                && let Body::Chunk(chunk) = *body
            {
                self.consumed(&chunk);
            }
        }
    }

    /// Subtracts a chunk that an attempt has read from the buffered bytes.
    pub fn consumed(&self, chunk: &Chunk) {
        self.buffered.dec_by(size(chunk));
    }

    /// Delivers a frame to its attempt; false if there is none at that daemon.
    pub fn deliver(&self, from: &PeerId, body: Body) -> bool {
        let Some(id) = attempt_of(&body).and_then(Attempt::id) else {
            return false;
        };
        let mut table = self.lock();
        let Some(waiter) = table.get_mut(&id) else {
            return false;
        };
        if !waiter.accepts(from, &body) {
            return false;
        }
        if let Body::Chunk(chunk) = &body {
            self.buffered.inc_by(size(chunk));
        }
        waiter.sender.send(Arrival::Frame(Box::new(body))).is_ok()
    }

    /// Notifies all attempts at a peer process that it is lost.
    pub fn peer_lost(&self, peer: &PeerId) {
        for waiter in self.lock().values() {
            if waiter.belongs_to(peer) {
                let _ = waiter.sender.send(Arrival::Lost);
            }
        }
    }

    /// Number of open attempts.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether no attempt is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<AttemptId, Waiter>> {
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
