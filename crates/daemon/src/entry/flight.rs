//! A request in flight at this entry, counted until its end.

use std::sync::Arc;

use medlarrill_core::ids::RequestId;
use medlarrill_core::outcome::Outcome;
use medlarrill_core::reason::Reason;

use super::attempt::Failure;
use super::tracker::State;
use crate::context::Context;
use crate::limits::Permit;

/// Counts a request from its start to its end. Dropped before its end, the
/// caller went away.
pub struct Flight {
    context: Arc<Context>,
    request: RequestId,
    over: bool,
    end: Option<OnEnd>,
    permit: Option<Permit>,
}

/// Called once with the end of a flight.
type OnEnd = Box<dyn FnOnce(State) + Send>;

impl Flight {
    /// Starts to count a request.
    pub fn new(context: &Arc<Context>, request: RequestId) -> Self {
        context.metrics.in_flight.inc();
        context.tracker.note(request, State::Running);
        Self {
            context: Arc::clone(context),
            request,
            over: false,
            end: None,
            permit: None,
        }
    }

    /// Keeps the account's room until the flight's end.
    #[must_use]
    pub fn with_permit(mut self, permit: Permit) -> Self {
        self.permit = Some(permit);
        self
    }

    /// Calls `end` with the flight's own end.
    #[must_use]
    pub fn with_end(mut self, end: impl FnOnce(State) + Send + 'static) -> Self {
        self.end = Some(Box::new(end));
        self
    }

    /// Notes that the whole answer was handed over.
    pub fn answered(&mut self) {
        self.context.metrics.answered.inc();
        self.end(State::Answered);
    }

    /// Notes that the request was refused or broken off.
    pub fn failed(&mut self, failure: &Failure) {
        self.context.metrics.refuse(failure.reason);
        self.end(State::Failed {
            code: failure.reason,
            outcome: failure.outcome,
        });
    }

    /// Whether the end was noted.
    pub const fn is_over(&self) -> bool {
        self.over
    }

    fn end(&mut self, state: State) {
        if self.over {
            return;
        }
        self.over = true;
        self.permit = None;
        self.context.metrics.in_flight.dec();
        self.context.tracker.note(self.request, state);
        if let Some(end) = self.end.take() {
            end(state);
        }
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        if self.over {
            return;
        }
        self.context.metrics.refuse(Reason::Cancelled);
        self.end(State::Failed {
            code: Reason::Cancelled,
            outcome: Outcome::Unknown,
        });
    }
}
