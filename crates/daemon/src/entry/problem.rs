//! Errors to callers, as problem+json (RFC 9457).

use medlarrill_core::clock::Millis;
use medlarrill_core::ids::RequestId;
use medlarrill_core::outcome::Outcome;
use medlarrill_core::reason::Reason;
use salvo::http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use salvo::http::{ResBody, StatusCode};
use serde::Serialize;

use super::attempt::Failure;

/// Media type of problems.
pub const PROBLEM_JSON: &str = "application/problem+json";
/// `Retry-After` if no better time is known.
const DEFAULT_RETRY_AFTER: Millis = Millis::from_secs(1);

/// The error document of a failure.
#[derive(Clone, PartialEq, Eq, Debug)]
#[derive(Serialize)]
pub struct Problem {
    /// URN of the kind of problem.
    #[serde(rename = "type")]
    kind: String,
    /// The reason, in a short sentence.
    title: &'static str,
    /// HTTP status.
    status: u16,
    /// Stable code of the reason.
    code: &'static str,
    #[serde(skip)]
    reason: Reason,
    /// Whether the request ran.
    outcome: Outcome,
    /// The outcome of this request alone, where it differs.
    #[serde(skip_serializing_if = "Option::is_none")]
    this_request: Option<Outcome>,
    /// What exactly is wrong, if known.
    #[serde(skip_serializing_if = "Option::is_none")]
    detail: Option<String>,
    /// Identifier of the request.
    #[serde(skip_serializing_if = "Option::is_none")]
    request: Option<RequestId>,
    /// Seconds after which to retry.
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after: Option<u64>,
}

impl Problem {
    /// A problem for a reason.
    pub fn new(reason: Reason) -> Self {
        Self::of(&Failure::new(reason))
    }

    /// A problem for a failure.
    pub fn of(failure: &Failure) -> Self {
        let reason = failure.reason;
        let after = reason
            .retryable()
            .then(|| failure.retry_after.unwrap_or(DEFAULT_RETRY_AFTER));
        Self {
            kind: format!("urn:medlarrill:{}", reason.code()),
            title: reason.title(),
            status: reason.status(),
            code: reason.code(),
            reason,
            outcome: failure.outcome,
            this_request: failure.own_outcome,
            detail: None,
            request: None,
            retry_after: after.map(|after| after.0.div_ceil(1000).max(1)),
        }
    }

    /// Adds what exactly is wrong.
    #[must_use]
    pub fn with_detail(mut self, detail: impl ToString) -> Self {
        self.detail = Some(detail.to_string());
        self
    }

    /// Adds the identifier of the request.
    #[must_use]
    pub const fn with_request(mut self, request: RequestId) -> Self {
        self.request = Some(request);
        self
    }

    /// The reason, for the metrics.
    pub const fn reason(&self) -> Reason {
        self.reason
    }

    /// The problem as JSON.
    pub fn json(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Replaces the response by the problem.
    pub fn write(&self, response: &mut salvo::Response) {
        let status = StatusCode::from_u16(self.status);
        response.status_code(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(PROBLEM_JSON));
        if let Some(after) = self.retry_after {
            headers.insert(RETRY_AFTER, after.into());
        }
        response.replace_body(ResBody::Once(self.json().into()));
    }
}
