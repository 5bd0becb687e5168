//! Reads and checks a request, and dispatches it.

use std::sync::Arc;

use bytes::Bytes;
use http::header::{self, HeaderValue};
use http::request::Parts;
use http::uri::PathAndQuery;
use http::{Request, Uri};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Body;
use medlarrill_core::clock::Millis;
use medlarrill_core::ids::PoolId;
use medlarrill_core::routing::causes::Causes;
use medlarrill_core::routing::config::{Account, Configuration, Route};
use medlarrill_core::routing::endpoint::Build;
use medlarrill_core::routing::fingerprint::Fingerprint;
use medlarrill_core::routing::outage;
use medlarrill_core::routing::plan::{Refusal, RetryPlan};
use medlarrill_core::routing::stop::Stage;
use medlarrill_core::routing::streams::lookup::Place;
use medlarrill_core::routing::work::cost::PromptSize;
use medlarrill_net::now::now;
use medlarrill_platform::headers;

use super::answer::{Answer, Reason, full_answer, own_answer};
use super::dispatch::{Dispatched, dispatch};
use super::relay;
use super::request::RoutedRequest;
use super::take_up::{find_place, stream_key};
use super::trace::Trace;
use crate::guard::GuardedBody;
use crate::shared::Shared;

/// Timeout for the body of a request; callers send some tens of kilobytes over fast links.
const BODY_TIMEOUT: Millis = Millis::from_secs(10);

/// Time since the start of the process within which requests wait until this daemon knows enough to
/// serve them. That takes some 50 ms, 200 ms when many daemons start at once, and half a second
/// when others don't answer; a refused caller would lose more, since it retries only once.
const STARTUP_WAIT: Millis = Millis(800);

/// Reason of a refusal, with details for the caller.
type Rejection = (Reason, String);
type Result<T> = std::result::Result<T, Rejection>;

/// Handles one request of a caller.
pub async fn handle(shared: Arc<Shared>, request: Request<GuardedBody>) -> Answer {
    let arrived = now();
    let mut trace = Trace::new(&shared, arrived);
    let mut answer = match read_request(&shared, request, &mut trace).await {
        Ok(routed) => serve(routed, arrived, trace).await,
        Err((reason, detail)) => refuse(trace, reason, &detail),
    };
    if shared.stage(now()) != Stage::Serving {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(header::CONNECTION, close);
    }
    answer
}

fn refuse(mut trace: Trace, reason: Reason, detail: &str) -> Answer {
    trace.record_refused(reason);
    own_answer(reason, detail)
}

/// Reads a request, checks it, and picks its route and pool.
async fn read_request(
    shared: &Arc<Shared>,
    request: Request<GuardedBody>,
    trace: &mut Trace,
) -> Result<RoutedRequest> {
    let (parts, body) = request.into_parts();
    let call =
        headers::read_request(&parts.headers).map_err(|error| (Reason::BadHead, error.to_string()));
    if let Ok(call) = &call {
        trace.set_id(&call.attempt);
    }
    if shared.stage(now()) >= Stage::Draining {
        return Err((Reason::Stopping, String::new()));
    }
    let Some(config) = wait_for_config(shared).await else {
        let left = call.ok().and_then(|call| call.timeout);
        return Err((no_configuration(shared, left), String::new()));
    };
    let path = parts.uri.path();
    let route = host(&parts).and_then(|host| config.route(host, path));
    let Some(route) = route.cloned() else {
        return Err((Reason::NoRoute, format!("version {}", config.version)));
    };
    let call = call?;
    let version = || format!("version {}", config.version);
    let account = config.account(&route, call.key.as_deref());
    let account = account.map_err(|denied| (Reason::Denied(denied), version()))?;
    let account = account.cloned();
    let body = read_body(&config, body).await?;
    let host = host(&parts).unwrap_or_default();
    let stream = stream_key(host, path, account.as_deref(), &call, &route);
    let place = find_place(shared, (host, path), &route, &call, stream, trace).await;
    let place = place.map_err(|_| refused(Refusal::NotResumable))?;
    let (pool, build) = choose_pool(shared, &route, place)?;
    let fingerprint = fingerprint(&parts, account.as_deref(), &body);
    let routed = RoutedRequest {
        shared: Arc::clone(shared),
        config,
        route,
        account,
        pool,
        build,
        stream,
        call,
        fingerprint,
        method: parts.method,
        uri: origin_form(&parts.uri),
        headers: parts.headers,
        body,
    };
    trace.set_request(&routed);
    Ok(routed)
}

/// The refusal of a request of a caller that waits for so long, while no configuration is known.
fn no_configuration(shared: &Shared, left: Option<Millis>) -> Reason {
    let (is_cut_off, draw) = (shared.copies.is_cut_off(), shared.placement.random());
    let wait = outage::retry_after(is_cut_off, now(), left, draw);
    Reason::NoConfiguration { wait }
}

/// The pool of a request, and the software version at which it must run if it takes up a stream.
fn choose_pool(
    shared: &Shared,
    route: &Route,
    place: Option<Place>,
) -> Result<(PoolId, Option<Build>)> {
    if let Some(Place { pool, build }) = place {
        return Ok((pool, Some(build)));
    }
    let pool = route.pool(shared.placement.random()).cloned();
    let no_pool = || (Reason::NoRoute, format!("route {} has no pool", route.name));
    Ok((pool.ok_or_else(no_pool)?, None))
}

/// Returns the active configuration. A daemon that has just started waits for it and for the list
/// of endpoints, both of which arrive soon.
async fn wait_for_config(shared: &Shared) -> Option<Arc<Configuration>> {
    let wait = STARTUP_WAIT.since(now());
    let mut config = shared.config.clone();
    let mut informed = shared.is_informed.clone();
    if wait > Millis::ZERO {
        let ready = async {
            config.wait_for(Option::is_some).await.ok();
            informed.wait_for(|informed| *informed).await.ok();
        };
        // On timeout the request is refused below.
        tokio::time::timeout(wait.as_duration(), ready).await.ok();
    }
    // Until the endpoints are listed, none is known to take work.
    let is_informed = *shared.is_informed.borrow();
    shared.config.borrow().clone().filter(|_| is_informed)
}

/// Returns the requested host without its port.
fn host(parts: &Parts) -> Option<&str> {
    let host_header = parts.headers.get(header::HOST);
    let host = match parts.uri.host() {
        Some(host) => host,
        None => host_header?.to_str().ok()?,
    };
    Some(host.split_once(':').map_or(host, |(host, _)| host))
}

/// Computes the fingerprint of a request.
fn fingerprint(parts: &Parts, account: Option<&Account>, body: &[u8]) -> Fingerprint {
    let host = host(parts).unwrap_or_default();
    let path = parts.uri.path_and_query();
    let path = path.map_or("", PathAndQuery::as_str);
    Fingerprint::new(host, path, account.map(|account| &account.id), body)
}

/// Returns only the path and query, as sent to endpoints.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(Uri::default, Uri::from)
}

async fn read_body(config: &Configuration, body: GuardedBody) -> Result<Bytes> {
    let limit = usize::try_from(config.limits.body.0).unwrap_or(usize::MAX);
    let too_large = || (Reason::TooLarge, format!("at most {limit} bytes"));
    if body.size_hint().lower() > limit as u64 {
        return Err(too_large());
    }
    let read = Limited::new(body, limit).collect();
    match tokio::time::timeout(BODY_TIMEOUT.as_duration(), read).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(too_large()),
        Ok(Err(error)) => Err((Reason::BadBody, error.to_string())),
        Err(_) => Err((Reason::SlowBody, format!("not whole after {BODY_TIMEOUT}"))),
    }
}

/// Dispatches a request and answers the caller.
async fn serve(routed: RoutedRequest, arrived: Millis, mut trace: Trace) -> Answer {
    let wait = routed.call.timeout.unwrap_or(Millis::MAX);
    let plan =
        RetryPlan::new(&routed.route, arrived + wait.min(routed.route.timeout)).with_confirmation();
    let causes = Causes::new(routed.fingerprint, &routed.call, &routed.pool);
    let plan = plan.with_causes(causes);
    let mut plan = plan.with_prompt(PromptSize::of(&routed.call));
    if routed.config.has_shares() {
        let account = routed.account.as_ref().map(|account| &account.id);
        plan = plan.with_caller(account, routed.priority());
    }
    if let Some(build) = &routed.build {
        plan.bind(build.clone());
    }
    routed.shared.placement.record_request(&routed.pool, now());
    let last_event = routed.call.last_event;
    match dispatch(&routed, &mut plan, last_event, &mut trace).await {
        Dispatched::Answer(answer) => {
            trace.record_head(answer.status.as_u16());
            trace.add_bytes(answer.body.len());
            trace.record_answered();
            full_answer(answer.status, answer.headers, answer.body)
        }
        Dispatched::Stream(stream) => {
            trace.record_head(200);
            relay::start(routed, plan, *stream, trace)
        }
        Dispatched::Refused(refusal) => refuse(trace, Reason::Refused(refusal), detail(refusal)),
    }
}

fn refused(refusal: Refusal) -> Rejection {
    (Reason::Refused(refusal), detail(refusal).to_owned())
}

const fn detail(refusal: Refusal) -> &'static str {
    match refusal {
        Refusal::NotRun => "no endpoint took it; it has not run and will not",
        Refusal::Overloaded { .. } => "its pool has too much to do; it has not run and will not",
        Refusal::Unavailable { .. } => {
            "no endpoint of its pool takes work; it has not run and will not"
        }
        Refusal::Quarantined { .. } => {
            "requests like it, or with the same part in their prompts, crashed the endpoints that ran them; it \
             has not run and will not"
        }
        Refusal::NotResumable => {
            "its stream can't go on, since no endpoint is known to fit to what began it; this attempt \
             has not run and will not; begin the stream anew"
        }
        Refusal::Unknown => "it may have run, and no whole answer came",
        Refusal::Timeout => "it may have run, and time is up",
    }
}
