//! Counts requests as in flight, and their connection as busy, until their answers are written to it.
//!
//! The HTTP library takes an answer whole and writes it as fast as the caller
//! reads. It flushes the stream only when nothing is left to write.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use derive_more::Debug;
use hyper::body::{Body, Frame, SizeHint};

use super::answer::{self, BrokenStream};
use super::idle::IdleState;
use crate::metrics::Metrics;
use crate::watched::{Watch, Watched};

/// The answers of one connection that aren't written yet.
#[derive(Debug)]
pub struct Unwritten {
    #[debug(skip)]
    metrics: Arc<Metrics>,
    idle: IdleState,
    /// Requests whose answers the HTTP library hasn't taken whole.
    pending: AtomicI64,
    /// Answers that it has taken since it last flushed.
    taken: AtomicI64,
}

impl Unwritten {
    /// A connection without requests.
    pub fn new(metrics: &Arc<Metrics>, idle: IdleState) -> Arc<Self> {
        Arc::new(Self {
            metrics: Arc::clone(metrics),
            idle,
            pending: AtomicI64::new(0),
            taken: AtomicI64::new(0),
        })
    }

    /// Counts a request.
    pub fn begin(self: &Arc<Self>) -> Pending {
        self.metrics.in_flight.inc();
        self.pending.fetch_add(1, Ordering::Relaxed);
        self.idle.set_busy();
        Pending(Arc::clone(self))
    }

    /// Waits until the connection is to be closed, since it has been idle longest.
    pub async fn closed(&self) {
        self.idle.closed().await;
    }

    /// Notices when the stream of the connection is flushed.
    pub const fn watch<S>(self: Arc<Self>, stream: S) -> Watched<S, Arc<Self>> {
        Watched::new(stream, self)
    }

    /// Counts the answers that were taken as written; returns how many these are.
    fn record_written(&self) -> i64 {
        let written = self.taken.swap(0, Ordering::Relaxed);
        self.metrics.in_flight.dec_by(written);
        written
    }
}

impl<S> Watch<S> for Arc<Unwritten> {
    fn record_flush(&self) {
        let written = self.record_written();
        if written > 0 && self.pending.load(Ordering::Relaxed) == 0 {
            self.idle.set_idle();
        }
    }
}

impl Drop for Unwritten {
    fn drop(&mut self) {
        self.record_written();
    }
}

/// A request whose answer the HTTP library hasn't taken whole; dropped when it has.
#[derive(Debug)]
pub struct Pending(Arc<Unwritten>);

impl Pending {
    /// The body of its answer.
    pub const fn body(self, body: answer::Body) -> PendingBody {
        PendingBody {
            body,
            _pending: self,
        }
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        self.0.pending.fetch_sub(1, Ordering::Relaxed);
        self.0.taken.fetch_add(1, Ordering::Relaxed);
    }
}

/// The body of an answer.
#[derive(Debug)]
pub struct PendingBody {
    #[debug(skip)]
    body: answer::Body,
    _pending: Pending,
}

impl Body for PendingBody {
    type Data = Bytes;
    type Error = BrokenStream;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenStream>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
