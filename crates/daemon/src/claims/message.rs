//! Messages to the claims task.

use bytes::Bytes;
use medlarrill_core::claims::{CallId, KeyedRequest, Reply, RunOutcome};
use medlarrill_core::ids::{Incarnation, RequestId};
use medlarrill_core::wire::{ClaimAnswer, ClaimRequest, KeyAnswer, KeyQuery};
use medlarrill_net::link::PeerId;
use tokio::sync::oneshot;

use super::handle::Decision;

/// A message to the claims task.
#[derive(Debug)]
pub enum Message {
    /// A caller's request asks to run.
    Start(KeyedRequest, oneshot::Sender<Decision>),
    /// A request that was allowed to run has ended.
    Ended(RequestId, RunOutcome),
    /// A claimant requests a claim from this daemon as owner.
    ClaimRequested(ClaimRequest),
    /// An owner answers a claim request.
    ClaimAnswered(ClaimAnswer),
    /// Another claimant queries the state of a key.
    KeyQueried(PeerId, KeyQuery),
    /// Another claimant answers a query for a key.
    KeyAnswered(KeyAnswer),
    /// A claim request, by number, could not be sent.
    ClaimRequestLost(u64),
    /// A query for a key, by number, could not be sent.
    KeyQueryLost(u64),
    /// The link to a peer process is closed.
    PeerLost(PeerId),
    /// The platform replied to a call for a shard.
    Replied(u16, CallId, Reply),
    /// The shutdown record of a claimant; `None` if it could not be read.
    ShutdownRecord(Incarnation, Option<Bytes>),
    /// The daemon stops; replies once its shutdown record is written.
    Stop(oneshot::Sender<()>),
}
