//! What a home tells another daemon's operators of its endpoints.

use prost::Message;

/// Asks a home for the state of its endpoints.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Message)]
pub struct StateQuery {
    /// Names the question.
    #[prost(uint64, tag = "1")]
    pub number: u64,
}

/// Answers `StateQuery`.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct StateAnswer {
    /// Names the question.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The endpoints of this home.
    #[prost(message, repeated, tag = "2")]
    pub endpoints: Vec<HomeState>,
}

/// One endpoint as its home counts it.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct HomeState {
    /// The endpoint.
    #[prost(string, tag = "1")]
    pub endpoint: String,
    /// Its state, in a word.
    #[prost(string, tag = "2")]
    pub state: String,
    /// Work in flight, in tokens.
    #[prost(uint64, tag = "3")]
    pub load: u64,
    /// The most work that it is given, in tokens.
    #[prost(uint64, tag = "4")]
    pub limit: u64,
    /// Requests in flight.
    #[prost(uint32, tag = "5")]
    pub in_flight: u32,
    /// Requests that wait.
    #[prost(uint32, tag = "6")]
    pub queued: u32,
}
