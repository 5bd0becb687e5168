//! A request that a home holds, waiting or dispatched.

use medlarrill_core::clock::Millis;
use medlarrill_core::ids::{AttemptId, ChatHash, EndpointId};
use medlarrill_core::units::Tokens;
use medlarrill_core::wire::Forward;
use tokio::sync::mpsc;

use super::dispatch::Control;
use super::reply::Reply;

/// One request at its home.
pub struct Held {
    /// The try.
    pub id: AttemptId,
    /// The request.
    pub forward: Forward,
    /// The way back.
    pub reply: Reply,
    /// The endpoint that it waits for or runs at.
    pub endpoint: Option<EndpointId>,
    /// When it came here.
    pub since: Millis,
    /// The way to its own task, once it is dispatched.
    pub control: Option<mpsc::UnboundedSender<Control>>,
}

impl Held {
    /// The chat, if it belongs to one.
    pub const fn chat(&self) -> Option<ChatHash> {
        match self.forward.chat {
            0 => None,
            chat => Some(ChatHash(chat)),
        }
    }

    /// Endpoints already tried.
    pub fn tried(&self) -> Vec<EndpointId> {
        self.forward
            .tried
            .iter()
            .filter_map(|id| id.parse().ok())
            .collect()
    }

    /// Estimated work: what the cache doesn't hold of the prompt, and the output.
    pub const fn work(&self) -> Tokens {
        let prompt = self.forward.prompt.saturating_sub(self.forward.cached);
        Tokens(prompt + self.forward.output)
    }

    /// Estimated prompt.
    pub const fn prompt(&self) -> Tokens {
        Tokens(self.forward.prompt)
    }

    /// Tells the request's own task, if it has one.
    pub fn tell(&self, control: Control) -> bool {
        let sent = |sender: &mpsc::UnboundedSender<Control>| sender.send(control).is_ok();
        self.control.as_ref().is_some_and(sent)
    }
}
