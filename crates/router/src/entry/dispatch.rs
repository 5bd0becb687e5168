//! Sends a request to endpoints until one answers or no attempt is left.

use bytes::Bytes;
use derive_more::Debug;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use medlarrill_core::body_end::{EndedBody, Framing};
use medlarrill_core::clock::Millis;
use medlarrill_core::outcome::Outcome;
use medlarrill_core::routing::answer::AnswerHead;
use medlarrill_core::routing::attempt::Fault;
use medlarrill_core::routing::endpoint::{Build, Endpoint, InstanceId};
use medlarrill_core::routing::plan::{Next, Refusal, RetryPlan};
use medlarrill_core::routing::view::{ChooseError, SeenSilence};
use medlarrill_net::now::now;
use medlarrill_platform::headers;

use super::body::{FailedBody, FullBody};
use super::request::{Decision, Failed, RoutedRequest};
use super::trace::Trace;
use crate::endpoints::{LeasedConnection, PathTaken, SendError, Sent, Taken};
use crate::placement::InFlight;

/// Time beyond the deadline in which an endpoint's own timeout response may still arrive.
const DEADLINE_GRACE: Millis = Millis(80);

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
    pub body: Incoming,
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

/// A failed attempt, with the endpoint's response if that may be forwarded.
#[derive(Debug)]
struct FailedAttempt {
    fault: Fault,
    cause: String,
    answer: Option<Box<FullAnswer>>,
    /// How the response's body ended, if it was read.
    ended: Option<EndedBody>,
    path_taken: Option<PathTaken>,
    /// When the head of the response was received, if its body was cut off.
    began: Option<Millis>,
    /// The endpoint's silence, if that ended the attempt.
    silence: Option<SeenSilence>,
}

impl FailedAttempt {
    fn new(fault: Fault, cause: impl ToString) -> Self {
        Self {
            fault,
            cause: cause.to_string(),
            answer: None,
            ended: None,
            path_taken: None,
            began: None,
            silence: None,
        }
    }

    /// Sets when the head of the response was received.
    fn with_head_at(self, began: Millis) -> Self {
        let began = Some(began);
        Self { began, ..self }
    }
}

impl From<FailedBody> for FailedAttempt {
    fn from(failed: FailedBody) -> Self {
        Self {
            ended: Some(failed.ended),
            ..Self::new(failed.fault, failed.cause)
        }
    }
}

impl From<SendError> for FailedAttempt {
    fn from(error: SendError) -> Self {
        match error {
            SendError::NotSent(cause) => Self::new(Fault::NotSent, cause),
            SendError::CutOff(cause) => Self::new(Fault::CutOff, cause),
            SendError::Lost(cause) => Self::new(Fault::Lost, cause),
        }
    }
}

type Result<T> = std::result::Result<T, FailedAttempt>;

/// Sends a request until an endpoint answers, or no further attempt is possible.
pub async fn dispatch(
    routed: &RoutedRequest,
    plan: &mut RetryPlan,
    last_event: Option<u64>,
    trace: &mut Trace,
) -> Dispatched {
    let placement = &routed.shared.placement;
    let shared_prefix = routed.call.shared().filter(|_| routed.route.cached);
    let shared_prefix = shared_prefix.as_ref();
    let mut failed_answer = None;
    let refusal = loop {
        let (choice, in_flight) = match placement.choose(&routed.pool, shared_prefix, plan, now()) {
            Ok(placed) => placed,
            Err(error) => break not_chosen(&error, plan, trace),
        };
        let left = plan.deadline().since(now());
        trace.log_attempt(&choice, shared_prefix, left);
        let request = routed.to_endpoint(&choice, left, last_event);
        let id = choice.endpoint.id.clone();
        let (result, path_taken) =
            attempt(routed, plan, &choice.endpoint, in_flight, request).await;
        trace.log_tunnel(path_taken.as_ref());
        let failed = match result {
            Ok(dispatched) => {
                record_success(routed, &id, &dispatched, trace);
                return dispatched;
            }
            Err(failed) => FailedAttempt {
                path_taken,
                ..failed
            },
        };
        let unread = shared_prefix.filter(|_| failed.fault.outcome() != Outcome::Ran);
        if let Some(prefix) = unread {
            placement.retract_prefix(prefix, &id);
        }
        let next = record_failure(routed, plan, &id, &failed, trace).await;
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

/// Sends a request to one endpoint and waits for its response. Also returns how it got there, if it
/// was sent.
async fn attempt(
    routed: &RoutedRequest,
    plan: &RetryPlan,
    endpoint: &Endpoint,
    in_flight: InFlight,
    request: Request<Full<Bytes>>,
) -> (Result<Dispatched>, Option<PathTaken>) {
    let wait = head_timeout(routed, plan, &endpoint.id);
    let taken = Taken::new(in_flight.sent_marker());
    let connections = &routed.shared.connections;
    let sending = connections.send(endpoint, request, plan.is_idempotent(), &taken);
    let sent = tokio::time::timeout(wait.as_duration(), sending).await;
    let path_taken = taken.get();
    let result = match sent {
        Ok(Ok(sent)) => receive(routed, plan, sent, in_flight, endpoint).await,
        Ok(Err(error)) => Err(error.into()),
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
fn record_success(
    routed: &RoutedRequest,
    id: &InstanceId,
    dispatched: &Dispatched,
    trace: &mut Trace,
) {
    routed.shared.placement.record_success(id, now());
    if let Dispatched::Answer(answer) = dispatched {
        trace.record_end(Some(answer.ended));
    }
}

/// Records and logs a failed attempt; returns whether to try again.
async fn record_failure(
    routed: &RoutedRequest,
    plan: &mut RetryPlan,
    id: &InstanceId,
    failed: &FailedAttempt,
    trace: &mut Trace,
) -> Next {
    trace.record_end(failed.ended);
    trace.record_silence(failed.silence);
    let helper = failed.path_taken.and_then(|path_taken| path_taken.helper);
    let ran = failed.began.map(|began| now().since(began));
    let lost = Failed {
        id,
        fault: failed.fault,
        helper,
        began: failed.began,
    };
    let Decision { next, obstacle } = routed.record_failure(plan, lost).await;
    let budget = routed.shared.placement.retry_budget(&routed.pool, now());
    let path_taken = failed.path_taken.as_ref();
    trace.log_fault(
        failed.fault,
        &failed.cause,
        ran,
        obstacle,
        &budget,
        path_taken,
    );
    next
}

/// Timeout for the head of a response. A stream that has begun isn't given up for being slow if no
/// other endpoint may go on with it.
fn head_timeout(routed: &RoutedRequest, plan: &RetryPlan, id: &InstanceId) -> Millis {
    let attempt_timeout = plan.attempt_timeout(now());
    let left = plan.deadline().since(now());
    let is_only = || plan.build().is_some() && !routed.has_alternative(plan, id);
    if attempt_timeout >= left || is_only() {
        left + DEADLINE_GRACE
    } else {
        attempt_timeout
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
    let body = FullBody::read(body, framing, decoded.events, left).await;
    let body = body.map_err(|failed| FailedAttempt::from(failed).with_head_at(began))?;
    routed.release(sent.connection, framing, decoded.keep_alive);
    let answer = FullAnswer {
        status: head.status,
        headers,
        body: body.bytes,
        ended: body.ended,
    };
    if !decoded.is_failure() {
        routed.record_complete(plan, &in_flight, began, answer.ended.end);
        return Ok(Dispatched::Answer(answer));
    }
    let mut failed = FailedAttempt::new(Fault::Failed, head.status);
    failed.ended = Some(answer.ended);
    // A status that promises that the request hasn't run isn't forwarded: it may have run.
    failed.answer = (!decoded.says_not_run()).then(|| Box::new(answer));
    Err(failed)
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
    if let Some(left) = head.slow_start {
        placement.begin_slow_start(id, left, now());
    }
    if let Some(rejections) = head.brittle {
        placement.record_brittle(id, rejections, now());
    }
    placement.apply_notice(id, head.notice(), sent_at, &routed.call.attempt);
}
