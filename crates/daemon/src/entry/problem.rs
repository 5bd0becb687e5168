//! Errors to callers, as problem+json.

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
/// When to come back if nothing better is known.
const RETRY_DEFAULT: Millis = Millis::from_secs(1);

/// What a caller is told of a failure.
#[derive(Clone, PartialEq, Eq, Debug)]
#[derive(Serialize)]
pub struct Problem {
    /// Names the kind of problem.
    #[serde(rename = "type")]
    kind: String,
    /// A short sentence.
    title: &'static str,
    /// HTTP status.
    status: u16,
    /// Stable code of the reason.
    code: &'static str,
    #[serde(skip)]
    reason: Reason,
    /// Whether the request ran.
    outcome: Outcome,
    /// What is known of this request alone, where that differs.
    #[serde(skip_serializing_if = "Option::is_none")]
    this_request: Option<Outcome>,
    /// More of it.
    #[serde(skip_serializing_if = "Option::is_none")]
    detail: Option<String>,
    /// The request.
    #[serde(skip_serializing_if = "Option::is_none")]
    request: Option<RequestId>,
    /// Seconds after which to come back.
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
            .then(|| failure.after.unwrap_or(RETRY_DEFAULT));
        Self {
            kind: format!("urn:medlarrill:{}", reason.code()),
            title: reason.title(),
            status: reason.status(),
            code: reason.code(),
            reason,
            outcome: failure.outcome,
            this_request: failure.own,
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

    /// Names the request.
    #[must_use]
    pub const fn with_request(mut self, request: RequestId) -> Self {
        self.request = Some(request);
        self
    }

    /// The reason, as it is counted.
    pub const fn reason(&self) -> Reason {
        self.reason
    }

    /// The JSON text.
    pub fn json(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Writes the problem as the whole response.
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
