//! One call: through the gate, over the connection, into the counters.

use bytes::Bytes;
use http::header::ETAG;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use medlarrill_core::clock::Millis;
use tokio::time::{Instant, timeout_at};

use super::error::{Error, Refusal, Result};
use super::gate::{Permit, Turn, Verdict};
use super::model::{MAX_OBJECT, Version};
use super::role::{Ending, Kind, Role};
use super::{Client, Shared};
use crate::http::{self as transport, Body, Reuse, retry_after};
use crate::now::now;

const ROLE_HEADER: HeaderName = HeaderName::from_static("x-caller-role");
const VM_HEADER: HeaderName = HeaderName::from_static("x-caller-vm");
/// Most bytes that an answer may have beside an object.
const ANSWER_ROOM: u64 = 64 << 10;

/// What is asked.
pub(super) struct Call {
    pub(super) role: Role,
    pub(super) kind: Kind,
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// Longest time for all of it, with the wait for the budget.
    pub(super) timeout: Millis,
}

/// What was answered.
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
    /// Makes a call and reads its answer with `read`.
    pub(super) async fn run<T>(
        &self,
        call: Call,
        read: impl FnOnce(Reply) -> Result<T>,
    ) -> Result<T> {
        let mut record = Record::new(&self.shared, &call);
        let result = self.exchange(&mut record, call).await.and_then(read);
        record.end(result.as_ref().err());
        result
    }

    async fn exchange(&self, record: &mut Record<'_>, call: Call) -> Result<Reply> {
        let until = Instant::now() + call.timeout.as_duration();
        self.pass(record, &call).await?;
        let shared = &*self.shared;
        let is_write = call.is_write();
        let role = call.role;
        let request = shared.request(call)?;
        let response = shared.send(request, until).await.map_err(from_transport)?;
        let (status, headers) = (response.status(), response.headers().clone());
        refuse(status, &headers)?;
        let body = timeout_at(until, read_body(response, until)).await;
        let body = body
            .unwrap_or(Err(transport::Error::Timeout { sent: true }))
            .map_err(from_transport);
        // The status alone says what became of a write.
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

    /// Waits for the budget and passes the circuit.
    async fn pass(&self, record: &mut Record<'_>, call: &Call) -> Result<()> {
        let down = |after| Error::not_done(Refusal::Down, after);
        let wait = {
            let mut gate = self.shared.gate(call.role);
            let closed = gate.closed_for(now());
            if closed > Millis::ZERO {
                return Err(down(closed));
            }
            gate.take(now(), call.timeout)
                .map_err(|after| Error::not_done(Refusal::Budget, after))?
        };
        if wait > Millis::ZERO {
            tokio::time::sleep(wait.as_duration()).await;
        }
        let permit = self.shared.gate(call.role).admit(now()).map_err(down)?;
        record.permit = Some(permit);
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

    /// Sends a request, again only if it certainly was not sent at first.
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
        .whole(MAX_OBJECT + ANSWER_ROOM)
        .await
}

/// Errors for the refusals that any call may meet.
fn refuse(status: StatusCode, headers: &HeaderMap) -> Result<()> {
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

/// Counts a call once, also if its caller goes away.
struct Record<'a> {
    shared: &'a Shared,
    role: Role,
    kind: Kind,
    permit: Option<Permit>,
    ending: Ending,
    verdict: Verdict,
}

impl<'a> Record<'a> {
    const fn new(shared: &'a Shared, call: &Call) -> Self {
        Self {
            shared,
            role: call.role,
            kind: call.kind,
            permit: None,
            ending: Ending::Dropped,
            verdict: Verdict::Nothing,
        }
    }

    fn end(mut self, error: Option<&Error>) {
        self.ending = error.map_or(Ending::Done, Error::ending);
        self.verdict = verdict(error);
    }
}

impl Drop for Record<'_> {
    fn drop(&mut self) {
        self.shared.counts.add(self.role, self.kind, self.ending);
        if let Some(permit) = self.permit {
            let mut gate = self.shared.gate(self.role);
            let turn = gate.settle(now(), permit, self.verdict);
            drop(gate);
            report(self.role, turn);
        }
    }
}

fn report(role: Role, turn: Option<Turn>) {
    match turn {
        Some(Turn::Down { wait }) => {
            log::warn!(target: "platform", "platform: it looks down to {role}; next call in {wait}");
        }
        Some(Turn::Up) => log::info!(target: "platform", "platform: it is back for {role}"),
        None => {}
    }
}

fn verdict(error: Option<&Error>) -> Verdict {
    match error {
        Some(Error::NotDone {
            why: Refusal::Throttled,
            after,
        }) => Verdict::Throttled { after: *after },
        Some(Error::NotDone { after, .. }) if error.is_some_and(Error::is_outage) => {
            Verdict::Failed { after: *after }
        }
        Some(error) if error.is_outage() => Verdict::Failed { after: None },
        _ => Verdict::Up,
    }
}
