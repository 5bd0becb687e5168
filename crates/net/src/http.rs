//! HTTP/1.1 client over pooled connections, whose errors say whether a request
//! was sent.
//!
//! The client library's automatic retries are off. A request counts as not sent
//! only if it was never handed to a connection.

mod body;
pub(crate) mod plain_millis;

use std::net::SocketAddr;

use bytes::Bytes;
use derive_more::{Debug, Display, Error};
use http::header::{self, HeaderMap, HeaderName};
use http::{Request, Response, Uri};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::{HttpConnector, capture_connection};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use medlarrill_core::clock::Millis;
use medlarrill_core::outcome::Outcome;

pub use body::{Body, framing, is_event_stream};

/// Hop-by-hop headers, which are not forwarded (RFC 9110, section 7.6.1).
const HOP_BY_HOP_HEADERS: [HeaderName; 9] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    HeaderName::from_static("keep-alive"),
];

/// Result of an HTTP call.
pub type Result<T> = std::result::Result<T, Error>;

/// Why an HTTP call got no complete response.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug, Display, Error)]
pub enum Error {
    /// The request was never handed to a connection: certainly not run.
    #[display("the request was not sent: {cause}")]
    NotSent {
        /// Description of the error.
        cause: String,
        /// Whether the peer had closed the pooled connection.
        stale: bool,
    },
    /// The request was sent, but no complete response arrived: it may have run.
    #[display("the answer was lost: {cause}")]
    Lost {
        /// Description of the error.
        cause: String,
    },
    /// No response arrived in time.
    #[display("no answer came in time")]
    Timeout {
        /// Whether the request was handed to a connection.
        sent: bool,
    },
    /// The response is larger than the limit; reading stopped.
    #[display("the answer is larger than {limit} bytes")]
    TooLarge {
        /// The limit, in bytes.
        limit: u64,
    },
}

impl Error {
    /// Whether the request may have run.
    pub const fn outcome(&self) -> Outcome {
        match self {
            Self::NotSent { .. } | Self::Timeout { sent: false } => Outcome::NotRun,
            Self::Lost { .. } | Self::Timeout { sent: true } | Self::TooLarge { .. } => {
                Outcome::Unknown
            }
        }
    }

    /// Short name of the error, for counters.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::NotSent { .. } => "not-sent",
            Self::Lost { .. } => "lost",
            Self::Timeout { sent: false } => "timeout-not-sent",
            Self::Timeout { sent: true } => "timeout",
            Self::TooLarge { .. } => "too-large",
        }
    }

    pub(crate) fn not_sent(cause: impl ToString) -> Self {
        Self::NotSent {
            cause: cause.to_string(),
            stale: false,
        }
    }

    pub(crate) fn lost(cause: impl ToString) -> Self {
        Self::Lost {
            cause: cause.to_string(),
        }
    }

    fn from_client(error: &hyper_util::client::legacy::Error) -> Self {
        let cause = describe(error);
        // The library reports "canceled" only if it hands the request back.
        let stale = source(error).is_some_and(hyper::Error::is_canceled);
        if stale || error.is_connect() {
            Self::NotSent { cause, stale }
        } else {
            Self::Lost { cause }
        }
    }
}

/// The underlying hyper error, if there is one.
fn source(error: &hyper_util::client::legacy::Error) -> Option<&hyper::Error> {
    std::error::Error::source(error)?.downcast_ref()
}

/// An error and its chain of causes in one line.
pub(crate) fn describe(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut next = error.source();
    while let Some(cause) = next {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        next = cause.source();
    }
    text
}

/// Limits of a client's connections.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub struct Limits {
    /// Connect timeout.
    pub connect: Millis,
    /// How long an idle connection is kept.
    pub idle: Millis,
    /// Most idle connections per address.
    pub max_idle: usize,
    /// Read buffer of one connection, in bytes; at least 8 KiB.
    pub buffer: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connect: Millis(1000),
            idle: Millis::from_secs(5),
            max_idle: 32,
            buffer: 64 << 10,
        }
    }
}

/// Which connection a request may use.
#[derive(Clone, Copy, PartialEq, Eq, Default)]
#[derive(Debug)]
pub enum Reuse {
    /// A pooled connection if there is one. The peer may close it while the
    /// request is sent, which loses the response although it never read the
    /// request.
    #[default]
    Pooled,
    /// A new connection, closed afterwards.
    Fresh,
}

/// HTTP client with pooled and one-off connections.
#[derive(Clone)]
#[derive(Debug)]
pub(crate) struct Http {
    #[debug(skip)]
    pooled: Client<HttpConnector, Full<Bytes>>,
    #[debug(skip)]
    fresh: Client<HttpConnector, Full<Bytes>>,
}

impl Http {
    pub(crate) fn new(limits: &Limits) -> Self {
        Self {
            pooled: client(limits, limits.max_idle),
            fresh: client(limits, 0),
        }
    }

    /// Sends one request and waits for the response head.
    ///
    /// # Errors
    ///
    /// `NotSent`, `Lost` and `Timeout`, as in [`Error`].
    pub(crate) async fn send(
        &self,
        mut request: Request<Full<Bytes>>,
        reuse: Reuse,
        timeout: Millis,
    ) -> Result<Response<Incoming>> {
        let connection = capture_connection(&mut request);
        let client = match reuse {
            Reuse::Pooled => &self.pooled,
            Reuse::Fresh => &self.fresh,
        };
        let answer = tokio::time::timeout(timeout.as_duration(), client.request(request)).await;
        match answer {
            // The library skips interim responses, except a change of protocols.
            Ok(Ok(response)) if response.status().is_informational() => Err(Error::lost(format!(
                "no final response, but {}",
                response.status()
            ))),
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) => Err(Error::from_client(&error)),
            Err(_) => Err(Error::Timeout {
                sent: connection.connection_metadata().is_some(),
            }),
        }
    }
}

fn client(limits: &Limits, max_idle: usize) -> Client<HttpConnector, Full<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(limits.connect.as_duration()));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(limits.idle.as_duration())
        .pool_max_idle_per_host(max_idle)
        .http1_max_buf_size(limits.buffer)
        .retry_canceled_requests(false)
        .build(connector)
}

/// Builds a URI from an address and a path.
///
/// # Errors
///
/// `NotSent` if the path is not valid in a URI.
pub(crate) fn uri(address: SocketAddr, path: &str) -> Result<Uri> {
    Uri::builder()
        .scheme("http")
        .authority(address.to_string())
        .path_and_query(path)
        .build()
        .map_err(Error::not_sent)
}

/// Removes the hop-by-hop headers and those that `Connection` names.
pub fn strip_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
}

/// The delay in a `Retry-After` header, if it is given in seconds.
pub fn retry_after(headers: &HeaderMap) -> Option<Millis> {
    let text = headers.get(header::RETRY_AFTER)?.to_str().ok()?;
    text.trim().parse().ok().map(Millis::from_secs)
}
