//! Execution of one call: budget and circuit breaker, request, counters.

use bytes::Bytes;
use http::header::ETAG;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use medlarrill_core::clock::Millis;
use tokio::time::{Instant, timeout_at};

use super::error::{Error, Refusal, Result};
use super::gate::{Permit, Signal, Transition};
use super::model::{MAX_OBJECT, Version};
use super::role::{Ending, Kind, Role};
use super::{Client, Shared};
use crate::http::{self as transport, Body, Reuse, retry_after};
use crate::now::now;

const ROLE_HEADER: HeaderName = HeaderName::from_static("x-caller-role");
const VM_HEADER: HeaderName = HeaderName::from_static("x-caller-vm");
/// Bytes that a response may have beyond the largest object.
const MAX_OVERHEAD: u64 = 64 << 10;

/// A call to the platform.
pub(super) struct Call {
    pub(super) role: Role,
    pub(super) kind: Kind,
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// Timeout of the call, including the wait for the budget.
    pub(super) timeout: Millis,
}

/// A response of the platform.
pub(super) struct Reply {
    pub(super) status: StatusCode,
    pub(super) version: Option<Version>,
    pub(super) body: Bytes,
}

impl Call {
    const fn is_write(&self) -> bool {
        matches!(self.kind, Kind::Create | Kind::Update | Kind::Delete)
    }
}

impl Client {
    /// Makes a call and converts its response with `read`.
    pub(super) async fn run<T>(
        &self,
        call: Call,
        read: impl FnOnce(Reply) -> Result<T>,
    ) -> Result<T> {
        let mut call_record = CallRecord::new(&self.shared, &call);
        let result = self.exchange(&mut call_record, call).await.and_then(read);
        call_record.end(result.as_ref().err());
        result
    }

    async fn exchange(&self, call_record: &mut CallRecord<'_>, call: Call) -> Result<Reply> {
        let until = Instant::now() + call.timeout.as_duration();
        self.acquire_permit(call_record, &call).await?;
        let shared = &*self.shared;
        let is_write = call.is_write();
        let role = call.role;
        let request = shared.request(call)?;
        let response = shared.send(request, until).await.map_err(from_transport)?;
        let (status, headers) = (response.status(), response.headers().clone());
        check_status(status, &headers)?;
        let body = timeout_at(until, read_body(response, until)).await;
        let body = body
            .unwrap_or(Err(transport::Error::Timeout { sent: true }))
            .map_err(from_transport);
        // The outcome of a write depends on the status alone.
        let body = if is_write {
            Ok(body.unwrap_or_default())
        } else {
            body
        }?;
        shared.counts.add_received(role, body.len());
        Ok(Reply {
            status,
            version: version(&headers),
            body,
        })
    }

    /// Waits for the budget and obtains a permit from the circuit breaker.
    async fn acquire_permit(&self, call_record: &mut CallRecord<'_>, call: &Call) -> Result<()> {
        let down = |after| Error::not_done(Refusal::Down, after);
        let wait = {
            let mut gate = self.shared.gate(call.role);
            let open_for = gate.open_for(now());
            if open_for > Millis::ZERO {
                return Err(down(open_for));
            }
            gate.reserve(now(), call.timeout)
                .map_err(|after| Error::not_done(Refusal::Budget, after))?
        };
        if wait > Millis::ZERO {
            tokio::time::sleep(wait.as_duration()).await;
        }
        let permit = self.shared.gate(call.role).admit(now()).map_err(down)?;
        call_record.permit = Some(permit);
        Ok(())
    }
}

impl Shared {
    fn request(&self, call: Call) -> Result<Request<Full<Bytes>>> {
        let uri = transport::uri(self.address, &call.path)
            .map_err(|_| Error::rejected(StatusCode::BAD_REQUEST.as_u16()))?;
        self.counts
            .add_sent(call.role, call.path.len() + call.body.len());
        let mut request = Request::new(Full::new(call.body));
        *request.method_mut() = call.method;
        *request.uri_mut() = uri;
        *request.headers_mut() = call.headers;
        let headers = request.headers_mut();
        if let Ok(role) = HeaderValue::from_str(&call.role.to_string()) {
            headers.insert(ROLE_HEADER, role);
        }
        if let Some(vm) = &self.vm
            && let Ok(vm) = HeaderValue::from_str(vm.as_str())
        {
            headers.insert(VM_HEADER, vm);
        }
        Ok(request)
    }

    /// Sends a request; retries it only if it was certainly not sent.
    async fn send(
        &self,
        request: Request<Full<Bytes>>,
        until: Instant,
    ) -> transport::Result<http::Response<Incoming>> {
        let left = || Millis::from(until - Instant::now());
        let first = self.http.send(request.clone(), Reuse::Pooled, left()).await;
        match first {
            Err(transport::Error::NotSent { stale: true, .. }) => {
                self.http.send(request, Reuse::Fresh, left()).await
            }
            first => first,
        }
    }
}

async fn read_body(response: http::Response<Incoming>, until: Instant) -> transport::Result<Bytes> {
    let gap = Millis::from(until - Instant::now());
    Body::new(response, until, gap)
        .with_marked_end()
        .read_all(MAX_OBJECT + MAX_OVERHEAD)
        .await
}

/// Converts the error statuses that any call may receive.
fn check_status(status: StatusCode, headers: &HeaderMap) -> Result<()> {
    let after = retry_after(headers);
    let not_done = |why| Err(Error::NotDone { why, after });
    match status {
        StatusCode::TOO_MANY_REQUESTS => not_done(Refusal::Throttled),
        StatusCode::SERVICE_UNAVAILABLE => not_done(Refusal::Unavailable),
        StatusCode::PAYLOAD_TOO_LARGE => Err(Error::TooLarge { limit: MAX_OBJECT }),
        _ if status.is_server_error() => Err(Error::Unknown {
            cause: format!("the platform answered {status}"),
        }),
        _ => Ok(()),
    }
}

fn version(headers: &HeaderMap) -> Option<Version> {
    let tag = headers.get(ETAG)?.to_str().ok()?;
    tag.trim_matches('"').parse().ok().map(Version)
}

fn from_transport(error: transport::Error) -> Error {
    match error {
        transport::Error::NotSent { .. } | transport::Error::Timeout { sent: false } => {
            Error::NotDone {
                why: Refusal::Unreachable,
                after: None,
            }
        }
        transport::Error::TooLarge { limit } => Error::TooLarge { limit },
        other => Error::Unknown {
            cause: other.to_string(),
        },
    }
}

/// Counts a call when dropped, so also if its caller abandons it.
struct CallRecord<'a> {
    shared: &'a Shared,
    role: Role,
    kind: Kind,
    permit: Option<Permit>,
    ending: Ending,
    signal: Signal,
}

impl<'a> CallRecord<'a> {
    const fn new(shared: &'a Shared, call: &Call) -> Self {
        Self {
            shared,
            role: call.role,
            kind: call.kind,
            permit: None,
            ending: Ending::Dropped,
            signal: Signal::Nothing,
        }
    }

    fn end(mut self, error: Option<&Error>) {
        self.ending = error.map_or(Ending::Done, Error::ending);
        self.signal = signal(error);
    }
}

impl Drop for CallRecord<'_> {
    fn drop(&mut self) {
        self.shared.counts.add(self.role, self.kind, self.ending);
        if let Some(permit) = self.permit {
            let mut gate = self.shared.gate(self.role);
            let transition = gate.record(now(), permit, self.signal);
            drop(gate);
            log_transition(self.role, transition);
        }
    }
}

fn log_transition(role: Role, transition: Option<Transition>) {
    match transition {
        Some(Transition::Down { wait }) => {
            log::warn!(target: "platform", "platform: considered down for {role}; next call in {wait}");
        }
        Some(Transition::Up) => log::info!(target: "platform", "platform: recovered for {role}"),
        None => {}
    }
}

fn signal(error: Option<&Error>) -> Signal {
    match error {
        Some(Error::NotDone {
            why: Refusal::Throttled,
            after,
        }) => Signal::Throttled { after: *after },
        Some(Error::NotDone { after, .. }) if error.is_some_and(Error::is_outage) => {
            Signal::Failed { after: *after }
        }
        Some(error) if error.is_outage() => Signal::Failed { after: None },
        _ => Signal::Up,
    }
}
