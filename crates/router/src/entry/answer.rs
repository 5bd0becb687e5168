//! Answers of the entry itself, and the body type of all answers.

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

/// Shortest and longest time after which a refused caller may come back: endpoints that are
/// full free a slot within some tens of milliseconds, and callers that were refused together
/// shouldn't come back together.
const COME_BACK: (Millis, Millis) = (Millis(100), Millis(400));

/// A stream that can't go on; the connection ends without the stream's end mark.
#[derive(Debug, Display, Error)]
#[display("the stream broke off")]
pub struct Broken;

/// Body of any answer.
pub type Body = UnsyncBoxBody<Bytes, Broken>;
/// Any answer.
pub type Answer = Response<Body>;

/// Why the entry answers itself.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug, Display)]
pub enum Reason {
    /// No configuration was read yet.
    #[display("no-configuration")]
    NoConfiguration,
    /// This daemon is stopping.
    #[display("stopping")]
    Stopping,
    /// No route matches.
    #[display("no-route")]
    NoRoute,
    /// The caller's key isn't accepted.
    #[display("denied")]
    Denied(Denied),
    /// A header can't be read.
    #[display("bad-head")]
    BadHead,
    /// The body broke off.
    #[display("bad-body")]
    BadBody,
    /// The body is over the limit.
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
    /// Short name, for counters.
    pub const fn code(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no-configuration",
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
            Self::Refused(Refusal::Unknown) => "unknown",
            Self::Refused(Refusal::Timeout) => "timeout",
        }
    }

    /// The status; 503 and 408 promise that the request hasn't run.
    pub const fn status(self) -> StatusCode {
        match self {
            Self::NoConfiguration
            | Self::Stopping
            | Self::Refused(
                Refusal::NotRun
                | Refusal::Overloaded { .. }
                | Refusal::Unavailable { .. }
                | Refusal::Quarantined { .. },
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

    /// When a refused caller may come back.
    fn come_back(self) -> Millis {
        let (least, most) = COME_BACK;
        let mut rng = rand::rng();
        match self {
            Self::Refused(Refusal::Overloaded { wait } | Refusal::Quarantined { wait }) => wait,
            Self::Refused(Refusal::Unavailable { wait }) => {
                wait + Millis(rng.random_range(0..=most.0))
            }
            _ => Millis(rng.random_range(least.0..=most.0)),
        }
    }
}

/// The entry's own answer.
pub fn own(reason: Reason, detail: &str) -> Answer {
    let text = serde_json::json!({ "error": reason.to_string(), "detail": detail }).to_string();
    let mut answer = whole(reason.status(), HeaderMap::new(), text.into());
    let headers = answer.headers_mut();
    let json = HeaderValue::from_static("application/json");
    headers.insert(header::CONTENT_TYPE, json);
    if reason.status() == StatusCode::SERVICE_UNAVAILABLE {
        headers.insert(
            header::RETRY_AFTER,
            headers::retry_after(reason.come_back()),
        );
    }
    answer
}

/// An answer whose body is at hand.
pub fn whole(status: StatusCode, headers: HeaderMap, body: Bytes) -> Answer {
    let body = Full::new(body)
        .map_err(|never| match never {})
        .boxed_unsync();
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    answer
}
