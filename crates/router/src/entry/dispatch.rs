//! Sends a request to endpoints until one answers.

use bytes::Bytes;
use derive_more::Debug;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use medlarrill_core::clock::Millis;
use medlarrill_core::outcome::Outcome;
use medlarrill_core::routing::answer::AnswerHead;
use medlarrill_core::routing::attempt::Fault;
use medlarrill_core::routing::endpoint::{Endpoint, InstanceId};
use medlarrill_core::routing::plan::{Next, Refusal, RetryPlan};
use medlarrill_core::routing::view::NoPlace;
use medlarrill_net::now::now;
use medlarrill_platform::headers;

use super::order::Order;
use super::trace::Trace;
use crate::endpoints::{Kept, SendError, Sent};
use crate::placement::Flight;

/// Time beyond the deadline in which an endpoint's own answer to it may come.
const GRACE: Millis = Millis(80);
/// Largest answer that isn't a stream.
const ANSWER_MAX: usize = 8 << 20;

/// What came of a request.
#[derive(Debug)]
pub enum Answered {
    /// A whole answer.
    Whole(Whole),
    /// The start of a stream.
    Events(Box<Opened>),
    /// No answer that can be handed on.
    Nothing(Refusal),
}

/// An endpoint's whole answer.
#[derive(Debug)]
pub struct Whole {
    /// Its status.
    pub status: StatusCode,
    /// Headers for the caller.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// Whether the body's end was marked.
    pub is_framed: bool,
}

/// A stream that has begun.
#[derive(Debug)]
pub struct Opened {
    /// Headers for the caller.
    pub headers: HeaderMap,
    /// The events.
    pub body: Incoming,
    /// Its connection.
    pub kept: Kept,
    /// How long the connection may be idle.
    pub keep: Option<Millis>,
    /// Whether the stream's end will be marked.
    pub is_framed: bool,
    /// The request at its endpoint.
    pub flight: Flight,
    /// The endpoint.
    pub endpoint: InstanceId,
}

/// A failed attempt, with the endpoint's answer if that can be handed on.
#[derive(Debug)]
struct Failed {
    fault: Fault,
    cause: String,
    answer: Option<Box<Whole>>,
}

impl Failed {
    fn new(fault: Fault, cause: impl ToString) -> Self {
        Self {
            fault,
            cause: cause.to_string(),
            answer: None,
        }
    }
}

type Result<T> = std::result::Result<T, Failed>;

/// Sends a request until an endpoint answers, or nothing more can be done.
pub async fn dispatch(
    order: &Order,
    plan: &mut RetryPlan,
    last_event: Option<u64>,
    trace: &mut Trace,
) -> Answered {
    let placement = &order.shared.placement;
    let shared = order.call.shared().filter(|_| order.route.cached);
    let shared = shared.as_ref();
    let mut failure = None;
    let refusal = loop {
        let (choice, flight) = match placement.choose(&order.pool, shared, plan, now()) {
            Ok(placed) => placed,
            Err(NoPlace::Overloaded(overload)) => {
                trace.overloaded(&overload);
                break Refusal::Overloaded {
                    wait: overload.wait,
                };
            }
            Err(NoPlace::Quarantined { wait }) => break plan.quarantined(wait),
            Err(NoPlace::Nothing) => break plan.refusal(plan.deadline() <= now()),
        };
        let left = plan.deadline().since(now());
        trace.attempt(&choice, shared, left);
        let request = order.to_endpoint(&choice, left, last_event);
        let id = choice.endpoint.id.clone();
        let failed = match attempt(order, plan, &choice.endpoint, flight, request).await {
            Ok(answered) => {
                placement.good(&id, now());
                if let Answered::Whole(whole) = &answered
                    && whole.is_framed
                {
                    placement.served(plan, now());
                }
                return answered;
            }
            Err(failed) => failed,
        };
        if let Some(prefix) = shared
            && failed.fault.outcome() != Outcome::Ran
        {
            placement.take_back(prefix, &id);
        }
        let next = fail(order, plan, &id, &failed, trace);
        failure = failed.answer.or(failure);
        if let Next::GiveUp(refusal) = next {
            break refusal;
        }
    };
    let refusal = closed(order, refusal, trace);
    match (refusal, failure) {
        (Refusal::Unknown | Refusal::Timeout, Some(answer)) => Answered::Whole(*answer),
        _ => Answered::Nothing(refusal),
    }
}

/// Tells a caller that is refused when its pool takes work again, where it takes none.
fn closed(order: &Order, refusal: Refusal, trace: &Trace) -> Refusal {
    if refusal != Refusal::NotRun {
        return refusal;
    }
    let Some(wait) = order.shared.placement.closed_for(&order.pool, now()) else {
        return refusal;
    };
    trace.closed(&order.pool, wait);
    Refusal::Unavailable { wait }
}

/// Sends a request to one endpoint and waits for its answer.
async fn attempt(
    order: &Order,
    plan: &RetryPlan,
    endpoint: &Endpoint,
    flight: Flight,
    request: Request<Full<Bytes>>,
) -> Result<Answered> {
    let wait = patience(plan);
    let sending = order.shared.connections.send(endpoint, request);
    match tokio::time::timeout(wait.as_duration(), sending).await {
        Ok(Ok(sent)) => receive(order, plan, sent, flight, endpoint.id.clone()).await,
        Ok(Err(SendError::NotSent(cause))) => Err(Failed::new(Fault::NotSent, cause)),
        Ok(Err(SendError::Lost(cause))) => Err(Failed::new(Fault::Lost, cause)),
        Err(_) => Err(Failed::new(Fault::Slow, format!("no head in {wait}"))),
    }
}

/// Takes note of a failed attempt and says what follows.
fn fail(
    order: &Order,
    plan: &mut RetryPlan,
    id: &InstanceId,
    failed: &Failed,
    trace: &Trace,
) -> Next {
    let next = order.fail(plan, id, failed.fault, now());
    let repeats = order.shared.placement.repeats(&order.pool, now());
    trace.fault(failed.fault, &failed.cause, next == Next::Retry, &repeats);
    next
}

/// Longest wait for the head of an answer.
fn patience(plan: &RetryPlan) -> Millis {
    let patience = plan.attempt_timeout(now());
    let left = plan.deadline().since(now());
    if patience >= left {
        left + GRACE
    } else {
        patience
    }
}

/// Judges the head of an answer, and reads its body unless it is a stream.
async fn receive(
    order: &Order,
    plan: &RetryPlan,
    sent: Sent,
    flight: Flight,
    endpoint: InstanceId,
) -> Result<Answered> {
    let (head, body) = sent.answer.into_parts();
    let told = headers::answer(head.status, &head.headers);
    let unread = &order.shared.unread;
    unread.report(&head.headers, &endpoint, &order.call.attempt);
    hear(order, &endpoint, &told, sent.handed);
    if sent.fresh {
        order.shared.metrics.connects.inc();
    }
    if let Some((fault, cause)) = told.fault(&order.call.attempt) {
        return Err(Failed::new(fault, cause));
    }
    let headers = headers::to_caller(&head.headers);
    if head.status == StatusCode::OK && told.events {
        return Ok(Answered::Events(Box::new(Opened {
            headers,
            body,
            kept: sent.kept,
            keep: told.keep_alive,
            is_framed: told.framed,
            flight,
            endpoint,
        })));
    }
    let body = read(plan, body).await?;
    sent.kept.release(told.keep_alive, order.spare());
    let whole = Whole {
        status: head.status,
        headers,
        body,
        is_framed: told.framed,
    };
    if !told.is_failure() {
        return Ok(Answered::Whole(whole));
    }
    let mut failed = Failed::new(Fault::Failed, head.status);
    // A status that tells the caller that the request hasn't run would be untrue.
    failed.answer = (!told.says_not_run()).then(|| Box::new(whole));
    Err(failed)
}

/// Takes note of what an endpoint says of itself in the head of the answer to a request that was
/// handed over at a time since the Unix epoch.
fn hear(order: &Order, id: &InstanceId, told: &AnswerHead, handed: Millis) {
    if !told.is_from(&id.endpoint, &order.call.attempt) {
        return;
    }
    let placement = &order.shared.placement;
    if let Some(load) = told.load {
        placement.report(id, load, now());
    }
    if let Some(left) = told.slow_start {
        placement.spare(id, left, now());
    }
    placement.note(id, told.notice(), handed, &order.call.attempt);
}

/// Reads a body that isn't a stream.
async fn read(plan: &RetryPlan, body: Incoming) -> Result<Bytes> {
    let left = plan.deadline().since(now()) + GRACE;
    let reading = Limited::new(body, ANSWER_MAX).collect();
    match tokio::time::timeout(left.as_duration(), reading).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) => Err(Failed::new(Fault::Cut, error)),
        Err(_) => Err(Failed::new(Fault::Slow, "the answer didn't end")),
    }
}
