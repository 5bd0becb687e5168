//! The decoded head of an endpoint's response, and whether it may be passed on to the caller.

use derive_more::Debug;

use crate::body_end::Framing;
use crate::clock::Millis;
use crate::ids::EndpointId;
use crate::routing::attempt::Fault;
use crate::routing::load::LoadReport;
use crate::routing::notices::Notice;
use crate::routing::work::pace::Pace;

/// Lowest status of a final response.
const FIRST_FINAL: u16 = 200;
/// Status of an endpoint that isn't the one that the request was meant for.
const MISDIRECTED: u16 = 421;
/// Status of an endpoint that takes no more requests from this sender for now.
const BUSY: u16 = 429;
/// Status of an endpoint that takes no more requests for now.
const OVERLOADED: u16 = 503;

/// Status and headers of a response, decoded.
#[derive(Clone, PartialEq, Eq, Default)]
#[derive(Debug)]
pub struct AnswerHead {
    /// HTTP status code.
    pub status: u16,
    /// Id of the attempt that it answers, if given.
    pub attempt: Option<String>,
    /// Id of the endpoint that sent it, if given.
    pub endpoint: Option<EndpointId>,
    /// Whether the endpoint states that it didn't run the request.
    pub not_run: bool,
    /// Whether it carries the endpoint's signature.
    pub signed: bool,
    /// The endpoint's load, if given.
    pub load: Option<LoadReport>,
    /// How fast the endpoint works now, if given.
    pub pace: Option<Pace>,
    /// Remaining time of the endpoint's slow start, if given.
    pub slow_start: Option<Millis>,
    /// Whether the endpoint announces that it will stop.
    pub leaving: bool,
    /// How many requests the endpoint may turn away in a second before it fails, if it says so.
    pub brittle: Option<u32>,
    /// Time after which a refused sender may retry.
    pub retry_after: Option<Millis>,
    /// How long the connection may stay idle.
    pub keep_alive: Option<Millis>,
    /// Whether the body is a stream of events.
    pub events: bool,
    /// How the end of the body is marked.
    pub framing: Framing,
    /// Whether an intermediary encoded the body, so that it isn't as the endpoint sent it.
    pub encoded: bool,
}

impl AnswerHead {
    /// Why this isn't a valid response to an attempt, with a text for the log; none if it is.
    pub fn fault(&self, attempt: &str) -> Option<(Fault, &'static str)> {
        if self.attempt.as_deref().is_some_and(|id| id != attempt) {
            return Some((Fault::Foreign, "another attempt's answer"));
        }
        if self.status == MISDIRECTED {
            return Some((Fault::OtherEndpoint, "another endpoint has the address"));
        }
        if self.not_run {
            return Some((Fault::Rejected, "the endpoint refused the request"));
        }
        if self.attempt.is_none() {
            return Some((Fault::Foreign, "an answer without the attempt's id"));
        }
        if self.status < FIRST_FINAL {
            return Some((Fault::Lost, "no final response"));
        }
        if self.encoded {
            return Some((Fault::Lost, "the body was encoded on the way"));
        }
        if self.is_success() && !self.signed {
            return Some((Fault::Lost, "a success without signature"));
        }
        None
    }

    /// Whether this endpoint sent it in response to this attempt: not if another endpoint has the
    /// address, nor if it answers another attempt.
    pub fn is_from(&self, endpoint: &EndpointId, attempt: &str) -> bool {
        let names_other = self.endpoint.as_ref().is_some_and(|id| id != endpoint);
        let is_foreign = self.attempt.as_deref().is_some_and(|id| id != attempt);
        self.status != MISDIRECTED && !names_other && !is_foreign
    }

    /// What the endpoint reports about its own availability.
    pub fn notice(&self) -> Notice {
        let refuses = matches!(self.status, BUSY | OVERLOADED);
        let pause = self.retry_after.filter(|_| refuses);
        Notice {
            leaving: self.leaving,
            pause: pause.unwrap_or_default(),
        }
    }

    /// Whether the endpoint ran the request successfully (status 2xx).
    pub const fn is_success(&self) -> bool {
        matches!(self.status, 200..300)
    }

    /// Whether the status reports a failure of the endpoint, or that the request wasn't run.
    pub const fn is_failure(&self) -> bool {
        self.status >= 500 || self.says_not_run()
    }

    /// Whether callers take the status to mean that the request wasn't run.
    pub const fn says_not_run(&self) -> bool {
        matches!(self.status, 408 | 421 | 429 | 503)
    }
}
