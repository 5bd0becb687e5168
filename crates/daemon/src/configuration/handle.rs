//! Sends to the configuration task.

use bytes::Bytes;
use medlarrill_core::change::Digest;
use medlarrill_core::change::changer::Stored;
use medlarrill_core::wire::{PartAnswer, PartAsk};
use medlarrill_net::link::PeerId;
use medlarrill_net::platform;
use tokio::sync::oneshot;

use crate::mailbox::Mailbox;

/// What the configuration task is told.
#[derive(Debug)]
pub enum Message {
    /// A peer asks for parts.
    Asked(PeerId, PartAsk),
    /// A peer answers.
    Answered(PeerId, PartAnswer),
    /// A peer can't be asked, or its link is down.
    Lost(PeerId),
    /// The platform's head may have changed.
    Changed,
    /// The platform's head was read; `None` if there is none.
    Head(platform::Result<Option<Stored>>),
    /// A part was read from the platform; `None` if there is none.
    Part(Digest, platform::Result<Option<Bytes>>),
    /// A head that this daemon has written, with parts of it.
    Written(Bytes, Vec<Bytes>),
    /// Asks for the parts that are held.
    Held(oneshot::Sender<Vec<Bytes>>),
}

/// Sends to the configuration task.
pub type Handle = Mailbox<Message>;

impl Handle {
    /// Parts of the configuration in force, as stored; none if the task has ended.
    pub async fn parts(&self) -> Vec<Bytes> {
        self.request(Message::Held).await.unwrap_or_default()
    }
}
