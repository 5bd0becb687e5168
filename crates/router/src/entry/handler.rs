//! Reads a request, checks it, and has it answered.

use std::sync::Arc;

use bytes::Bytes;
use http::header::{self, HeaderValue};
use http::request::Parts;
use http::uri::PathAndQuery;
use http::{Request, Uri};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::config::{Account, Configuration};
use medlarrill_core::routing::fingerprint::Fingerprint;
use medlarrill_core::routing::plan::{Refusal, RetryPlan};
use medlarrill_core::routing::stop::Stage;
use medlarrill_net::now::now;
use medlarrill_platform::headers;

use super::answer::{Answer, Reason, own, whole};
use super::dispatch::{Answered, dispatch};
use super::order::Order;
use super::relay;
use super::trace::Trace;
use crate::shared::Shared;

/// Longest time for a body to arrive; callers send some tens of kilobytes over fast links.
const BODY_WAIT: Millis = Millis::from_secs(10);

/// Time since the start within which requests wait for the first configuration. It is read
/// within some 20 ms, some 200 where many daemons start at once; a refused caller would lose
/// more, since it comes back once only.
const STARTING: Millis = Millis(600);

/// A refusal with what is wrong.
type Refused = (Reason, String);
type Result<T> = std::result::Result<T, Refused>;

/// Answers one request.
pub async fn handle(shared: Arc<Shared>, request: Request<Incoming>) -> Answer {
    let arrived = now();
    let mut trace = Trace::new(&shared, arrived);
    let mut answer = match read(&shared, request, &mut trace).await {
        Ok(order) => serve(order, arrived, trace).await,
        Err((reason, detail)) => refuse(trace, reason, &detail),
    };
    if shared.stage(now()) != Stage::Serving {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(header::CONNECTION, close);
    }
    answer
}

fn refuse(mut trace: Trace, reason: Reason, detail: &str) -> Answer {
    trace.refused(reason);
    own(reason, detail)
}

/// Reads and checks a request.
async fn read(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
    trace: &mut Trace,
) -> Result<Order> {
    let (parts, body) = request.into_parts();
    let call = headers::call(&parts.headers).map_err(|error| (Reason::BadHead, error.to_string()));
    if let Ok(call) = &call {
        trace.request(&call.attempt);
    }
    if shared.stage(now()) >= Stage::Draining {
        return Err((Reason::Stopping, String::new()));
    }
    let Some(config) = configuration(shared).await else {
        return Err((Reason::NoConfiguration, String::new()));
    };
    let path = parts.uri.path();
    let route = host(&parts).and_then(|host| config.route(host, path));
    let Some(route) = route.cloned() else {
        return Err((Reason::NoRoute, format!("version {}", config.version)));
    };
    let call = call?;
    let account = config
        .account(&route, call.key.as_deref())
        .map_err(|denied| {
            (
                Reason::Denied(denied),
                format!("version {}", config.version),
            )
        })?
        .cloned();
    let pool = route.pool(shared.placement.draw()).cloned();
    let Some(pool) = pool else {
        return Err((Reason::NoRoute, format!("route {} has no pool", route.name)));
    };
    let body = read_body(&config, body).await?;
    let fingerprint = fingerprint(&parts, account.as_deref(), &body);
    let order = Order {
        shared: Arc::clone(shared),
        config,
        route,
        account,
        pool,
        call,
        fingerprint,
        method: parts.method,
        uri: origin_form(&parts.uri),
        headers: parts.headers,
        body,
    };
    trace.order(&order);
    Ok(order)
}

/// The configuration in force. A daemon that has just started is about to read one, and the
/// list of endpoints.
async fn configuration(shared: &Shared) -> Option<Arc<Configuration>> {
    let wait = STARTING.since(now());
    let mut config = shared.config.clone();
    let mut listed = shared.listed.clone();
    if wait > Millis::ZERO {
        let known = async {
            config.wait_for(Option::is_some).await.ok();
            listed.wait_for(|listed| *listed).await.ok();
        };
        // Where it is too late, the request is refused below.
        tokio::time::timeout(wait.as_duration(), known).await.ok();
    }
    // Endpoints that aren't known to take work get none.
    let is_listed = *shared.listed.borrow();
    shared.config.borrow().clone().filter(|_| is_listed)
}

/// The host that the caller asked for, without a port.
fn host(parts: &Parts) -> Option<&str> {
    let named = parts.headers.get(header::HOST);
    let host = match parts.uri.host() {
        Some(host) => host,
        None => named?.to_str().ok()?,
    };
    Some(host.split_once(':').map_or(host, |(host, _)| host))
}

/// What tells whether another request asks for the same.
fn fingerprint(parts: &Parts, account: Option<&Account>, body: &[u8]) -> Fingerprint {
    let host = host(parts).unwrap_or_default();
    let path = parts.uri.path_and_query();
    let path = path.map_or("", PathAndQuery::as_str);
    Fingerprint::new(host, path, account.map(|account| &account.id), body)
}

/// Path and query only, as an endpoint is asked.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(Uri::default, Uri::from)
}

async fn read_body(config: &Configuration, body: Incoming) -> Result<Bytes> {
    let most = usize::try_from(config.limits.body.0).unwrap_or(usize::MAX);
    let too_large = || (Reason::TooLarge, format!("at most {most} bytes"));
    if body.size_hint().lower() > most as u64 {
        return Err(too_large());
    }
    let read = Limited::new(body, most).collect();
    match tokio::time::timeout(BODY_WAIT.as_duration(), read).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(too_large()),
        Ok(Err(error)) => Err((Reason::BadBody, error.to_string())),
        Err(_) => Err((Reason::SlowBody, format!("not whole after {BODY_WAIT}"))),
    }
}

/// Has a request answered by an endpoint.
async fn serve(order: Order, arrived: Millis, mut trace: Trace) -> Answer {
    let wait = order.call.timeout.unwrap_or(Millis::MAX);
    let plan = RetryPlan::new(&order.route, arrived + wait.min(order.route.timeout));
    let mut plan = plan.with_fingerprint(order.fingerprint);
    order.shared.placement.request(&order.pool, now());
    let first = order.call.last_event;
    match dispatch(&order, &mut plan, first, &mut trace).await {
        Answered::Whole(answer) => {
            trace.head(answer.status.as_u16());
            trace.bytes(answer.body.len());
            trace.answered();
            whole(answer.status, answer.headers, answer.body)
        }
        Answered::Events(opened) => {
            trace.head(200);
            relay::start(order, plan, *opened, trace)
        }
        Answered::Nothing(refusal) => refuse(trace, Reason::Refused(refusal), detail(refusal)),
    }
}

const fn detail(refusal: Refusal) -> &'static str {
    match refusal {
        Refusal::NotRun => "no endpoint took it; it has not run and will not",
        Refusal::Overloaded { .. } => "its pool has too much to do; it has not run and will not",
        Refusal::Unavailable { .. } => {
            "no endpoint of its pool takes work; it has not run and will not"
        }
        Refusal::Quarantined { .. } => {
            "requests like it ended the endpoints that ran them; it has not run and will not"
        }
        Refusal::Unknown => "it may have run, and no whole answer came",
        Refusal::Timeout => "it may have run, and time is up",
    }
}
