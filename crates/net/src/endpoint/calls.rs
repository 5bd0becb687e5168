//! Typed calls to endpoints, with limited response sizes.

use std::net::SocketAddr;

use bytes::Bytes;
use derive_more::{Debug, Display, Error, From};
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use medlarrill_core::clock::Millis;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::model::{CacheEvents, EndpointState, Health, Load, Order, OrderAnswer};
use super::{Answer, Client, Error, Request, Result};
use crate::http::retry_after;

/// Largest response to a typed call, in bytes.
const MAX_ANSWER: u64 = 1 << 20;
/// Time allowed for a long poll beyond its wait.
const POLL_GRACE: Millis = Millis::from_secs(5);

/// Result of a typed call.
pub type CallResult<T> = std::result::Result<T, CallError>;

/// Why a typed call failed.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug, Display, Error, From)]
pub enum CallError {
    /// No complete response arrived.
    #[display("{_0}")]
    Transport(Error),
    /// The response has an error status.
    #[display("the endpoint answered {status}")]
    #[from(skip)]
    Status {
        /// HTTP status.
        status: u16,
        /// Delay from `Retry-After`, if given.
        after: Option<Millis>,
    },
    /// The response can't be parsed.
    #[display("the endpoint's answer can't be read: {cause}")]
    #[from(skip)]
    Malformed {
        /// Error of the parser.
        cause: String,
    },
}

/// Body of an engine's refusal of an order: its current fencing number.
#[derive(serde::Deserialize)]
struct FenceRefusal {
    fence: u64,
}

/// Request body of an order with its fencing number.
#[derive(Serialize)]
struct FencedOrder<'a> {
    fence: u64,
    order: &'a Order,
}

impl Client {
    /// Reads an endpoint's load.
    ///
    /// # Errors
    ///
    /// As in [`CallError`].
    pub async fn load(&self, address: SocketAddr, wait: Millis) -> CallResult<Load> {
        self.read(address, "/v1/load", wait).await
    }

    /// Reads whether an endpoint accepts new work. A response with status 503
    /// and a state in its body is not an error.
    ///
    /// # Errors
    ///
    /// As in [`CallError`].
    pub async fn health(&self, address: SocketAddr, wait: Millis) -> CallResult<Health> {
        let request = Request::new(Method::GET, "/v1/health").with_timeouts(wait, wait);
        let answer = self.send(address, request).await?;
        let unavailable = answer.status == StatusCode::SERVICE_UNAVAILABLE;
        if !answer.status.is_success() && !unavailable {
            return Err(refusal(&answer));
        }
        parse(&answer.body.read_all(MAX_ANSWER).await?)
    }

    /// Reads an engine's model, adapters, version and role.
    ///
    /// # Errors
    ///
    /// As in [`CallError`].
    pub async fn state(&self, address: SocketAddr, wait: Millis) -> CallResult<EndpointState> {
        self.read(address, "/v1/state", wait).await
    }

    /// Waits up to `poll` for cache events with a sequence number above `after`.
    ///
    /// # Errors
    ///
    /// As in [`CallError`].
    pub async fn cache_events(
        &self,
        address: SocketAddr,
        after: u64,
        poll: Millis,
    ) -> CallResult<CacheEvents> {
        let path = format!("/v1/cache/events?after={after}&wait={}", poll.0);
        self.read(address, &path, poll + POLL_GRACE).await
    }

    /// Sends an order to an engine, without retries.
    ///
    /// # Errors
    ///
    /// As in [`CallError`]; after `Transport` the order may have been accepted
    /// unless the error's outcome is `NotRun`.
    pub async fn order(
        &self,
        address: SocketAddr,
        fence: u64,
        order: &Order,
        wait: Millis,
    ) -> CallResult<OrderAnswer> {
        let body = serde_json::to_vec(&FencedOrder { fence, order }).map_err(malformed)?;
        let request = Request::new(Method::POST, "/v1/orders")
            .with_headers(json_headers())
            .with_body(body.into())
            .with_timeouts(wait, wait);
        let answer = self.send(address, request).await?;
        if answer.status == StatusCode::CONFLICT {
            let FenceRefusal { fence } = parse(&answer.body.read_all(MAX_ANSWER).await?)?;
            return Ok(OrderAnswer::Fenced { fence });
        }
        if !answer.status.is_success() {
            return Err(refusal(&answer));
        }
        answer.body.read_all(MAX_ANSWER).await?;
        Ok(OrderAnswer::Taken)
    }

    /// Resumes a stream after token `from`; the response has status 404 if the
    /// engine no longer holds the stream.
    ///
    /// # Errors
    ///
    /// As for `send`.
    pub async fn resume(
        &self,
        address: SocketAddr,
        stream: &str,
        from: u64,
        first: Millis,
        gap: Millis,
    ) -> Result<Answer> {
        let path = format!("{}?from={from}", stream_path(stream)?);
        let request = Request::new(Method::GET, path).with_timeouts(first, gap);
        self.send(address, request).await
    }

    /// Cancels a stream; returns `false` if the engine does not hold it.
    ///
    /// # Errors
    ///
    /// As in [`CallError`].
    pub async fn cancel(
        &self,
        address: SocketAddr,
        stream: &str,
        wait: Millis,
    ) -> CallResult<bool> {
        let request = Request::new(Method::DELETE, stream_path(stream)?).with_timeouts(wait, wait);
        let answer = self.send(address, request).await?;
        if answer.status == StatusCode::NOT_FOUND {
            return Ok(false);
        }
        if !answer.status.is_success() {
            return Err(refusal(&answer));
        }
        answer.body.read_all(MAX_ANSWER).await?;
        Ok(true)
    }

    async fn read<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        wait: Millis,
    ) -> CallResult<T> {
        let request = Request::new(Method::GET, path).with_timeouts(wait, wait);
        let answer = self.send(address, request).await?;
        if !answer.status.is_success() {
            return Err(refusal(&answer));
        }
        parse(&answer.body.read_all(MAX_ANSWER).await?)
    }
}

/// The path of a stream.
///
/// # Errors
///
/// `NotSent` if the name has characters that are not allowed in the path.
fn stream_path(stream: &str) -> Result<String> {
    let plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if stream.is_empty() || !stream.chars().all(plain) {
        return Err(Error::not_sent("the stream's name is not valid in a path"));
    }
    Ok(format!("/v1/streams/{stream}"))
}

fn json_headers() -> HeaderMap {
    let json = HeaderValue::from_static("application/json");
    HeaderMap::from_iter([(header::CONTENT_TYPE, json)])
}

fn refusal(answer: &Answer) -> CallError {
    CallError::Status {
        status: answer.status.as_u16(),
        after: retry_after(&answer.headers),
    }
}

fn parse<T: DeserializeOwned>(body: &Bytes) -> CallResult<T> {
    serde_json::from_slice(body).map_err(malformed)
}

fn malformed(error: serde_json::Error) -> CallError {
    CallError::Malformed {
        cause: error.to_string(),
    }
}
