//! Sends to the claims task.

use medlarrill_core::claims::{End, HeldAnswer, Start};
use medlarrill_core::ids::RequestId;
use medlarrill_core::reason::Reason;
use tokio::sync::{mpsc, oneshot};

use super::message::Message;

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

/// Sends to the claims task. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Handle {
    sender: mpsc::UnboundedSender<Message>,
}

impl Handle {
    /// A handle and what its task receives from.
    pub(crate) fn new() -> (Self, mpsc::UnboundedReceiver<Message>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Self { sender }, receiver)
    }

    /// Tells the task; false if it has ended.
    pub fn tell(&self, message: Message) -> bool {
        self.sender.send(message).is_ok()
    }

    /// Asks for the right to run a request.
    ///
    /// After `Dispatch` its end must be told with [`Handle::ended`].
    pub async fn start(&self, start: Start) -> Decision {
        let (sender, receiver) = oneshot::channel();
        self.tell(Message::Start(start, sender));
        // The task ends only with the daemon, and then nothing runs any more.
        receiver.await.unwrap_or(Decision::Refuse(Reason::Stopping))
    }

    /// Tells how a request ended that was allowed to run.
    pub fn ended(&self, request: RequestId, end: End) {
        self.tell(Message::Ended(request, end));
    }

    /// Refuses all that isn't running and writes this process's last word.
    pub async fn stop(&self) {
        let (sender, receiver) = oneshot::channel();
        self.tell(Message::Stop(sender));
        let _ = receiver.await;
    }
}
