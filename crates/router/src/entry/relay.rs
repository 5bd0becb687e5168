//! Relays a stream of events to the caller, and resumes it at another endpoint if allowed.

use std::pin::pin;

use bytes::Bytes;
use derive_more::Debug;
use futures_util::stream::unfold;
use http::StatusCode;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use medlarrill_core::body_end::{BodyEnd, EndedBody, Framing};
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::ablation::{Mechanism, is_on};
use medlarrill_core::routing::attempt::Fault;
use medlarrill_core::routing::config::RetryPolicy;
use medlarrill_core::routing::endpoint::{Build, InstanceId};
use medlarrill_core::routing::events::EventSplitter;
use medlarrill_core::routing::plan::{Obstacle, RetryPlan};
use medlarrill_core::routing::silence::SeenSilence;
use medlarrill_net::now::now;
use tokio::time::error::Elapsed;

use super::answer::{Answer, BrokenStream, full_answer};
use super::dispatch::{DEADLINE_GRACE, Dispatched, OpenStream, dispatch, resume_once};
use super::hedge::HEDGE_INTERVAL;
use super::request::{Failed, RoutedRequest};
use super::trace::Trace;
use crate::endpoints::LeasedConnection;
use crate::guard::{GuardedBody, error_text};
use crate::placement::InFlight;

/// A stream is hedged after this multiple of the route's target gap without an event.
const SILENT_GAPS: u64 = 2;

/// Time between two recorded signs of life of an endpoint.
const SIGN_INTERVAL: Millis = Millis(200);

/// A stream that is being relayed to the caller.
#[derive(Debug)]
struct StreamRelay {
    routed: RoutedRequest,
    plan: RetryPlan,
    trace: Trace,
    source: Option<Source>,
    splitter: EventSplitter,
    /// Whether an event was passed on, so that the stream belongs to a software version.
    has_begun: bool,
}

/// The endpoint's response from which events are read.
#[derive(Debug)]
struct Source {
    body: GuardedBody,
    connection: LeasedConnection,
    idle_timeout: Option<Millis>,
    framing: Framing,
    in_flight: InFlight,
    endpoint: InstanceId,
    build: Build,
    /// When the head was received.
    began: Millis,
    /// When a sign of life of the endpoint was last recorded; none before the first output.
    sign_at: Option<Millis>,
}

/// The next frame of a body, none at its end.
type NextFrame = Option<hyper::Result<Frame<Bytes>>>;

/// What came first after a stream was hedged.
enum Hedged {
    /// The stream went on, or ended.
    Frame(NextFrame),
    /// The other endpoint began to answer; with a cause if the stream broke off before.
    Successor(Box<OpenStream>, Option<String>),
    /// The other endpoint didn't take the stream.
    NoSuccessor,
}

/// Result of waiting for the next bytes.
enum Piece {
    Bytes(Bytes),
    /// The end, with a cause for the log if its connection gave one.
    End(BodyEnd, Option<String>),
}

/// Creates the response that relays a stream.
pub fn start(routed: RoutedRequest, plan: RetryPlan, stream: OpenStream, trace: Trace) -> Answer {
    let headers = stream.headers.clone();
    let relay = StreamRelay {
        splitter: EventSplitter::new(routed.call.last_event),
        source: Some(stream.into()),
        routed,
        plan,
        trace,
        has_begun: false,
    };
    let pieces = unfold(Some(relay), async |relay| {
        let mut relay = relay?;
        match relay.next().await {
            Some(Ok(piece)) => Some((Ok(Frame::data(piece)), Some(relay))),
            Some(Err(broken)) => Some((Err(broken), None)),
            None => None,
        }
    });
    let mut answer = full_answer(StatusCode::OK, headers, Bytes::new());
    *answer.body_mut() = StreamBody::new(pieces).boxed_unsync();
    answer
}

impl From<OpenStream> for Source {
    fn from(stream: OpenStream) -> Self {
        Self {
            body: stream.body,
            connection: stream.connection,
            idle_timeout: stream.idle_timeout,
            framing: stream.framing,
            in_flight: stream.in_flight,
            endpoint: stream.endpoint,
            build: stream.build,
            began: stream.began,
            sign_at: None,
        }
    }
}

impl Source {
    /// A fault that ended it, and the silence of its endpoint `id` then.
    fn failed<'a>(
        &self,
        id: &'a InstanceId,
        fault: Fault,
        silence: Option<SeenSilence>,
    ) -> Failed<'a> {
        Failed {
            id,
            fault,
            helper: self.connection.helper(),
            began: Some(self.began),
            sent: self.began,
            silence,
        }
    }

    /// Records a sign of life of the endpoint, now and then.
    fn record_sign(&mut self, routed: &RoutedRequest, now: Millis) {
        if self.sign_at.is_none() {
            routed.record_output(&self.in_flight, now);
        }
        if self.sign_at.is_none_or(|at| now.since(at) >= SIGN_INTERVAL) {
            self.sign_at = Some(now);
            routed.record_sign(&self.in_flight, now);
        }
    }
}

impl StreamRelay {
    fn may_resume(&self) -> bool {
        self.routed.route.retry == RetryPolicy::Resume
    }

    /// Returns the next bytes for the caller, `None` at the end of the stream.
    async fn next(&mut self) -> Option<Result<Bytes, BrokenStream>> {
        loop {
            let (end, cause) = match self.piece().await {
                Piece::Bytes(bytes) if bytes.is_empty() => continue,
                Piece::Bytes(bytes) => {
                    self.trace.add_bytes(bytes.len());
                    self.record_event().await;
                    return Some(Ok(bytes));
                }
                Piece::End(end, cause) => (end, cause),
            };
            self.record_end(end);
            let Some((fault, text)) = Fault::of_end(end) else {
                self.end(end);
                return None;
            };
            let cause = cause.unwrap_or_else(|| text.to_owned());
            if !self.resume(fault, &cause).await {
                self.trace.record_broken();
                // The HTTP library drops what it hasn't written yet when a body fails.
                tokio::task::yield_now().await;
                return Some(Err(BrokenStream));
            }
        }
    }

    async fn record_event(&mut self) {
        if self.has_begun || !self.may_resume() {
            return;
        }
        self.has_begun = true;
        if let Some(source) = &self.source {
            let build = &source.build;
            self.routed.record_event(&mut self.plan, build).await;
        }
    }

    fn record_end(&mut self, end: BodyEnd) {
        let framing = self.source.as_ref().map(|source| source.framing);
        let ended = framing.map(|framing| EndedBody { framing, end });
        self.trace.record_end(ended);
    }

    /// Waits for the next bytes from the source; with resumption allowed, only complete events.
    async fn piece(&mut self) -> Piece {
        let mut wait = self.patience();
        loop {
            if let Ok(frame) = self.frame(wait).await {
                return self.read(frame);
            }
            let left = self.time_left();
            if left == Millis::ZERO {
                return Piece::End(BodyEnd::Stalled, Some("no event until the deadline".into()));
            }
            wait = HEDGE_INTERVAL.min(left);
            if !self.may_hedge() {
                continue;
            }
            match self.hedge().await {
                Hedged::Frame(frame) => return self.read(frame),
                Hedged::Successor(stream, broken) => self.switch_to(*stream, broken),
                Hedged::NoSuccessor => {}
            }
        }
    }

    /// Turns a frame into bytes for the caller.
    fn read(&mut self, frame: NextFrame) -> Piece {
        let resumes = self.may_resume();
        let Some(source) = &mut self.source else {
            return Piece::End(BodyEnd::Broken, Some("no source".into()));
        };
        if matches!(frame, Some(Ok(_))) {
            source.record_sign(&self.routed, now());
        }
        match frame {
            Some(Err(error)) => Piece::End(BodyEnd::Broken, Some(error_text(&error))),
            None => {
                let position = self.splitter.position();
                Piece::End(BodyEnd::of(source.framing, Some(position)), None)
            }
            Some(Ok(frame)) => {
                let bytes = frame.into_data().unwrap_or_default();
                let passed = match resumes {
                    true => self.splitter.push(&bytes),
                    false => {
                        self.splitter.follow(&bytes);
                        bytes
                    }
                };
                match self.splitter.is_endless() {
                    true => Piece::End(BodyEnd::Broken, Some("a line without end".into())),
                    false => Piece::Bytes(passed),
                }
            }
        }
    }

    /// Waits for the next frame of the source.
    async fn frame(&mut self, wait: Millis) -> Result<NextFrame, Elapsed> {
        let next = async { self.source.as_mut()?.body.frame().await };
        tokio::time::timeout(wait.as_duration(), next).await
    }

    /// Time until the end of the stream is given up.
    fn time_left(&self) -> Millis {
        (self.plan.deadline() + DEADLINE_GRACE).since(now())
    }

    /// Time without an event after which the stream is hedged.
    fn patience(&self) -> Millis {
        let patience = Millis(self.routed.route.gap.0.saturating_mul(SILENT_GAPS));
        match self.may_resume() && patience > Millis::ZERO && is_on(Mechanism::Stuck) {
            true => self.time_left().min(patience),
            false => self.time_left(),
        }
    }

    /// Whether a stream whose source is silent is hedged now.
    fn may_hedge(&mut self) -> bool {
        let Some(source) = &self.source else {
            return false;
        };
        if !self.may_resume() || !self.splitter.can_resume() {
            return false;
        }
        let id = &source.endpoint;
        let silence = self.routed.shared.placement.silence(id, now());
        let obstacle = self.routed.try_hedge(&self.plan, id, silence);
        self.trace.log_hedge(id, silence, obstacle);
        obstacle.is_none()
    }

    /// Sends the stream to another endpoint while its source is still read.
    async fn hedge(&mut self) -> Hedged {
        let Some(source) = &mut self.source else {
            return Hedged::NoSuccessor;
        };
        let last = self.splitter.last_id();
        let hedged = {
            let resuming = resume_once(&self.routed, &mut self.plan, last, &mut self.trace);
            let mut resuming = pin!(resuming);
            tokio::select! {
                biased;
                frame = source.body.frame() => match frame {
                    // The other endpoint goes on where a source broke off.
                    Some(Err(error)) => match resuming.await {
                        Some(stream) => Hedged::Successor(stream, Some(error.to_string())),
                        None => Hedged::Frame(Some(Err(error))),
                    },
                    frame => Hedged::Frame(frame),
                },
                successor = &mut resuming => match successor {
                    Some(stream) => Hedged::Successor(stream, None),
                    None => Hedged::NoSuccessor,
                },
            }
        };
        if !matches!(hedged, Hedged::Successor(..)) {
            self.plan.abandon_others(&source.endpoint);
            self.trace.return_to(&source.endpoint);
        }
        hedged
    }

    /// Goes on with another endpoint's stream; the source before is dropped, or has `broken` off.
    fn switch_to(&mut self, stream: OpenStream, broken: Option<String>) {
        let Some(source) = self.source.take() else {
            return;
        };
        let id = &source.endpoint;
        let silence = self.routed.shared.placement.silence(id, now());
        self.trace.log_left(id, silence, broken.as_deref());
        if broken.is_some() {
            let failed = source.failed(id, Fault::Cut, silence);
            self.plan.record_end(id, Fault::Cut);
            self.routed.record_fault(&self.plan, failed, now());
        } else {
            self.plan.abandon(id);
            if source.connection.helper().is_none() {
                self.routed.record_left(id, silence, source.began);
            }
        }
        drop(source);
        self.splitter.discard_partial();
        self.routed.shared.metrics.resumed.inc();
        self.source = Some(stream.into());
    }

    /// Resumes the stream at another endpoint; returns false if that isn't possible.
    async fn resume(&mut self, fault: Fault, cause: &str) -> bool {
        let Some(source) = self.source.take() else {
            return false;
        };
        let id = source.endpoint.clone();
        let ran = now().since(source.began);
        let silence = self.routed.shared.placement.silence(&id, now());
        self.trace.record_silence(silence);
        let failed = source.failed(&id, fault, silence);
        // Ends the request at this endpoint before it runs at another.
        drop(source);
        let obstacle = match self.may_resume() && self.splitter.can_resume() {
            true => {
                let decision = self.routed.record_failure(&mut self.plan, failed).await;
                decision.obstacle
            }
            false => {
                self.routed.record_fault(&self.plan, failed, now());
                Some(Obstacle::NotIdempotent)
            }
        };
        let placement = &self.routed.shared.placement;
        let budget = placement.retry_budget(&self.routed.pool, now());
        self.trace
            .log_fault(fault, cause, Some(ran), obstacle, &budget, None);
        if obstacle.is_some() {
            return false;
        }
        self.splitter.discard_partial();
        let last = self.splitter.last_id();
        let dispatched = dispatch(&self.routed, &mut self.plan, last, &mut self.trace).await;
        let Dispatched::Stream(stream) = dispatched else {
            return false;
        };
        self.routed.shared.metrics.resumed.inc();
        self.source = Some((*stream).into());
        true
    }

    /// Completes the request and returns the connection to the pool.
    fn end(&mut self, end: BodyEnd) {
        self.trace.record_answered();
        if let Some(source) = self.source.take() {
            let routed = &self.routed;
            routed.record_complete(&self.plan, &source.in_flight, source.began, end);
            routed.release(source.connection, source.framing, source.idle_timeout);
        }
    }
}
