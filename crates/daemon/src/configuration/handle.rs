//! The configuration task's messages, and the handle that sends them.

use bytes::Bytes;
use medlarrill_core::change::Digest;
use medlarrill_core::change::committer::Stored;
use medlarrill_core::wire::{PartAnswer, PartRequest};
use medlarrill_net::link::PeerId;
use medlarrill_net::platform;
use tokio::sync::oneshot;

use crate::mailbox::Mailbox;

/// Messages to the configuration task.
#[derive(Debug)]
pub enum Message {
    /// A peer requests parts.
    PartRequested(PeerId, PartRequest),
    /// A peer answers a request for parts.
    PartAnswered(PeerId, PartAnswer),
    /// A request could not be sent to a peer, or its link is down.
    PeerLost(PeerId),
    /// The head on the platform may have changed.
    HeadChanged,
    /// The head was read from the platform; `None` if there is none.
    HeadRead(platform::Result<Option<Stored>>),
    /// A part was read from the platform; `None` if there is none.
    PartRead(Digest, platform::Result<Option<Bytes>>),
    /// This daemon has written a head; with parts of it.
    HeadWritten(Bytes, Vec<Bytes>),
    /// Requests the parts held here, as stored.
    Parts(oneshot::Sender<Vec<Bytes>>),
}

/// Sends messages to the configuration task. Cheap to clone.
pub type Handle = Mailbox<Message>;

impl Handle {
    /// Parts of the configuration in force, as stored; none if the task has ended.
    pub async fn parts(&self) -> Vec<Bytes> {
        self.request(Message::Parts).await.unwrap_or_default()
    }
}
