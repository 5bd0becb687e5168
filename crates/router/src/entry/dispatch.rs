//! Sends a request to endpoints until one answers or no attempt is left.

use bytes::Bytes;
use derive_more::Debug;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::Full;
use hyper::body::Body;
use medlarrill_core::body_end::{EndedBody, Framing};
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::answer::AnswerHead;
use medlarrill_core::routing::attempt::Fault;
use medlarrill_core::routing::endpoint::{Build, Endpoint, InstanceId};
use medlarrill_core::routing::plan::{Next, Refusal, RetryPlan};
use medlarrill_core::routing::view::ChooseError;
use medlarrill_net::now::now;
use medlarrill_platform::headers;

use super::body::FullBody;
use super::failed_attempt::{FailedAttempt, record_failure, record_lost_hedge};
use super::hedge::{Done, HedgedRequest};
use super::request::RoutedRequest;
use super::trace::Trace;
use crate::endpoints::{Confirmation, Demand, LeasedConnection, PathTaken, SendError, Sent, Taken};
use crate::guard::GuardedBody;
use crate::placement::InFlight;

/// Time beyond the deadline in which the end of a stream, or an endpoint's own timeout response, may
/// still arrive.
pub const DEADLINE_GRACE: Millis = Millis(80);

/// Result of dispatching a request.
#[derive(Debug)]
pub enum Dispatched {
    /// A complete response.
    Answer(FullAnswer),
    /// A stream whose head was received.
    Stream(Box<OpenStream>),
    /// No response that can be forwarded.
    Refused(Refusal),
}

/// A complete response of an endpoint.
#[derive(Debug)]
pub struct FullAnswer {
    /// Status of the response.
    pub status: StatusCode,
    /// Headers for the caller.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// How the body ended.
    pub ended: EndedBody,
}

/// A stream of events whose head was received.
#[derive(Debug)]
pub struct OpenStream {
    /// Headers for the caller.
    pub headers: HeaderMap,
    /// Body that carries the events.
    pub body: GuardedBody,
    /// Connection that carries the body.
    pub connection: LeasedConnection,
    /// Idle time that the endpoint announced for the connection.
    pub idle_timeout: Option<Millis>,
    /// How the end of the stream will be marked.
    pub framing: Framing,
    /// Counts the request at its endpoint.
    pub in_flight: InFlight,
    /// The endpoint that sends the stream.
    pub endpoint: InstanceId,
    /// Its software version.
    pub build: Build,
    /// When the head was received.
    pub began: Millis,
}

/// Result of one attempt.
pub type Result<T> = std::result::Result<T, FailedAttempt>;

/// Sends a request until an endpoint answers, or no further attempt is possible. While an endpoint is
/// silent, the request is hedged; who answers first is kept.
pub async fn dispatch(
    routed: &RoutedRequest,
    plan: &mut RetryPlan,
    last_event: Option<u64>,
    trace: &mut Trace,
) -> Dispatched {
    let mut hedged = HedgedRequest::new(routed, last_event);
    let mut failed_answer = None;
    let refusal = loop {
        if hedged.is_empty()
            && let Err(error) = hedged.start(plan, trace)
        {
            break not_chosen(&error, plan, trace);
        }
        let Some((done, result)) = hedged.next().await else {
            hedged.hedge(plan, trace);
            continue;
        };
        trace.return_to(&done.id);
        trace.log_tunnel(done.path_taken.as_ref());
        let failed = match result {
            Ok(dispatched) => {
                record_success(routed, &done, &dispatched, trace);
                hedged.drop_others(&done, plan, trace);
                return dispatched;
            }
            Err(failed) => failed,
        };
        hedged.retract_prefix(&done.id, &failed);
        if !hedged.is_empty() {
            plan.record_end(&done.id, failed.fault);
            record_lost_hedge(routed, plan, &done, &failed, trace);
            continue;
        }
        let next = record_failure(routed, plan, &done, &failed, trace).await;
        failed_answer = failed.answer.or(failed_answer);
        if let Next::GiveUp(refusal) = next {
            break refusal;
        }
    };
    let refusal = refine_refusal(routed, refusal, trace);
    match (refusal, failed_answer) {
        (Refusal::Unknown | Refusal::Timeout, Some(answer)) => Dispatched::Answer(*answer),
        _ => Dispatched::Refused(refusal),
    }
}

/// Sends a stream to one other endpoint, which goes on after `last_event`; none if it doesn't answer
/// with a stream.
pub async fn resume_once(
    routed: &RoutedRequest,
    plan: &mut RetryPlan,
    last_event: Option<u64>,
    trace: &mut Trace,
) -> Option<Box<OpenStream>> {
    let mut hedged = HedgedRequest::new(routed, last_event);
    hedged.send(plan, trace).ok()?;
    let (done, result) = hedged.next().await?;
    trace.log_tunnel(done.path_taken.as_ref());
    match result {
        Ok(dispatched) => {
            record_success(routed, &done, &dispatched, trace);
            match dispatched {
                Dispatched::Stream(stream) => Some(stream),
                _ => None,
            }
        }
        Err(failed) => {
            hedged.retract_prefix(&done.id, &failed);
            plan.record_end(&done.id, failed.fault);
            record_lost_hedge(routed, plan, &done, &failed, trace);
            None
        }
    }
}

/// The refusal of a request for which no endpoint was chosen.
fn not_chosen(error: &ChooseError, plan: &RetryPlan, trace: &Trace) -> Refusal {
    match error {
        ChooseError::Overloaded(overload) => {
            trace.log_overload(overload);
            Refusal::Overloaded {
                wait: overload.wait,
            }
        }
        ChooseError::Quarantined { wait, cause, part } => {
            trace.log_quarantined(*cause, *part, *wait);
            plan.quarantined(*wait)
        }
        ChooseError::Nothing => plan.refusal(plan.deadline() <= now()),
    }
}

/// Turns `NotRun` into `Unavailable`, with the time until the pool takes work again, if no
/// endpoint of the pool takes any now.
fn refine_refusal(routed: &RoutedRequest, refusal: Refusal, trace: &Trace) -> Refusal {
    if refusal != Refusal::NotRun {
        return refusal;
    }
    let Some(wait) = routed.shared.placement.closed_for(&routed.pool, now()) else {
        return refusal;
    };
    trace.log_closed_pool(&routed.pool, wait);
    Refusal::Unavailable { wait }
}

/// Sends a request to one endpoint and waits for its response until the deadline. Also returns how it
/// got there, if it was sent.
pub async fn attempt(
    routed: &RoutedRequest,
    plan: &RetryPlan,
    endpoint: &Endpoint,
    in_flight: InFlight,
    request: Request<Full<Bytes>>,
) -> (Result<Dispatched>, Option<PathTaken>) {
    let wait = plan.deadline().since(now()) + DEADLINE_GRACE;
    let taken = Taken::new(in_flight.sent_marker());
    let connections = &routed.shared.connections;
    let placement = &routed.shared.placement;
    // The software version is the one that is listed only if the process is.
    let process = match plan.build() {
        None => Confirmation::Unneeded,
        Some(_) if placement.is_in_doubt(&endpoint.id, now()) => Confirmation::Needed,
        Some(_) => Confirmation::IfTold,
    };
    let demand = Demand {
        is_idempotent: plan.is_idempotent(),
        process,
    };
    let sending = connections.send(endpoint, request, demand, &taken);
    let sent = tokio::time::timeout(wait.as_duration(), sending).await;
    let path_taken = taken.get();
    let result = match sent {
        Ok(Ok(sent)) => receive(routed, plan, sent, in_flight, endpoint).await,
        Ok(Err(error)) => {
            if matches!(error, SendError::Replaced(_)) {
                placement.doubt(&endpoint.id, now());
            }
            Err(error.into())
        }
        Err(_) if path_taken.is_none() => Err(FailedAttempt::new(
            Fault::NotSent,
            format!("not connected in {wait}"),
        )),
        Err(_) => Err(FailedAttempt {
            silence: routed.shared.placement.silence(&endpoint.id, now()),
            ..FailedAttempt::new(Fault::Slow, format!("no head in {wait}"))
        }),
    };
    (result, path_taken)
}

/// Records a successful attempt.
fn record_success(routed: &RoutedRequest, done: &Done, dispatched: &Dispatched, trace: &mut Trace) {
    let placement = &routed.shared.placement;
    placement.record_success(&done.id, now());
    placement.record_answer(&done.id, done.sent, now());
    if let Dispatched::Answer(answer) = dispatched {
        trace.record_end(Some(answer.ended));
    }
}

/// Checks the head of a response, and reads its body unless it is a stream.
async fn receive(
    routed: &RoutedRequest,
    plan: &RetryPlan,
    sent: Sent,
    in_flight: InFlight,
    endpoint: &Endpoint,
) -> Result<Dispatched> {
    let id = &endpoint.id;
    let began = now();
    routed.record_sign(&in_flight, began);
    let (head, body) = sent.answer.into_parts();
    let decoded = headers::read_answer(head.status, &head.headers);
    let unread = &routed.shared.unread_headers;
    unread.report(&head.headers, id, &routed.call.attempt);
    apply_head(routed, id, &decoded, sent.sent_at);
    if sent.is_new {
        routed.shared.metrics.connects.inc();
    }
    if let Some((fault, cause)) = decoded.fault(&routed.call.attempt) {
        return Err(FailedAttempt::new(fault, cause));
    }
    let framing = decoded.framing.of_body(body.is_end_stream());
    let headers = headers::to_caller(&head.headers);
    if head.status == StatusCode::OK && decoded.events {
        return Ok(Dispatched::Stream(Box::new(OpenStream {
            headers,
            body,
            connection: sent.connection,
            idle_timeout: decoded.keep_alive,
            framing,
            in_flight,
            endpoint: id.clone(),
            build: endpoint.build.clone(),
            began,
        })));
    }
    let left = plan.deadline().since(now()) + DEADLINE_GRACE;
    let room = &routed.shared.body_room;
    let body = FullBody::read(body, framing, decoded.events, left, room).await;
    let body = body.map_err(|failed| FailedAttempt::from(failed).with_head_at(began))?;
    routed.release(sent.connection, framing, decoded.keep_alive);
    let answer = FullAnswer {
        status: head.status,
        headers,
        body: body.bytes,
        ended: body.ended,
    };
    if !decoded.is_failure() {
        routed.record_output(&in_flight, began);
        routed.record_complete(plan, &in_flight, began, answer.ended.end);
        return Ok(Dispatched::Answer(answer));
    }
    Err(failed_answer(answer, &decoded))
}

/// The failed attempt of a complete response that reports a failure.
fn failed_answer(answer: FullAnswer, head: &AnswerHead) -> FailedAttempt {
    let mut failed = FailedAttempt::new(Fault::Failed, answer.status);
    failed.ended = Some(answer.ended);
    // A status that promises that the request hasn't run isn't forwarded: it may have run.
    failed.answer = (!head.says_not_run()).then(|| Box::new(answer));
    failed
}

/// Applies what an endpoint reports of itself in the head of a response. `sent_at` is when the
/// request was sent, since the Unix epoch.
fn apply_head(routed: &RoutedRequest, id: &InstanceId, head: &AnswerHead, sent_at: Millis) {
    if !head.is_from(&id.endpoint, &routed.call.attempt) {
        return;
    }
    let placement = &routed.shared.placement;
    if let Some(load) = head.load {
        placement.update_load(id, load, now());
    }
    if let Some(pace) = head.pace {
        placement.update_pace(id, pace, now());
    }
    if let Some(left) = head.slow_start {
        placement.begin_slow_start(id, left, now());
    }
    if let Some(rejections) = head.brittle {
        placement.record_brittle(id, rejections, now());
    }
    placement.apply_notice(id, head.notice(), sent_at, &routed.call.attempt);
}
