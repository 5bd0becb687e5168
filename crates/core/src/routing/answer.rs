//! What the head of an endpoint's answer says, and whether it can be handed on.

use derive_more::Debug;

use crate::clock::Millis;
use crate::ids::EndpointId;
use crate::routing::attempt::Fault;
use crate::routing::load::LoadReport;
use crate::routing::notices::Notice;

/// The endpoint isn't the one that the request was meant for.
const MISDIRECTED: u16 = 421;
/// The endpoint takes no more requests of this sender for now.
const BUSY: u16 = 429;
/// The endpoint takes no more requests for now.
const OVERLOADED: u16 = 503;

/// The head of an answer.
#[derive(Clone, PartialEq, Eq, Default)]
#[derive(Debug)]
pub struct AnswerHead {
    /// Its status.
    pub status: u16,
    /// The attempt that it answers, if it says so.
    pub attempt: Option<String>,
    /// The endpoint that it names as its own, if it does.
    pub endpoint: Option<EndpointId>,
    /// Whether the endpoint says that it didn't run the request.
    pub not_run: bool,
    /// Whether it bears the endpoint's signature.
    pub signed: bool,
    /// The endpoint's work.
    pub load: Option<LoadReport>,
    /// For how long it still has to be spared, if it says so.
    pub slow_start: Option<Millis>,
    /// Whether the endpoint says that it will stop.
    pub leaving: bool,
    /// After what time a refused sender may come back.
    pub retry_after: Option<Millis>,
    /// How long the connection may be idle.
    pub keep_alive: Option<Millis>,
    /// Whether the body is a stream of events.
    pub events: bool,
    /// Whether the body's end is marked, by a length or in chunks, so that a connection that ends
    /// can't pass for it.
    pub framed: bool,
    /// Whether the body was encoded on the way, so that it isn't the endpoint's.
    pub encoded: bool,
}

impl AnswerHead {
    /// Why this isn't the endpoint's answer to an attempt, with words for the log.
    pub fn fault(&self, attempt: &str) -> Option<(Fault, &'static str)> {
        if self.attempt.as_deref().is_some_and(|id| id != attempt) {
            return Some((Fault::Foreign, "another attempt's answer"));
        }
        if self.status == MISDIRECTED {
            return Some((Fault::OtherEndpoint, "another endpoint has the address"));
        }
        if self.not_run {
            return Some((Fault::Rejected, "the endpoint takes no more"));
        }
        if self.attempt.is_none() {
            return Some((Fault::Foreign, "an answer without the attempt's id"));
        }
        if self.encoded {
            return Some((Fault::Lost, "the body was encoded on the way"));
        }
        if self.is_success() && !self.signed {
            return Some((Fault::Lost, "a success without signature"));
        }
        None
    }

    /// Whether what it says of its endpoint is the word of this one: not where another endpoint
    /// has the address, nor where it answers another attempt.
    pub fn is_from(&self, endpoint: &EndpointId, attempt: &str) -> bool {
        let names_other = self.endpoint.as_ref().is_some_and(|id| id != endpoint);
        let is_foreign = self.attempt.as_deref().is_some_and(|id| id != attempt);
        self.status != MISDIRECTED && !names_other && !is_foreign
    }

    /// What the endpoint says of itself.
    pub fn notice(&self) -> Notice {
        let refuses = matches!(self.status, BUSY | OVERLOADED);
        let pause = self.retry_after.filter(|_| refuses);
        Notice {
            leaving: self.leaving,
            pause: pause.unwrap_or_default(),
        }
    }

    /// Whether the endpoint says that it ran the request to a good end.
    pub const fn is_success(&self) -> bool {
        matches!(self.status, 200..300)
    }

    /// Whether the endpoint says that it failed.
    pub const fn is_failure(&self) -> bool {
        self.status >= 500 || self.says_not_run()
    }

    /// Whether the status would tell a caller that the request hasn't run.
    pub const fn says_not_run(&self) -> bool {
        matches!(self.status, 408 | 421 | 429 | 503)
    }
}
