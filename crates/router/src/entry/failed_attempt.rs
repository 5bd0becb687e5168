//! Failed attempts: why they failed, and how that is recorded and logged.

use derive_more::Debug;
use medlarrill_core::body_end::EndedBody;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::attempt::Fault;
use medlarrill_core::routing::plan::{Next, Obstacle, RetryPlan};
use medlarrill_core::routing::silence::SeenSilence;
use medlarrill_net::now::now;

use super::body::FailedBody;
use super::dispatch::FullAnswer;
use super::hedge::Done;
use super::request::{Decision, Failed, RoutedRequest};
use super::trace::Trace;
use crate::endpoints::SendError;

/// A failed attempt, with the endpoint's response if that may be forwarded.
#[derive(Debug)]
pub struct FailedAttempt {
    /// How it failed.
    pub fault: Fault,
    /// What happened, for the log.
    pub cause: String,
    /// The response, if it may be forwarded.
    pub answer: Option<Box<FullAnswer>>,
    /// How the response's body ended, if it was read.
    pub ended: Option<EndedBody>,
    /// When the head of the response was received, if its body was cut off.
    pub began: Option<Millis>,
    /// The endpoint's silence, if that ended the attempt.
    pub silence: Option<SeenSilence>,
}

impl FailedAttempt {
    /// An attempt that failed in a way.
    pub fn new(fault: Fault, cause: impl ToString) -> Self {
        Self {
            fault,
            cause: cause.to_string(),
            answer: None,
            ended: None,
            began: None,
            silence: None,
        }
    }

    /// Sets when the head of the response was received.
    pub fn with_head_at(self, began: Millis) -> Self {
        let began = Some(began);
        Self { began, ..self }
    }
}

impl From<FailedBody> for FailedAttempt {
    fn from(failed: FailedBody) -> Self {
        Self {
            ended: Some(failed.ended),
            ..Self::new(failed.fault, failed.cause)
        }
    }
}

impl From<SendError> for FailedAttempt {
    fn from(error: SendError) -> Self {
        match error {
            SendError::NotSent(cause) => Self::new(Fault::NotSent, cause),
            SendError::CutOff(cause) => Self::new(Fault::CutOff, cause),
            SendError::Replaced(_) | SendError::Unproved => Self::new(Fault::Unconfirmed, error),
            SendError::Lost(cause) => Self::new(Fault::Lost, cause),
        }
    }
}

/// A failed attempt, as it is recorded.
fn lost<'a>(done: &'a Done, failed: &FailedAttempt) -> Failed<'a> {
    Failed {
        id: &done.id,
        fault: failed.fault,
        helper: done.path_taken.and_then(|path_taken| path_taken.helper),
        began: failed.began,
        sent: done.sent,
        silence: failed.silence,
    }
}

/// Records and logs a failed attempt; returns whether to try again.
pub async fn record_failure(
    routed: &RoutedRequest,
    plan: &mut RetryPlan,
    done: &Done,
    failed: &FailedAttempt,
    trace: &mut Trace,
) -> Next {
    let Decision { next, obstacle } = routed.record_failure(plan, lost(done, failed)).await;
    log_failure(routed, done, failed, obstacle, trace);
    next
}

/// Records and logs a failed attempt beside which another one goes on.
pub fn record_lost_hedge(
    routed: &RoutedRequest,
    plan: &RetryPlan,
    done: &Done,
    failed: &FailedAttempt,
    trace: &mut Trace,
) {
    routed.record_fault(plan, lost(done, failed), now());
    log_failure(routed, done, failed, Some(Obstacle::InFlight), trace);
}

fn log_failure(
    routed: &RoutedRequest,
    done: &Done,
    failed: &FailedAttempt,
    obstacle: Option<Obstacle>,
    trace: &mut Trace,
) {
    trace.record_end(failed.ended);
    trace.record_silence(failed.silence);
    let ran = failed.began.map(|began| now().since(began));
    let budget = routed.shared.placement.retry_budget(&routed.pool, now());
    let path_taken = done.path_taken.as_ref();
    trace.log_fault(
        failed.fault,
        &failed.cause,
        ran,
        obstacle,
        &budget,
        path_taken,
    );
}
