//! Responses of the entry's own, and the body type of all responses.

use bytes::Bytes;
use derive_more::{Debug, Display, Error};
use http::header::{self, HeaderMap, HeaderValue};
use http::{Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::config::Denied;
use medlarrill_core::routing::plan::Refusal;
use medlarrill_platform::headers;
use rand::RngExt;

/// Minimum and maximum delay after which a refused caller may retry. Full endpoints free a slot
/// within some tens of milliseconds, and callers that were refused together shouldn't retry
/// together.
const RETRY_DELAY: (Millis, Millis) = (Millis(100), Millis(400));

/// A stream that can't be continued; its connection is closed without the final chunk.
#[derive(Debug, Display, Error)]
#[display("the stream broke off")]
pub struct BrokenStream;

/// Body of any response.
pub type Body = UnsyncBoxBody<Bytes, BrokenStream>;
/// Any response to a caller.
pub type Answer = Response<Body>;

/// Why the entry responds itself.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug, Display)]
pub enum Reason {
    /// No configuration was received yet.
    #[display("no-configuration")]
    NoConfiguration {
        /// Time after which the caller may retry, if an early retry is of no use.
        wait: Option<Millis>,
    },
    /// This daemon is stopping.
    #[display("stopping")]
    Stopping,
    /// No route matches.
    #[display("no-route")]
    NoRoute,
    /// The caller's key was not accepted.
    #[display("denied")]
    Denied(Denied),
    /// A header is missing or invalid.
    #[display("bad-head")]
    BadHead,
    /// The connection failed before the end of the body.
    #[display("bad-body")]
    BadBody,
    /// The body exceeds the size limit.
    #[display("body-too-large")]
    TooLarge,
    /// The body didn't arrive in time.
    #[display("slow-body")]
    SlowBody,
    /// No endpoint answered.
    #[display("{_0}")]
    Refused(Refusal),
}

impl Reason {
    /// Stable code, for metrics and logs.
    pub const fn code(self) -> &'static str {
        match self {
            Self::NoConfiguration { .. } => "no-configuration",
            Self::Stopping => "stopping",
            Self::NoRoute => "no-route",
            Self::Denied(_) => "denied",
            Self::BadHead => "bad-head",
            Self::BadBody => "bad-body",
            Self::TooLarge => "body-too-large",
            Self::SlowBody => "slow-body",
            Self::Refused(Refusal::NotRun) => "not-run",
            Self::Refused(Refusal::Overloaded { .. }) => "overloaded",
            Self::Refused(Refusal::Unavailable { .. }) => "unavailable",
            Self::Refused(Refusal::Quarantined { .. }) => "quarantined",
            Self::Refused(Refusal::NotResumable) => "not-resumable",
            Self::Refused(Refusal::Unknown) => "unknown",
            Self::Refused(Refusal::Timeout) => "timeout",
        }
    }

    /// HTTP status; 503 and 408 promise that the request hasn't run.
    pub const fn status(self) -> StatusCode {
        match self {
            Self::NoConfiguration { .. }
            | Self::Stopping
            | Self::Refused(
                Refusal::NotRun
                | Refusal::Overloaded { .. }
                | Refusal::Unavailable { .. }
                | Refusal::Quarantined { .. }
                | Refusal::NotResumable,
            ) => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::Denied(_) => StatusCode::UNAUTHORIZED,
            Self::BadHead | Self::BadBody => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Self::Refused(Refusal::Unknown) => StatusCode::BAD_GATEWAY,
            Self::Refused(Refusal::Timeout) => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Delay after which a refused caller may retry.
    fn retry_delay(self) -> Millis {
        let (least, most) = RETRY_DELAY;
        let mut rng = rand::rng();
        match self {
            Self::NoConfiguration { wait: Some(wait) } => wait,
            Self::Refused(Refusal::Overloaded { wait } | Refusal::Quarantined { wait }) => wait,
            Self::Refused(Refusal::Unavailable { wait }) => {
                wait + Millis(rng.random_range(0..=most.0))
            }
            _ => Millis(rng.random_range(least.0..=most.0)),
        }
    }
}

/// Creates the entry's own response, with a JSON body.
pub fn own_answer(reason: Reason, detail: &str) -> Answer {
    let text = serde_json::json!({ "error": reason.to_string(), "detail": detail }).to_string();
    let mut answer = full_answer(reason.status(), HeaderMap::new(), text.into());
    let headers = answer.headers_mut();
    let json = HeaderValue::from_static("application/json");
    headers.insert(header::CONTENT_TYPE, json);
    if reason.status() == StatusCode::SERVICE_UNAVAILABLE {
        headers.insert(
            header::RETRY_AFTER,
            headers::retry_after(reason.retry_delay()),
        );
    }
    answer
}

/// Creates a response with a complete body.
pub fn full_answer(status: StatusCode, headers: HeaderMap, body: Bytes) -> Answer {
    let body = Full::new(body)
        .map_err(|never| match never {})
        .boxed_unsync();
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    answer
}
