//! Sends to the claims task.

use medlarrill_core::claims::{End, HeldAnswer, Start};
use medlarrill_core::ids::RequestId;
use medlarrill_core::reason::Reason;

use super::message::Message;
use crate::mailbox::Mailbox;

/// What becomes of a caller's request.
#[derive(Clone, PartialEq, Debug)]
pub enum Decision {
    /// It may be sent to an endpoint, once; tell how it ended.
    Dispatch,
    /// It may not run.
    Refuse(Reason),
    /// It ran before; this was the answer.
    Replay(HeldAnswer),
}

/// Sends to the claims task.
pub type Handle = Mailbox<Message>;

impl Handle {
    /// Asks for the right to run a request.
    ///
    /// After `Dispatch` its end must be told with [`Handle::ended`].
    pub async fn start(&self, start: Start) -> Decision {
        let decision = self.request(|sender| Message::Start(start, sender)).await;
        // The task ends only with the daemon, and then nothing runs any more.
        decision.unwrap_or(Decision::Refuse(Reason::Stopping))
    }

    /// Tells how a request ended that was allowed to run.
    pub fn ended(&self, request: RequestId, end: End) {
        self.send(Message::Ended(request, end));
    }

    /// Refuses all that isn't running and writes this process's last word.
    pub async fn stop(&self) {
        let _ = self.request(Message::Stop).await;
    }
}
