//! A request in flight at this entry, counted and tracked until its end.

use std::sync::Arc;

use medlarrill_core::ids::RequestId;
use medlarrill_core::outcome::Outcome;
use medlarrill_core::reason::Reason;

use super::attempt::Failure;
use super::tracker::State;
use crate::context::Context;
use crate::limits::Permit;

/// Counts a request from its start to its end. Dropping it before the end
/// means that the caller disconnected.
pub struct InFlight {
    context: Arc<Context>,
    request: RequestId,
    ended: bool,
    on_end: Option<EndCallback>,
    permit: Option<Permit>,
}

/// Called once with the final state of a request.
type EndCallback = Box<dyn FnOnce(State) + Send>;

impl InFlight {
    /// Counts a request and records it as running.
    pub fn new(context: &Arc<Context>, request: RequestId) -> Self {
        context.metrics.in_flight.inc();
        context.tracker.record(request, State::Running);
        Self {
            context: Arc::clone(context),
            request,
            ended: false,
            on_end: None,
            permit: None,
        }
    }

    /// Keeps the account's permit until the request ends.
    #[must_use]
    pub fn with_permit(mut self, permit: Permit) -> Self {
        self.permit = Some(permit);
        self
    }

    /// Calls `end` with the final state when the request ends.
    #[must_use]
    pub fn with_callback(mut self, end: impl FnOnce(State) + Send + 'static) -> Self {
        self.on_end = Some(Box::new(end));
        self
    }

    /// Records that the complete response was handed to the connection.
    pub fn answered(&mut self) {
        self.context.metrics.answered.inc();
        self.end(State::Answered);
    }

    /// Records that the request was refused or cut short.
    pub fn failed(&mut self, failure: &Failure) {
        self.context.metrics.record_refusal(failure.reason);
        self.end(State::Failed {
            code: failure.reason,
            outcome: failure.outcome,
        });
    }

    /// Whether the end was recorded.
    pub const fn is_ended(&self) -> bool {
        self.ended
    }

    fn end(&mut self, state: State) {
        if self.ended {
            return;
        }
        self.ended = true;
        self.permit = None;
        self.context.metrics.in_flight.dec();
        self.context.tracker.record(self.request, state);
        if let Some(end) = self.on_end.take() {
            end(state);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        self.context.metrics.record_refusal(Reason::Cancelled);
        self.end(State::Failed {
            code: Reason::Cancelled,
            outcome: Outcome::Unknown,
        });
    }
}
