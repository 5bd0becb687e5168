//! The handle by which requests reach the claims task.

use medlarrill_core::claims::{CachedAnswer, KeyedRequest, RunOutcome};
use medlarrill_core::ids::RequestId;
use medlarrill_core::reason::Reason;

use super::message::Message;
use crate::mailbox::Mailbox;

/// The claims task's decision on a caller's request.
#[derive(Clone, PartialEq, Debug)]
pub enum Decision {
    /// It may be sent to an endpoint once; report its outcome.
    Dispatch,
    /// It may not run.
    Refuse(Reason),
    /// It ran before, with this answer.
    Replay(CachedAnswer),
}

/// Sends messages to the claims task. Cheap to clone.
pub type Handle = Mailbox<Message>;

impl Handle {
    /// Claims the right to run a request.
    ///
    /// After `Dispatch` the outcome must be reported with [`Handle::ended`].
    pub async fn start(&self, start: KeyedRequest) -> Decision {
        let decision = self.request(|sender| Message::Start(start, sender)).await;
        // The task ends only when the daemon stops, and then no request may run.
        decision.unwrap_or(Decision::Refuse(Reason::Stopping))
    }

    /// Reports the outcome of a request that was allowed to run.
    pub fn ended(&self, request: RequestId, end: RunOutcome) {
        self.send(Message::Ended(request, end));
    }

    /// Refuses all requests that aren't running and writes this process's shutdown record.
    pub async fn stop(&self) {
        let _ = self.request(Message::Stop).await;
    }
}
