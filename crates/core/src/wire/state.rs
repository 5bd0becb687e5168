//! State of a home's endpoints, as shown to operators at other daemons.

use prost::Message;

/// Asks a home for the state of its endpoints.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Message)]
pub struct StateQuery {
    /// Identifier of the query, repeated in the answer.
    #[prost(uint64, tag = "1")]
    pub number: u64,
}

/// Answers `StateQuery`.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct StateAnswer {
    /// Identifier of the query.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The endpoints of this home.
    #[prost(message, repeated, tag = "2")]
    pub endpoints: Vec<HomeState>,
}

/// State of one endpoint, as counted by its home.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct HomeState {
    /// The endpoint.
    #[prost(string, tag = "1")]
    pub endpoint: String,
    /// Name of its state.
    #[prost(string, tag = "2")]
    pub state: String,
    /// Work in flight, in tokens.
    #[prost(uint64, tag = "3")]
    pub load: u64,
    /// Maximum work in flight, in tokens.
    #[prost(uint64, tag = "4")]
    pub limit: u64,
    /// Requests in flight.
    #[prost(uint32, tag = "5")]
    pub in_flight: u32,
    /// Requests in the queue.
    #[prost(uint32, tag = "6")]
    pub queued: u32,
}
