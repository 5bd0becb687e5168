//! A request at its home, waiting or dispatched.

use medlarrill_core::clock::Millis;
use medlarrill_core::ids::{AttemptId, ChatHash, EndpointId};
use medlarrill_core::units::Tokens;
use medlarrill_core::wire::Forward;
use tokio::sync::mpsc;

use super::dispatch::Control;
use super::reply::Reply;

/// One request at its home, until it is refused, passed on or finished.
pub struct HeldRequest {
    /// The attempt.
    pub id: AttemptId,
    /// The request.
    pub forward: Forward,
    /// Sends to the entry.
    pub reply: Reply,
    /// The endpoint that it waits for or runs at.
    pub endpoint: Option<EndpointId>,
    /// When it arrived here.
    pub since: Millis,
    /// Sends to its own task, once it is dispatched.
    pub control: Option<mpsc::UnboundedSender<Control>>,
}

impl HeldRequest {
    /// The chat, if it belongs to one.
    pub const fn chat(&self) -> Option<ChatHash> {
        match self.forward.chat {
            0 => None,
            chat => Some(ChatHash(chat)),
        }
    }

    /// Endpoints already attempted.
    pub fn tried(&self) -> Vec<EndpointId> {
        self.forward
            .tried
            .iter()
            .filter_map(|id| id.parse().ok())
            .collect()
    }

    /// Estimated work: the part of the prompt that isn't cached, and the output.
    pub const fn work(&self) -> Tokens {
        let prompt = self.forward.prompt.saturating_sub(self.forward.cached);
        Tokens(prompt + self.forward.output)
    }

    /// Estimated prompt.
    pub const fn prompt(&self) -> Tokens {
        Tokens(self.forward.prompt)
    }

    /// Sends to the request's own task; false if it has none or it has ended.
    pub fn send_control(&self, control: Control) -> bool {
        let sent = |sender: &mpsc::UnboundedSender<Control>| sender.send(control).is_ok();
        self.control.as_ref().is_some_and(sent)
    }
}
