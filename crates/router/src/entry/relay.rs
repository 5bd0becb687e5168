//! Hands a stream of events on, and goes on at another endpoint where it may.

use bytes::Bytes;
use derive_more::Debug;
use futures_util::stream::unfold;
use http::StatusCode;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::attempt::Fault;
use medlarrill_core::routing::config::RetryPolicy;
use medlarrill_core::routing::endpoint::InstanceId;
use medlarrill_core::routing::events::EventSplitter;
use medlarrill_core::routing::plan::{Next, RetryPlan};
use medlarrill_net::now::now;

use super::answer::{Answer, Broken, whole};
use super::dispatch::{Answered, Opened, dispatch};
use super::order::Order;
use super::trace::Trace;
use crate::endpoints::Kept;
use crate::placement::Flight;

/// Time beyond the deadline in which the end of a stream may come.
const GRACE: Millis = Millis(80);
/// Pauses between events, against the longest that the route wants, after which a stream that
/// may go on elsewhere does.
const STUCK: u64 = 2;

/// A stream on its way to the caller.
#[derive(Debug)]
struct Relay {
    order: Order,
    plan: RetryPlan,
    trace: Trace,
    source: Option<Source>,
    splitter: EventSplitter,
}

/// Where events come from.
#[derive(Debug)]
struct Source {
    body: Incoming,
    kept: Kept,
    keep: Option<Millis>,
    is_framed: bool,
    #[expect(
        dead_code,
        reason = "counts the request at its endpoint until it is dropped"
    )]
    flight: Flight,
    endpoint: InstanceId,
}

/// What came of waiting for a piece.
enum Piece {
    Bytes(Bytes),
    End,
    Fault(Fault, String),
}

/// The answer that hands a stream on.
pub fn start(order: Order, plan: RetryPlan, opened: Opened, trace: Trace) -> Answer {
    let headers = opened.headers.clone();
    let relay = Relay {
        splitter: EventSplitter::new(order.call.last_event),
        source: Some(opened.into()),
        order,
        plan,
        trace,
    };
    let pieces = unfold(Some(relay), async |relay| {
        let mut relay = relay?;
        match relay.next().await {
            Some(Ok(piece)) => Some((Ok(Frame::data(piece)), Some(relay))),
            Some(Err(broken)) => Some((Err(broken), None)),
            None => None,
        }
    });
    let mut answer = whole(StatusCode::OK, headers, Bytes::new());
    *answer.body_mut() = StreamBody::new(pieces).boxed_unsync();
    answer
}

impl From<Opened> for Source {
    fn from(opened: Opened) -> Self {
        Self {
            body: opened.body,
            kept: opened.kept,
            keep: opened.keep,
            is_framed: opened.is_framed,
            flight: opened.flight,
            endpoint: opened.endpoint,
        }
    }
}

impl Relay {
    fn may_resume(&self) -> bool {
        self.order.route.retry == RetryPolicy::Resume
    }

    /// The next piece for the caller, none at the stream's end.
    async fn next(&mut self) -> Option<Result<Bytes, Broken>> {
        loop {
            let (fault, cause) = match self.piece().await {
                Piece::Bytes(bytes) if bytes.is_empty() => continue,
                Piece::Bytes(bytes) => {
                    self.trace.bytes(bytes.len());
                    return Some(Ok(bytes));
                }
                Piece::End => {
                    self.end();
                    return None;
                }
                Piece::Fault(fault, cause) => (fault, cause),
            };
            if !self.resume(fault, &cause).await {
                self.trace.broken();
                return Some(Err(Broken));
            }
        }
    }

    async fn piece(&mut self) -> Piece {
        let wait = self.wait();
        let resumes = self.may_resume();
        let Some(source) = &mut self.source else {
            return Piece::Fault(Fault::Cut, "no source".into());
        };
        let frame = tokio::time::timeout(wait.as_duration(), source.body.frame()).await;
        match frame {
            Err(_) => Piece::Fault(Fault::Slow, format!("no event in {wait}")),
            Ok(Some(Err(error))) => Piece::Fault(Fault::Cut, error.to_string()),
            Ok(None) if resumes && self.splitter.has_partial() => {
                Piece::Fault(Fault::Cut, "ended within an event".into())
            }
            Ok(None) => Piece::End,
            Ok(Some(Ok(frame))) => {
                let bytes = frame.into_data().unwrap_or_default();
                match resumes {
                    true => Piece::Bytes(self.splitter.push(&bytes)),
                    false => Piece::Bytes(bytes),
                }
            }
        }
    }

    /// Longest wait for the next piece.
    fn wait(&self) -> Millis {
        let left = self.plan.deadline().since(now());
        let stuck = Millis(self.order.route.gap.0 * STUCK);
        match self.plan.may_run_again() && stuck > Millis::ZERO {
            true => (left + GRACE).min(stuck),
            false => left + GRACE,
        }
    }

    /// Goes on at another endpoint; false if it can't.
    async fn resume(&mut self, fault: Fault, cause: &str) -> bool {
        let Some(source) = self.source.take() else {
            return false;
        };
        let id = source.endpoint.clone();
        // Ends the work at the endpoint before the same request runs at another.
        drop(source);
        let next = match self.may_resume() {
            true => self.order.fail(&mut self.plan, &id, fault, now()),
            false => {
                self.order.note_fault(&self.plan, &id, fault, now());
                Next::GiveUp(self.plan.refusal(false))
            }
        };
        let placement = &self.order.shared.placement;
        let repeats = placement.repeats(&self.order.pool, now());
        self.trace
            .fault(fault, cause, next == Next::Retry, &repeats);
        if next != Next::Retry {
            return false;
        }
        self.splitter.discard_partial();
        let last = self.splitter.last_id();
        let answered = dispatch(&self.order, &mut self.plan, last, &mut self.trace).await;
        let Answered::Events(opened) = answered else {
            return false;
        };
        self.order.shared.metrics.resumed.inc();
        self.source = Some((*opened).into());
        true
    }

    fn end(&mut self) {
        self.trace.answered();
        if let Some(source) = self.source.take() {
            // An endpoint that ends in an answer without a marked end seems to have ended that.
            if source.is_framed {
                self.order.shared.placement.served(&self.plan, now());
            }
            source.kept.release(source.keep, self.order.spare());
        }
    }
}
