//! What the home task is told.

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
    /// Room for more of an answer.
    Credit(PeerId, Credit),
    /// An answer is no longer wanted.
    Cancel(PeerId, Cancel),
    /// Another home served a chat of this directory.
    Placed(Placed),
    /// Directory entries that this daemon keeps from now on.
    Moved(DirectoryTransfer),
    /// Load of the endpoints that a peer is home of, and when it was so.
    LoadHeard(DaemonId, Millis, Vec<PoolLoad>),
    /// A peer process is gone.
    PeerLost(PeerId),
    /// A dispatched request has generated this much.
    Progress(AttemptId, Tokens),
    /// A dispatched request has ended.
    Finished(Finished),
    /// An endpoint was asked for its load at this time.
    Polled(EndpointId, Millis, CallResult<Load>),
    /// Asks for what is known of endpoints.
    Show(oneshot::Sender<Vec<EndpointRow>>),
    /// Another daemon asks for the state of endpoints.
    StateAsked(PeerId, StateQuery),
}

/// The end of a dispatched request.
#[derive(Debug)]
pub struct Finished {
    /// The try.
    pub id: AttemptId,
    /// How it ended.
    pub ending: Ending,
    /// Prompt and cached tokens as the engine counted them.
    pub usage: Option<Usage>,
}

/// What an engine says of a request.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub struct Usage {
    /// Prompt.
    pub prompt: Tokens,
    /// Prompt tokens served from the cache.
    pub cached: Tokens,
    /// Output.
    pub output: Tokens,
}
