//! Messages to the home task.

use medlarrill_core::admission::Ending;
use medlarrill_core::clock::Millis;
use medlarrill_core::ids::{AttemptId, DaemonId, EndpointId};
use medlarrill_core::units::Tokens;
use medlarrill_core::wire::{
    Cancel, Credit, DirectoryTransfer, Forward, Placed, PoolLoad, StateQuery,
};
use medlarrill_net::endpoint::{CallResult, Load};
use medlarrill_net::link::PeerId;
use tokio::sync::oneshot;

use super::show::EndpointRow;

/// One message.
#[derive(Debug)]
pub enum Message {
    /// A request from an entry or another home.
    Offer(PeerId, Box<Forward>),
    /// Credit for more of an answer.
    Credit(PeerId, Credit),
    /// An answer is no longer wanted.
    Cancel(PeerId, Cancel),
    /// Another home served a chat of this directory.
    Placed(Placed),
    /// Directory entries that move to this daemon.
    Moved(DirectoryTransfer),
    /// Load of the endpoints that a peer is home of, and the time of the report.
    LoadReceived(DaemonId, Millis, Vec<PoolLoad>),
    /// A peer process is lost.
    PeerLost(PeerId),
    /// Tokens that a dispatched request has generated so far.
    Progress(AttemptId, Tokens),
    /// A dispatched request has ended.
    Finished(Finished),
    /// The result of a load poll, and the time when it was sent.
    Polled(EndpointId, Millis, CallResult<Load>),
    /// Requests the state of all configured endpoints.
    Show(oneshot::Sender<Vec<EndpointRow>>),
    /// Another daemon requests the state of the endpoints that this one is home of.
    StateRequested(PeerId, StateQuery),
}

/// The end of a dispatched request.
#[derive(Debug)]
pub struct Finished {
    /// The attempt.
    pub id: AttemptId,
    /// How it ended.
    pub ending: Ending,
    /// Token usage, if the engine reported it.
    pub usage: Option<Usage>,
}

/// Token usage of a request, as reported by the engine.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub struct Usage {
    /// Prompt tokens.
    pub prompt: Tokens,
    /// Prompt tokens served from the cache.
    pub cached: Tokens,
    /// Output tokens.
    pub output: Tokens,
}
