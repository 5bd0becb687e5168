//! Calls to endpoints: model engines and plain services.
//!
//! A request goes out once. Its errors say whether it certainly did not run,
//! and its answer is read piece by piece, as fast as the reader takes it.

mod calls;
mod events;
mod model;

use std::net::SocketAddr;

use bytes::Bytes;
use derive_more::Debug;
use http::{HeaderMap, Method, StatusCode, header};
use http_body_util::Full;
use medlarrill_core::clock::Millis;
use tokio::time::Instant;

use crate::http::{Http, strip_hop_headers, uri};

pub use crate::http::{Body, Error, Limits, Result, Reuse, retry_after};
pub use calls::{CallError, CallResult};
pub use events::{Event, EventError, EventResult, Events};
pub use model::{
    CacheEvent, CacheEvents, CacheKind, CacheLoad, EndpointState, Health, Load, Order, OrderAnswer,
    OrderKind, State,
};

/// Longest wait for the first byte unless set.
const FIRST_BYTE: Millis = Millis::from_secs(30);
/// Longest gap between two pieces unless set.
const GAP: Millis = Millis::from_secs(30);

/// One request to an endpoint.
#[derive(Clone)]
#[derive(Debug)]
pub struct Request {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers; those of one connection are left out when sending.
    pub headers: HeaderMap,
    /// Body.
    #[debug("{} bytes", body.len())]
    pub body: Bytes,
    /// Which connection it may use.
    pub reuse: Reuse,
    /// Longest wait for the first byte of the answer's body.
    pub first: Millis,
    /// Longest wait for each later piece.
    pub gap: Millis,
}

impl Request {
    /// A request without headers or body, with the usual limits.
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        Self {
            method,
            path: path.into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            reuse: Reuse::Pooled,
            first: FIRST_BYTE,
            gap: GAP,
        }
    }

    /// Sets the headers.
    #[must_use]
    pub fn with_headers(mut self, headers: HeaderMap) -> Self {
        self.headers = headers;
        self
    }

    /// Sets the body.
    #[must_use]
    pub fn with_body(mut self, body: Bytes) -> Self {
        self.body = body;
        self
    }

    /// Chooses the connection. `Fresh` suits requests that may not be
    /// repeated, as a kept connection can close while a request goes out.
    #[must_use]
    pub const fn with_reuse(mut self, reuse: Reuse) -> Self {
        self.reuse = reuse;
        self
    }

    /// Sets the longest waits for the first byte and for each later piece.
    #[must_use]
    pub const fn with_timeouts(mut self, first: Millis, gap: Millis) -> Self {
        self.first = first;
        self.gap = gap;
        self
    }

    fn into_http(mut self, address: SocketAddr) -> Result<http::Request<Full<Bytes>>> {
        strip_hop_headers(&mut self.headers);
        self.headers.remove(header::HOST);
        self.headers.remove(header::CONTENT_LENGTH);
        let mut request = http::Request::new(Full::new(self.body));
        *request.method_mut() = self.method;
        *request.uri_mut() = uri(address, &self.path)?;
        *request.headers_mut() = self.headers;
        Ok(request)
    }
}

/// The answer of an endpoint.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers that travel on.
    pub headers: HeaderMap,
    /// The body, still to be read.
    pub body: Body,
}

/// Sends requests to endpoints over kept connections. Cheap to clone.
#[derive(Clone)]
#[derive(Debug)]
pub struct Client {
    http: Http,
}

impl Client {
    /// A client with its own connections.
    pub fn new(limits: &Limits) -> Self {
        Self {
            http: Http::new(limits),
        }
    }

    /// Sends one request, once, and waits for the head of its answer.
    /// Dropping the future, or the answer's body, closes the connection.
    ///
    /// # Errors
    ///
    /// `NotSent`, `Lost` and `Timeout`, as in [`Error`].
    pub async fn send(&self, address: SocketAddr, request: Request) -> Result<Answer> {
        let Request {
            first, gap, reuse, ..
        } = request;
        let until = Instant::now() + first.as_duration();
        let request = request.into_http(address)?;
        let response = self.http.send(request, reuse, first).await?;
        let status = response.status();
        let mut headers = response.headers().clone();
        strip_hop_headers(&mut headers);
        Ok(Answer {
            status,
            headers,
            body: Body::new(response, until, gap),
        })
    }
}
