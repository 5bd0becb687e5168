//! Messages between daemons: length-delimited frames, encoded with `prost`.
//!
//! Every message is sent in one `Frame`. Frames that carry requests and
//! responses are data; all others are control traffic and count against the
//! control budget.

mod claim;
mod config;
mod directory;
mod gossip;
mod limit;
mod link;
mod request;
mod request_state;
mod state;

use prost::{Message, Oneof};

pub use claim::{ClaimAnswer, ClaimRequest, KeyAnswer, KeyQuery};
pub use config::{PartAnswer, PartRequest};
pub use directory::{DirectoryTransfer, TransferredChat, TransferredPlace};
pub use gossip::{Change, EndpointLoad, Gossip, PoolLoad, PoolSum, Record, name_hash};
pub use limit::{Grant, Usage, Watch};
pub use link::{Hello, Proof};
pub use request::{
    Accepted, Attempt, Cancel, Chunk, Credit, End, Forward, Header, Placed, Refused, Rerouted,
};
pub use request_state::{RequestAnswer, RequestQuery};
pub use state::{HomeState, StateAnswer, StateQuery};

/// Largest frame, in bytes.
pub const MAX_FRAME: usize = 8 << 20;

/// One message on a link between two daemons.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Frame {
    /// Payload; absent if the receiver doesn't know its type, as when the sender is newer.
    #[prost(
        oneof = "Body",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 30, 31, 32"
    )]
    pub body: Option<Body>,
}

/// Payload of a frame.
#[derive(Clone, PartialEq)]
#[derive(Oneof)]
pub enum Body {
    /// First message of each side of a link.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// Proves knowledge of the fleet key.
    #[prost(message, tag = "2")]
    Proof(Proof),
    /// Forwards a request to a home.
    #[prost(message, tag = "3")]
    Forward(Forward),
    /// The home has sent the request to an endpoint.
    #[prost(message, tag = "4")]
    Accepted(Accepted),
    /// The home has forwarded the request to another home.
    #[prost(message, tag = "5")]
    Rerouted(Rerouted),
    /// The request was refused and not sent to an endpoint, unless it says otherwise.
    #[prost(message, tag = "6")]
    Refused(Refused),
    /// A piece of the response body.
    #[prost(message, tag = "7")]
    Chunk(Chunk),
    /// The end of the response body.
    #[prost(message, tag = "8")]
    End(End),
    /// Flow control: more bytes of the response may be sent.
    #[prost(message, tag = "9")]
    Credit(Credit),
    /// The response is no longer needed.
    #[prost(message, tag = "10")]
    Cancel(Cancel),
    /// Heartbeat, membership and load.
    #[prost(message, tag = "11")]
    Gossip(Gossip),
    /// Requests the claim of an idempotency key from its owner.
    #[prost(message, tag = "12")]
    ClaimRequest(ClaimRequest),
    /// Answers `ClaimRequest`.
    #[prost(message, tag = "13")]
    ClaimAnswer(ClaimAnswer),
    /// Asks a claimant for the state of a key.
    #[prost(message, tag = "14")]
    KeyQuery(KeyQuery),
    /// Answers `KeyQuery`.
    #[prost(message, tag = "15")]
    KeyAnswer(KeyAnswer),
    /// Requests the head or parts of the configuration.
    #[prost(message, tag = "16")]
    PartRequest(PartRequest),
    /// Answers `PartRequest`.
    #[prost(message, tag = "17")]
    PartAnswer(PartAnswer),
    /// Reports an entry's usage of accounts to their owner.
    #[prost(message, tag = "18")]
    Usage(Usage),
    /// Grants an entry shares of account limits.
    #[prost(message, tag = "19")]
    Grant(Grant),
    /// Transfers directory entries to the daemon that holds them now.
    #[prost(message, tag = "32")]
    DirectoryTransfer(DirectoryTransfer),
    /// Reports where a chat was served.
    #[prost(message, tag = "20")]
    Placed(Placed),
    /// Asks an entry for the state of a request.
    #[prost(message, tag = "21")]
    RequestQuery(RequestQuery),
    /// Answers `RequestQuery`.
    #[prost(message, tag = "22")]
    RequestAnswer(RequestAnswer),
    /// Asks a home for the state of its endpoints.
    #[prost(message, tag = "30")]
    StateQuery(StateQuery),
    /// Answers `StateQuery`.
    #[prost(message, tag = "31")]
    StateAnswer(StateAnswer),
}

impl Body {
    /// Name of the message type, as a label for metrics.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Hello(_) => "hello",
            Self::Proof(_) => "proof",
            Self::Forward(_) => "forward",
            Self::Accepted(_) => "accepted",
            Self::Rerouted(_) => "passed",
            Self::Refused(_) => "refused",
            Self::Chunk(_) => "chunk",
            Self::End(_) => "end",
            Self::Credit(_) => "credit",
            Self::Cancel(_) => "cancel",
            Self::Gossip(_) => "gossip",
            Self::ClaimRequest(_) => "claim-ask",
            Self::ClaimAnswer(_) => "claim-answer",
            Self::KeyQuery(_) => "key-ask",
            Self::KeyAnswer(_) => "key-answer",
            Self::PartRequest(_) => "part-ask",
            Self::PartAnswer(_) => "part-answer",
            Self::Usage(_) => "usage",
            Self::Grant(_) => "grant",
            Self::DirectoryTransfer(_) => "moved",
            Self::Placed(_) => "placed",
            Self::RequestQuery(_) => "request-ask",
            Self::RequestAnswer(_) => "request-answer",
            Self::StateQuery(_) => "state-ask",
            Self::StateAnswer(_) => "state-answer",
        }
    }

    /// Whether the message counts against the control budget.
    pub const fn is_control(&self) -> bool {
        !matches!(self, Self::Forward(_) | Self::Chunk(_) | Self::End(_))
    }
}

impl From<Body> for Frame {
    fn from(body: Body) -> Self {
        Self { body: Some(body) }
    }
}
