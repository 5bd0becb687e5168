//! Calls to endpoints: model engines and plain services.
//!
//! A request is sent at most once. Errors say whether it certainly did not run.
//! The response is read chunk by chunk, at the pace of its reader.

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

/// Default timeout for the first byte of the body.
const FIRST_BYTE_TIMEOUT: Millis = Millis::from_secs(30);
/// Default timeout between two chunks.
const GAP_TIMEOUT: Millis = Millis::from_secs(30);

/// One request to an endpoint.
#[derive(Clone)]
#[derive(Debug)]
pub struct Request {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers; hop-by-hop headers are removed when sending.
    pub headers: HeaderMap,
    /// Body.
    #[debug("{} bytes", body.len())]
    pub body: Bytes,
    /// Whether it may use a pooled connection.
    pub reuse: Reuse,
    /// Timeout for the first byte of the response's body.
    pub first: Millis,
    /// Timeout for each later chunk.
    pub gap: Millis,
}

impl Request {
    /// A request without headers or body, with the default timeouts.
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        Self {
            method,
            path: path.into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            reuse: Reuse::Pooled,
            first: FIRST_BYTE_TIMEOUT,
            gap: GAP_TIMEOUT,
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

    /// Sets whether a pooled connection may be used. Use `Fresh` for requests
    /// that must not be retried, as a pooled connection can close while the
    /// request is sent.
    #[must_use]
    pub const fn with_reuse(mut self, reuse: Reuse) -> Self {
        self.reuse = reuse;
        self
    }

    /// Sets the timeouts for the first byte and for each later chunk.
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

/// The response of an endpoint.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers without hop-by-hop headers.
    pub headers: HeaderMap,
    /// The unread body.
    pub body: Body,
}

/// HTTP client for endpoints. Cheap to clone.
#[derive(Clone)]
#[derive(Debug)]
pub struct Client {
    http: Http,
}

impl Client {
    /// A client with its own connection pool.
    pub fn new(limits: &Limits) -> Self {
        Self {
            http: Http::new(limits),
        }
    }

    /// Sends one request, without retries, and waits for the response head.
    /// Dropping the future, or the response's body, closes the connection.
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
