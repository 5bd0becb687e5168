//! What the claims task is told.

use bytes::Bytes;
use medlarrill_core::claims::{CallId, KeyedRequest, Reply, RunOutcome};
use medlarrill_core::ids::{Incarnation, RequestId};
use medlarrill_core::wire::{ClaimAnswer, ClaimRequest, KeyAnswer, KeyQuery};
use medlarrill_net::link::PeerId;
use tokio::sync::oneshot;

use super::handle::Decision;

/// One message.
#[derive(Debug)]
pub enum Message {
    /// A caller's request wants to run.
    Start(KeyedRequest, oneshot::Sender<Decision>),
    /// A request that was allowed to run has ended.
    Ended(RequestId, RunOutcome),
    /// A claimant asks an owner.
    Ask(ClaimRequest),
    /// An owner answers.
    Answer(ClaimAnswer),
    /// A claimant asks what became of a key.
    KeyAsk(PeerId, KeyQuery),
    /// A claimant says what became of a key.
    KeyAnswer(KeyAnswer),
    /// A question could not be sent.
    AskLost(u64),
    /// A question to another claimant could not be sent.
    KeyAskLost(u64),
    /// A peer process is gone.
    PeerLost(PeerId),
    /// The platform replied to a call of a shard.
    Replied(u16, CallId, Reply),
    /// The object that a claimant left.
    Farewell(Incarnation, Option<Bytes>),
    /// The daemon stops; the answer comes once its last word is written.
    Stop(oneshot::Sender<()>),
}
